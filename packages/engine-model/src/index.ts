/** The published model of an engine. */
export * from './engine-state.js';
export * from './parameters.js';
