/** Records what the arrival of an event shows: in the metrics, the load tracker and the timing of the answer. */
import { type CallerRequest } from './caller-request.js';
import { type ForwardingContext } from './context.js';
import { type AnswerTiming, extendTiming } from './log-fields.js';
import { recordPacedAnswer } from './pace-observation.js';
import { type RunningAttempt } from './running-attempt.js';

/**
 * Records that events of an attempt have arrived.
 *
 * @param context - the metrics, the load tracker and the clock
 * @param request - the request
 * @param jobId - id of the request's job
 * @param attempt - the attempt
 * @param isFirst - whether the first event of the attempt is among them
 * @param timing - timing of the answer until then
 * @returns the timing of the answer since
 */
export function observeEvents(
  context: ForwardingContext,
  { service, receivedAtMs, rank }: CallerRequest,
  jobId: string,
  attempt: RunningAttempt,
  isFirst: boolean,
  timing: AnswerTiming,
): AnswerTiming {
  const { loadTracker, metrics, planner, clock } = context;
  const { server, relay, number, expectedMs, dispatchedAtMs } = attempt;
  const atMs = clock.now();
  const elapsedMs = atMs - receivedAtMs;
  const pauseMs = isFirst ? undefined : atMs - attempt.lastEventAtMs();
  attempt.recordEvent();
  if (isFirst && number === 1) {
    metrics.observeFirstEvent(rank, elapsedMs);
    metrics.observePrediction(rank, expectedMs, elapsedMs);
  }
  if (isFirst && service.engine !== undefined) {
    recordPacedAnswer(context, attempt);
  }
  const tokens = relay.eventCount * (service.engine?.stepsPerPass ?? 1);
  const networkDelayMs = server.dataCentre === planner.dataCentre ? 0 : planner.crossRoundTripMs / 2;
  const observed = { jobId, tokens, pauseMs, atMs, networkDelayMs };
  loadTracker.observed(server.id, service.engine, observed);
  return extendTiming(timing, {
    server: server.id,
    attempt: number,
    expectedMs: dispatchedAtMs - receivedAtMs + expectedMs,
    elapsedMs,
    pauseMs,
  });
}
