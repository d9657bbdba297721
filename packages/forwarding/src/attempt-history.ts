/** Decides whether a failed attempt may be retried, and which outcome a request without an answer has. */
import { Outcome } from '@toucanbend/core';
import { RepeatPolicy } from '@toucanbend/registry';
import { AttemptFailure } from './attempt.js';

/** The failed attempts of a request. */
export interface AttemptHistory {
  /** Attempts whose request reached a server or may have reached one. */
  readonly sent: number;
  /** Attempts for which no connection was made. */
  readonly unsent: number;
  /** Whether a server may have run the request. */
  readonly isInDoubt: boolean;
}

export const emptyHistory: AttemptHistory = { sent: 0, unsent: 0, isInDoubt: false };

/** Limit on failed connections for one request, which bounds the attempts at a service that is down. */
const MAX_FAILED_CONNECTIONS = 3;

/**
 * Records a failed attempt.
 *
 * @param history - the earlier attempts
 * @param failure - how the attempt failed
 * @returns the history including this attempt
 */
export function recordFailedAttempt(history: AttemptHistory, failure: AttemptFailure): AttemptHistory {
  switch (failure) {
    case AttemptFailure.NotSent:
      return { ...history, unsent: history.unsent + 1 };
    case AttemptFailure.NotRun:
      return { ...history, sent: history.sent + 1 };
    case AttemptFailure.InDoubt:
      return { ...history, sent: history.sent + 1, isInDoubt: true };
  }
}

/**
 * Checks whether a request may be sent to another server.
 *
 * @param policy - the route's policy for requests that may have run
 * @param history - the attempts so far
 * @param maxAttempts - the limit on attempts that reached or may have reached a server
 * @returns whether another attempt may be made
 */
export function mayRetry(policy: RepeatPolicy, history: AttemptHistory, maxAttempts: number): boolean {
  if (history.isInDoubt && policy === RepeatPolicy.Once) {
    return false;
  }
  return history.sent < maxAttempts && history.unsent < MAX_FAILED_CONNECTIONS;
}

/**
 * Determines the outcome of a request that ends without an answer.
 *
 * @param history - its attempts
 * @returns `NotRun` only if no server can have run the request, else `Unknown`
 */
export function outcomeOf(history: AttemptHistory): Outcome {
  return history.isInDoubt ? Outcome.Unknown : Outcome.NotRun;
}
