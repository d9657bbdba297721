/** Records what an answer shows about the pace of its server. */
import { type CallerRequest } from './caller-request.js';
import { type ForwardingContext } from './context.js';
import { type RunningAttempt } from './running-attempt.js';

type AnsweredAttempt = Pick<RunningAttempt, 'server' | 'dispatchedAtMs' | 'expectedMs'>;

/**
 * Records the first event of an answer, or the answer of a plain service.
 *
 * @param context - the paces and the clock
 * @param attempt - the attempt that was answered
 */
export function recordPacedAnswer(
  context: Pick<ForwardingContext, 'paces' | 'clock'>,
  { server, dispatchedAtMs, expectedMs }: AnsweredAttempt,
): void {
  const seenMs = context.clock.now() - dispatchedAtMs;
  context.paces?.answered(server, { sentAtMs: dispatchedAtMs, predictedMs: expectedMs, seenMs });
}

/**
 * Records that a server has served a request.
 *
 * @param context - the load tracker, the paces and the clock
 * @param request - the request
 * @param attempt - the attempt that was answered
 * @param isSuccess - whether the answer is a success
 */
export function recordServed(
  context: Pick<ForwardingContext, 'loadTracker' | 'paces' | 'clock'>,
  { service }: Pick<CallerRequest, 'service'>,
  attempt: AnsweredAttempt,
  isSuccess: boolean,
): void {
  context.loadTracker.succeeded(attempt.server.id);
  if (service.engine === undefined && isSuccess) {
    recordPacedAnswer(context, attempt);
  }
}
