/** What follows the failure of an attempt, and what a request that is given up may be told. */
import { Outcome } from '@toucanbend/core';
import { RepeatPolicy } from '@toucanbend/registry';
import { AttemptFailure } from './attempt.js';

/** Attempts that were made for a request, and what is known of them. */
export interface AttemptHistory {
  /** Attempts whose request reached a server, or may have. */
  readonly sent: number;
  /** Attempts for which no connection was made. */
  readonly unsent: number;
  /** Whether an attempt may have run. */
  readonly isInDoubt: boolean;
}

/** A request before its first attempt. */
export const noAttempts: AttemptHistory = { sent: 0, unsent: 0, isInDoubt: false };

/** Connections that may fail for one request, so that a service that is gone is not dialled for ever. */
const MAX_UNSENT = 3;

/**
 * Records a failed attempt.
 *
 * @param history - the attempts before
 * @param failure - how the attempt failed
 * @returns the attempts after
 */
export function recordAttempt(history: AttemptHistory, failure: AttemptFailure): AttemptHistory {
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
 * Tells whether another attempt may follow.
 *
 * @param policy - what may be repeated
 * @param history - the attempts so far
 * @param maxAttempts - servers to which the request may be sent
 * @returns whether it may be sent once more
 */
export function mayFollow(policy: RepeatPolicy, history: AttemptHistory, maxAttempts: number): boolean {
  if (history.isInDoubt && policy === RepeatPolicy.Once) {
    return false;
  }
  return history.sent < maxAttempts && history.unsent < MAX_UNSENT;
}

/**
 * Gives the outcome of a request that is given up.
 *
 * @param history - its attempts
 * @returns `NotRun` only where no attempt can have run
 */
export function outcomeOf(history: AttemptHistory): Outcome {
  return history.isInDoubt ? Outcome.Unknown : Outcome.NotRun;
}
