/** The running attempts of one request, and the history of those that did not answer it. */
import { AttemptFailure } from './attempt.js';
import { type Outcome } from '@toucanbend/core';
import { RepeatPolicy, type Route } from '@toucanbend/registry';
import {
  type AttemptHistory,
  emptyHistory,
  mayRetry,
  outcomeOf,
  recordFailedAttempt,
} from './attempt-history.js';
import { type RunningAttempt } from './running-attempt.js';

/** The attempts of one request. */
export interface RequestAttempts {
  history(): AttemptHistory;
  /** Number of running attempts. */
  count(): number;
  /** The running attempt that was made last; all others are at servers that have fallen silent. */
  newest(): RunningAttempt | undefined;
  find(number: number): RunningAttempt | undefined;
  /** Whether a running attempt has received an event. */
  hasEvents(): boolean;
  /** Returns the ids of the servers that prefill parts of the prompt for running attempts. */
  helperIds(): string[];
  add(attempt: RunningAttempt): void;
  /** Adds an attempt to the history; one that is silent and fails later counts once. */
  countFailure(attempt: RunningAttempt, failure: AttemptFailure): void;
  /** Adds an attempt to the history that ended before it was sent to a server. */
  countUnsent(server: string): void;
  /** The outcome of the request if it ends now without an answer, apart from its running attempts. */
  outcome(): Outcome;
  /** Returns whether another attempt may be made after those that have failed. */
  mayRetry(): boolean;
  /** Returns whether another attempt may follow a running one that is given up and may have reached its server. */
  mayFollow(attempt: RunningAttempt): boolean;
  /** Returns whether an error response of a server may be kept while another attempt is made. */
  mayRepeatErrors(): boolean;
  /** Ends a running attempt. */
  end(attempt: RunningAttempt): void;
  /** Ends all running attempts but one, which has delivered an event; all of them if it is undefined. */
  keepOnly(kept: RunningAttempt | undefined): void;
}

/**
 * Creates the attempts of a request.
 *
 * @param route - the route, which limits the attempts
 * @returns the attempts, of which none has been made
 */
export function createRequestAttempts(route: Pick<Route, 'repeat' | 'attempts'>): RequestAttempts {
  let running: readonly RunningAttempt[] = [];
  let history = emptyHistory;
  const countFailure = (attempt: RunningAttempt, failure: AttemptFailure): void => {
    if (!attempt.isInHistory) {
      attempt.isInHistory = true;
      history = recordFailedAttempt(history, failure, attempt.server.id);
    }
  };
  const end = (attempt: RunningAttempt): void => {
    attempt.end();
    running = running.filter((other) => other !== attempt);
  };
  return {
    history: () => history,
    count: () => running.length,
    newest: () => running.at(-1),
    find: (number) => running.find((attempt) => attempt.number === number),
    hasEvents: () => running.some(({ relay }) => relay.eventCount > 0),
    helperIds: () => running.flatMap(({ helpers }) => helpers.map(({ server }) => server.id)),
    add: (attempt) => {
      running = [...running, attempt];
    },
    countFailure,
    countUnsent: (server) => {
      history = recordFailedAttempt(history, AttemptFailure.NotSent, server);
    },
    outcome: () => outcomeOf(history),
    mayRetry: () => mayRetry(route.repeat, history, route.attempts),
    mayFollow: (attempt) => {
      const without = attempt.isInHistory
        ? history
        : recordFailedAttempt(history, AttemptFailure.InDoubt, attempt.server.id);
      return mayRetry(route.repeat, without, route.attempts);
    },
    mayRepeatErrors: () =>
      route.repeat !== RepeatPolicy.Once && (running.length > 1 || history.sent + 1 < route.attempts),
    end,
    keepOnly: (kept) => {
      for (const attempt of running.filter((other) => other !== kept)) {
        countFailure(attempt, attempt.isSent() ? AttemptFailure.InDoubt : AttemptFailure.NotSent);
        end(attempt);
      }
    },
  };
}
