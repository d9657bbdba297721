/**
 * The inactivity timeout of a running attempt, after which failover to another server is considered.
 *
 * A server may stop answering without closing its connections. The timeout is well above the target pause between events,
 * since engines stall for longer than that at times, and abandoning one of them discards its work.
 */
import { type Route } from '@toucanbend/registry';
import { type CallerRequest } from './caller-request.js';
import { type RunningAttempt } from './running-attempt.js';

/** The progress of a running attempt. */
export interface AttemptProgress {
  /** Whether no other attempt may follow it. */
  readonly isLast: boolean;
  /** Whether its first event has arrived. */
  readonly hasStarted: boolean;
  /** Predicted time to its first event, in milliseconds. */
  readonly expectedMs: number;
  /** Time from its dispatch until the request misses its target, in milliseconds. */
  readonly untilTargetMs: number;
  /** Whether the memory reserved for it is no longer in use at its engines. */
  readonly isMemoryIdle: boolean;
}

/** Margin added to the time allowed for the first event, in milliseconds. */
const PREDICTION_MARGIN_MS = 500;
/** Multiple of the predicted time that is allowed for the first event. */
const FIRST_EVENT_TOLERANCE = 3;
/** Multiple of the predicted time that must be left until the target for another server to meet it. */
const REPLACEMENT_TOLERANCE = 1.5;
/** Multiple of the target pause that is allowed between events of a stream. */
const PAUSE_TOLERANCE = 4;
/** Shortest timeout between events of a stream, in milliseconds: engines stall for longer than the target pause at times. */
const MIN_STREAM_TIMEOUT_MS = 1_200;

/**
 * Calculates the inactivity timeout.
 *
 * @param route - targets of the request
 * @param progress - the running attempt
 * @returns the allowed time since the last event, in milliseconds; Infinity if the request may not be retried
 */
export function inactivityTimeoutMs(
  route: Pick<Route, 'targetMs' | 'targetPauseMs'>,
  progress: AttemptProgress,
): number {
  if (progress.isLast) {
    return Infinity;
  }
  if (progress.isMemoryIdle) {
    return 0;
  }
  return progress.hasStarted
    ? Math.max(MIN_STREAM_TIMEOUT_MS, PAUSE_TOLERANCE * route.targetPauseMs)
    : firstEventTimeoutMs(route.targetMs, progress);
}

/**
 * Returns the time allowed for the first event: it ends while another server can still meet the target, if that is well after
 * the predicted time.
 */
function firstEventTimeoutMs(targetMs: number, { expectedMs, untilTargetMs }: AttemptProgress): number {
  const toleratedMs = FIRST_EVENT_TOLERANCE * expectedMs;
  const latestMs = Math.max(targetMs, toleratedMs) + PREDICTION_MARGIN_MS;
  const lastReplacementMs = untilTargetMs - REPLACEMENT_TOLERANCE * expectedMs;
  return lastReplacementMs < toleratedMs + PREDICTION_MARGIN_MS
    ? latestMs
    : Math.min(latestMs, lastReplacementMs);
}

/**
 * Calculates the inactivity timeout of a running attempt.
 *
 * @param request - the request
 * @param attempt - the running attempt
 * @param isLast - whether no other attempt may follow it
 * @returns the allowed time since the last event, in milliseconds; Infinity if the request may not be retried
 */
export function inactivityTimeoutOf(
  { route, receivedAtMs }: Pick<CallerRequest, 'route' | 'receivedAtMs'>,
  attempt: Pick<RunningAttempt, 'relay' | 'expectedMs' | 'isMemoryIdle' | 'dispatchedAtMs'>,
  isLast: boolean,
): number {
  const { relay, expectedMs, isMemoryIdle, dispatchedAtMs } = attempt;
  const untilTargetMs = receivedAtMs + route.targetMs - dispatchedAtMs;
  return inactivityTimeoutMs(route, {
    isLast,
    hasStarted: relay.hasStarted,
    expectedMs,
    untilTargetMs,
    isMemoryIdle,
  });
}
