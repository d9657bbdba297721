/** Pure routing logic of an entry: candidate selection, choice among offers, outlier ejection, retry budget. */
export * from './candidates.js';
export * from './choice.js';
export * from './health.js';
export * from './retry-budget.js';
export * from './server.js';
