/** A caller's request once its route, account and body are known. */
import { type Job } from '@toucanbend/placement';
import { AnswerForm, type Route, type Service } from '@toucanbend/registry';
import { type CallerHead, type RawHeaders } from './dialect.js';

/** A caller's request that may be forwarded. */
export interface CallerRequest {
  readonly head: CallerHead;
  readonly method: string;
  /** Path with its query, as the caller sent it. */
  readonly path: string;
  readonly headers: RawHeaders;
  readonly body: Buffer;
  readonly route: Route;
  readonly service: Service;
  readonly account: string | undefined;
  readonly rank: number;
  readonly receivedAtMs: number;
  /** When the caller's patience or the route's timeout ends. */
  readonly deadlineAtMs: number;
}

/** Share of the longest answer that is expected where the caller gives no estimate. */
const EXPECTED_ANSWER_SHARE = 0.7;

/**
 * Describes a request to placement.
 *
 * @param request - the request
 * @returns the job
 */
export function jobOf(request: CallerRequest): Job {
  const { head, route, service, rank, receivedAtMs, deadlineAtMs } = request;
  const { prompt } = head;
  const generation =
    prompt === undefined || route.form !== AnswerForm.EventStream
      ? undefined
      : {
          promptTokens: prompt.promptTokens,
          answerTokens: Math.max(
            1,
            Math.min(
              prompt.maxAnswerTokens,
              prompt.expectedAnswerTokens ?? prompt.maxAnswerTokens * EXPECTED_ANSWER_SHARE,
            ),
          ),
        };
  return {
    id: head.requestId,
    service: service.name,
    generation,
    rank,
    arrivedAtMs: receivedAtMs,
    targetMs: route.targetMs,
    targetPauseMs: route.targetPauseMs,
    deadlineAtMs,
  };
}
