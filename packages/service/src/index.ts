/** Client of a plain service. */
export * from './http-service.js';
export * from './plain-service.js';
