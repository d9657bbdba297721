/** The entry, the process that callers connect to. */
export * from './accounts.js';
export * from './answer.js';
export * from './attempt.js';
export * from './bindings.js';
export * from './call.js';
export * from './completion.js';
export * from './context.js';
export * from './directory.js';
export * from './entry.js';
export * from './exchange.js';
export * from './inbox.js';
export * from './offers.js';
export * from './parse.js';
export * from './request.js';
