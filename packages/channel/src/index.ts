/** Typed channels and sequential processes on js-csp. */
export * from './buffer.js';
export * from './channel.js';
export * from './process.js';
