/** Client of a model engine. */
export * from './http-engine.js';
export * from './model-engine.js';
