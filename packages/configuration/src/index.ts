/** The configuration document: its schema, changes to it, and its TOML form. */
export * from './change.js';
export * from './changed-items.js';
export * from './consistency.js';
export * from './difference.js';
export * from './document.js';
export * from './holder.js';
export * from './matching.js';
export * from './print.js';
