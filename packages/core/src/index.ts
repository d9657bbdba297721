/** Types and utilities that the other packages share. */
export * from './block-buffer.js';
export * from './byte-buffer.js';
export * from './clamped-number.js';
export * from './clock.js';
export * from './connection-reset.js';
export * from './finding.js';
export * from './key.js';
export * from './outcome.js';
export * from './prefix.js';
export * from './random.js';
export * from './rank.js';
export * from './request.js';
