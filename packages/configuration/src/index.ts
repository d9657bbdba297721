/** The configuration document: its schema, changes to it, and its TOML form. */
export * from './change.js';
export * from './difference.js';
export * from './document.js';
export * from './holder.js';
export * from './print.js';
