/** Client of the platform's key-value service. */
export * from './http-store.js';
export * from './key-value-store.js';
