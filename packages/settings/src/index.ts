/** Validated TOML settings of entries and sides. */
export * from './read.js';
export * from './shape.js';
