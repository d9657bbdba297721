/** Structured logs and metrics. */
export * from './logger.js';
export * from './metrics.js';
export * from './operator-port.js';
export * from './output.js';
