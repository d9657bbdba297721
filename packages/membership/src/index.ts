/** Membership: how entries discover backend servers and one another, from the store and from their peers. */
export * from './follower.js';
export * from './limit-share.js';
export * from './peers.js';
export * from './readers.js';
export * from './registrar.js';
export * from './registry-exchange.js';
export * from './registry-holder.js';
export * from './removal-guard.js';
export * from './store-health.js';
