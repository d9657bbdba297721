/** Pure decision logic of a side: dispatch order, memory, latency predictions, execution tokens. */
export * from './estimate.js';
export * from './execution-token.js';
export * from './job.js';
export * from './order.js';
export * from './prefix-index.js';
export * from './admission.js';
export * from './settings.js';
export * from './speed.js';
export * from './state.js';
