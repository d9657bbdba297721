/** Log fields of placement decisions and answers. */
import {
  DecisionKind,
  type LoadTracker,
  type PlacementDecision,
  type RoomReport,
} from '@toucanbend/placement';
import { type CallerRequest } from './caller-request.js';

/** Timing of an answer as this entry measured it. */
export interface AnswerTiming {
  readonly server: string;
  readonly attempts: number;
  /** Predicted time to the first event, in milliseconds. */
  readonly expectedMs: number;
  readonly firstEventMs: number;
  readonly longestPauseMs: number;
  readonly events: number;
}

/** Timing of a request before its first event. */
export const emptyTiming: AnswerTiming = {
  server: '',
  attempts: 0,
  expectedMs: 0,
  firstEventMs: 0,
  longestPauseMs: 0,
  events: 0,
};

/** An event of an answer, as its timing records it. */
export interface TimedEvent {
  readonly server: string;
  /** Number of the attempt that the event belongs to. */
  readonly attempt: number;
  /** Predicted time from the request to its first event, in milliseconds. */
  readonly expectedMs: number;
  /** Time since the request, in milliseconds. */
  readonly elapsedMs: number;
  /** Time since the previous event, in milliseconds; undefined for the first event of an attempt. */
  readonly pauseMs: number | undefined;
}

/**
 * Adds an event to the timing of an answer.
 *
 * @param timing - the timing so far
 * @param event - the event
 * @returns the timing with the event
 */
export function extendTiming(timing: AnswerTiming, event: TimedEvent): AnswerTiming {
  const isFirst = timing.events === 0;
  return {
    server: event.server,
    attempts: event.attempt,
    expectedMs: isFirst ? event.expectedMs : timing.expectedMs,
    firstEventMs: isFirst ? event.elapsedMs : timing.firstEventMs,
    longestPauseMs: Math.max(timing.longestPauseMs, event.pauseMs ?? 0),
    events: timing.events + 1,
  };
}

function roomLogFields(room: RoomReport | undefined): Record<string, string | number> {
  return room === undefined
    ? {}
    : {
        room: room.decision,
        freePlaces: room.freePlaces,
        places: room.places,
        expectedMs: Math.round(room.expectedMs),
      };
}

/**
 * Builds the log fields of a placement decision.
 *
 * @param decision - the decision
 * @param loadTracker - the load tracker
 * @returns the log fields
 */
export function decisionLogFields(
  decision: PlacementDecision,
  loadTracker: LoadTracker,
): Record<string, string | number> {
  const decided = decision.kind;
  switch (decision.kind) {
    case DecisionKind.Reject:
      return {
        decided,
        reason: decision.reason,
        retryAfterMs: Math.round(decision.retryAfterMs),
        ...roomLogFields(decision.room),
      };
    case DecisionKind.Wait:
      return { decided, cost: Math.round(decision.cost * 100) / 100, ...roomLogFields(decision.room) };
    case DecisionKind.Send:
      return {
        decided,
        server: decision.server.id,
        helpers: decision.helpers.length,
        expectedMs: Math.round(decision.expectedMs),
        cost: Math.round(decision.cost * 100) / 100,
        there: loadTracker.load(decision.server.id).jobs.size,
      };
  }
}

/**
 * Builds the log fields of an answer.
 *
 * @param request - the request
 * @param timing - the timing of its answer
 * @returns the log fields
 */
export function answerLogFields(
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
