/** The running attempts of one request, and the history of those that did not answer it. */
import { AttemptFailure } from './attempt.js';
import { type AttemptHistory, emptyHistory, recordFailedAttempt } from './attempt-history.js';
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
  /** Returns the history as it is if an attempt that may have reached its server is given up. */
  historyWithout(attempt: RunningAttempt): AttemptHistory;
  /** Ends a running attempt. */
  end(attempt: RunningAttempt): void;
  /** Ends all running attempts but one, which has delivered an event; all of them if it is undefined. */
  keepOnly(kept: RunningAttempt | undefined): void;
}

/**
 * Creates the attempts of a request.
 *
 * @returns the attempts, of which none has been made
 */
export function createRequestAttempts(): RequestAttempts {
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
    historyWithout: (attempt) =>
      attempt.isInHistory ? history : recordFailedAttempt(history, AttemptFailure.InDoubt, attempt.server.id),
    end,
    keepOnly: (kept) => {
      for (const attempt of running.filter((other) => other !== kept)) {
        countFailure(attempt, attempt.isSent() ? AttemptFailure.InDoubt : AttemptFailure.NotSent);
        end(attempt);
      }
    },
  };
}
