/** The base that entries and sides share. */
export * from './node.js';
export * from './configuration-sync.js';
