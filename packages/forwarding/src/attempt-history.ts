/** Decides whether a failed attempt may be retried, and which outcome a request without an answer has. */
import { Outcome } from '@toucanbend/core';
import { RepeatPolicy } from '@toucanbend/registry';
import { AttemptFailure } from './attempt.js';

/** The failed attempts of a request. */
export interface AttemptHistory {
  /** Ids of the servers that the request reached or may have reached, each once. */
  readonly servers: readonly string[];
  /** Attempts whose request reached a server or may have reached one. */
  readonly sent: number;
  /** Attempts for which no connection was made. */
  readonly unsent: number;
  /** Whether a server may have run the request. */
  readonly isInDoubt: boolean;
}

export const emptyHistory: AttemptHistory = { servers: [], sent: 0, unsent: 0, isInDoubt: false };

/** Limit on failed connections for one request, which bounds the attempts at a service that is down. */
const MAX_FAILED_CONNECTIONS = 3;
/**
 * Attempts beyond one for each server that the route allows: a server that turned a request away since a helper of it
 * was gone may get it again with other helpers.
 */
const MAX_REPEATS_AT_SERVERS = 1;

/**
 * Records a failed attempt.
 *
 * @param history - the earlier attempts
 * @param failure - how the attempt failed
 * @param server - id of the server that got the request, or was to get it
 * @returns the history including this attempt
 */
export function recordFailedAttempt(
  history: AttemptHistory,
  failure: AttemptFailure,
  server: string,
): AttemptHistory {
  if (failure === AttemptFailure.NotSent) {
    return { ...history, unsent: history.unsent + 1 };
  }
  return {
    ...history,
    servers: history.servers.includes(server) ? history.servers : [...history.servers, server],
    sent: history.sent + 1,
    isInDoubt: history.isInDoubt || failure === AttemptFailure.InDoubt,
  };
}

/**
 * Checks whether a request may be sent to another server.
 *
 * @param policy - the route's policy for requests that may have run
 * @param history - the attempts so far
 * @param maxServers - the limit on servers that the request may reach
 * @returns whether another attempt may be made
 */
export function mayRetry(policy: RepeatPolicy, history: AttemptHistory, maxServers: number): boolean {
  if (history.isInDoubt && policy === RepeatPolicy.Once) {
    return false;
  }
  return (
    history.servers.length < maxServers &&
    history.sent < maxServers + MAX_REPEATS_AT_SERVERS &&
    history.unsent < MAX_FAILED_CONNECTIONS
  );
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
