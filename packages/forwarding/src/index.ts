/** Forwards callers' requests to backend servers, and the answers back to the callers. */
export * from './admission.js';
export * from './attempt.js';
export * from './caller-answer.js';
export * from './caller-port.js';
export * from './caller-request.js';
export * from './context.js';
export * from './dialect.js';
export * from './drain-limit.js';
export * from './event-splitter.js';
export * from './forward-message.js';
export * from './forward.js';
export * from './headers.js';
export { ReleaseCause, type ReservationContext, type ReservationOwner } from './part-reservation.js';
export * from './memory.js';
export * from './metrics.js';
export * from './renewal.js';
export * from './attempt-history.js';
export * from './reservation.js';
