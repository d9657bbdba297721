/** Restrictions that backend servers state in their answers. */
export * from './rate-limit.js';
export * from './restriction-update.js';
export * from './restrictions.js';
export * from './server-notice.js';
