/** The limit that a planned stop of this process sets to the time of a request. */
import { EndReason } from './caller-answer.js';

/** Retry delay given by a draining entry, in milliseconds; the caller retries at another entry. */
export const LEAVING_RETRY_MS = 20;

/** When a request ends if it has no answer by then, and how it ends. */
export interface Expiry {
  readonly atMs: number;
  readonly reason: EndReason;
  /** Retry delay given to the caller if the request did not run, in milliseconds; 0 if none is given. */
  readonly retryAfterMs: number;
}

/**
 * Determines when a request expires.
 *
 * @param deadlineAtMs - when the caller's or the route's timeout expires
 * @param answersUntilMs - when this process abandons its requests; Infinity if it is not draining
 * @returns the earlier of both, and the reason for the end of a request that has no answer by then
 */
export function expiryOf(deadlineAtMs: number, answersUntilMs: number): Expiry {
  return answersUntilMs < deadlineAtMs
    ? { atMs: answersUntilMs, reason: EndReason.Leaving, retryAfterMs: LEAVING_RETRY_MS }
    : { atMs: deadlineAtMs, reason: EndReason.DeadlinePassed, retryAfterMs: 0 };
}
