/** A caller's request after admission, when its route, account and body are known. */
import { type Job } from '@toucanbend/placement';
import { digestRequest } from '@toucanbend/quarantine';
import { AnswerForm, type Route, type Service } from '@toucanbend/registry';
import { type CallerHead, type RawHeaders } from './dialect.js';

/** An admitted request. */
export interface CallerRequest {
  readonly head: CallerHead;
  readonly method: string;
  /** Value of the `Host` header. */
  readonly host: string;
  /** Path and query as the caller sent them. */
  readonly path: string;
  readonly headers: RawHeaders;
  readonly body: Buffer;
  readonly route: Route;
  readonly service: Service;
  readonly account: string | undefined;
  readonly rank: number;
  readonly receivedAtMs: number;
  /** Delay with which this process handled its input when the request was read, in milliseconds. */
  readonly inputDelayMs: number;
  /** When the caller's or the route's timeout expires, whichever is earlier. */
  readonly deadlineAtMs: number;
}

/** Expected answer length as a fraction of the longest one, if the caller gives no estimate. */
const EXPECTED_ANSWER_SHARE = 0.7;

/**
 * Creates the job that placement plans for a request.
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

/**
 * Computes the digest of a request, which is the same each time that its caller sends it.
 *
 * @param request - the request
 * @returns the digest
 */
export function digestOf({ head, account, method, host, path, body }: CallerRequest): string {
  // Without a body, a prompt is what the headers state of it.
  const content = body.length > 0 ? body : Buffer.from(JSON.stringify(head.prompt ?? null));
  return digestRequest({ account, method, host, path, body: content });
}
