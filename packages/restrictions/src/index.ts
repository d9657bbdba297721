/** Restrictions that backend servers state in their answers. */
export * from './server-notice.js';
