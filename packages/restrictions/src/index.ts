/** Restrictions that backend servers state in their answers. */
export * from './cold-periods.js';
export * from './cold-quota.js';
export * from './rate-limit.js';
export * from './restriction-update.js';
export * from './restrictions.js';
export * from './server-notice.js';
export * from './server-run.js';
