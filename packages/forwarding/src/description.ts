/** What the log says about decisions and answers. */
import { DecisionKind, type LoadBook, type PlacementDecision } from '@toucanbend/placement';
import { type CallerRequest } from './caller-request.js';

/** Times of an answer as they were seen here. */
export interface AnswerTiming {
  readonly server: string;
  readonly attempts: number;
  /** Predicted time to the first event, in milliseconds. */
  readonly expectedMs: number;
  readonly firstEventMs: number;
  readonly longestPauseMs: number;
  readonly events: number;
}

/** Times of a request that has no answer yet. */
export const unmeasured: AnswerTiming = {
  server: '',
  attempts: 0,
  expectedMs: 0,
  firstEventMs: 0,
  longestPauseMs: 0,
  events: 0,
};

/**
 * Describes a decision about a place.
 *
 * @param decision - the decision
 * @param book - what is known to be at the servers
 * @returns fields for the log
 */
export function describeDecision(
  decision: PlacementDecision,
  book: LoadBook,
): Record<string, string | number> {
  const decided = decision.kind;
  switch (decision.kind) {
    case DecisionKind.Refuse:
      return { decided, reason: decision.reason, retryAfterMs: Math.round(decision.retryAfterMs) };
    case DecisionKind.Wait:
      return { decided, cost: Math.round(decision.cost * 100) / 100 };
    case DecisionKind.Send:
      return {
        decided,
        server: decision.server.id,
        helpers: decision.helpers.length,
        expectedMs: Math.round(decision.expectedMs),
        cost: Math.round(decision.cost * 100) / 100,
        there: book.load(decision.server.id).jobs.size,
      };
  }
}

/**
 * Describes an answer and its times.
 *
 * @param request - the request
 * @param timing - times of its answer
 * @returns fields for the log
 */
export function describeAnswer(
  request: CallerRequest,
  timing: AnswerTiming,
): Record<string, string | number> {
  return {
    route: request.route.name,
    rank: request.rank,
    promptTokens: request.head.prompt?.promptTokens ?? 0,
    server: timing.server,
    attempts: timing.attempts,
    expectedMs: Math.round(timing.expectedMs),
    firstEventMs: Math.round(timing.firstEventMs),
    targetMs: request.route.targetMs,
    longestPauseMs: Math.round(timing.longestPauseMs),
    targetPauseMs: request.route.targetPauseMs,
    events: timing.events,
  };
}
