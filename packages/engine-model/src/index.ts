/** Model of an inference engine, computed from the parameters that its operator publishes. */
export * from './engine-state.js';
export * from './parameters.js';
