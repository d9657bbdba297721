/** The pace of servers that have started, recovered, returned or turned cold. */
export * from './pace-update.js';
export * from './paces.js';
export * from './server-pace.js';
