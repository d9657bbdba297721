/** Side process: schedules all requests for one backend server. */
export * from './server-controller.js';
export * from './backend.js';
export * from './dispatcher.js';
export * from './event.js';
export * from './execution-tokens.js';
export * from './tracked-request.js';
export * from './request-registry.js';
export * from './side.js';
