/**
 * How long the server of a running attempt may be silent before another place is looked for.
 *
 * Answers the failure of servers that stop answering without closing their connections, beside engines that stall for
 * longer than a pause at times and would lose their work if they were left.
 */
import { type Route } from '@toucanbend/registry';

/** What is known of a running attempt. */
export interface AttemptProgress {
  /** Whether no other attempt may follow it. */
  readonly isLast: boolean;
  /** Whether an event of it has come. */
  readonly hasStarted: boolean;
  /** Predicted time to its first event, in milliseconds. */
  readonly expectedMs: number;
  /** Whether the engines do not use the memory that was set aside for it. */
  readonly isMemoryIdle: boolean;
}

/** Time added to a prediction before a silent server is given up, in milliseconds. */
const SILENCE_MARGIN_MS = 500;
/** How many times the predicted time a first event may take before another server is tried. */
const FIRST_EVENT_TOLERANCE = 3;
/** How many times the accepted pause a stream may be silent before it goes on at another server. */
const PAUSE_TOLERANCE = 4;
/** Least silence of a stream that is acted on, in milliseconds: engines stall for longer than a pause at times. */
const LEAST_SILENCE_MS = 1_200;

/**
 * Gives the silence that is accepted.
 *
 * @param route - targets of the request
 * @param progress - the running attempt
 * @returns time since the last event, in milliseconds; Infinity where nothing may follow
 */
export function acceptedSilenceMs(
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
    ? Math.max(LEAST_SILENCE_MS, PAUSE_TOLERANCE * route.targetPauseMs)
    : Math.max(route.targetMs, FIRST_EVENT_TOLERANCE * progress.expectedMs) + SILENCE_MARGIN_MS;
}
