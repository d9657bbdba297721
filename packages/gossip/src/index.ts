/** Gossip of the configuration among the nodes. */
export * from './gossip.js';
export * from './neighbours.js';
