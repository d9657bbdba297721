/** What entries know of the fleet and of one another. */
export * from './follower.js';
export * from './lapse-guard.js';
export * from './peers.js';
export * from './readers.js';
export * from './registrar.js';
export * from './registry-holder.js';
export * from './store-contact.js';
