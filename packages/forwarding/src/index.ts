/** Forwards requests of callers to backend servers and their answers back. */
export * from './attempt.js';
export * from './caller-answer.js';
export * from './caller-port.js';
export * from './caller-request.js';
export * from './context.js';
export * from './dialect.js';
export * from './event-splitter.js';
export * from './forward-message.js';
export * from './forward.js';
export * from './headers.js';
export { ReleaseCause, type ReservationContext, type ReservationOwner } from './held-part.js';
export * from './memory.js';
export * from './metrics.js';
export * from './renewal.js';
export * from './repeat.js';
export * from './reservation.js';
