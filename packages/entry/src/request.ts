/** Parsed requests and their results. */
import { type Outcome, type Rank, type Reason, type RequestKind, type ServiceCall } from '@toucanbend/core';

/** Fields common to all requests. */
export interface EntryRequest {
  readonly requestId: string;
  readonly kind: RequestKind;
  /** Name of the model or plain service. */
  readonly target: string;
  readonly account: string;
  readonly weight: number;
  readonly rank: Rank;
  readonly receivedAtMs: number;
  readonly deadlineAtMs: number;
  /** Latest useful time of the first token, in milliseconds after the request was received. */
  readonly firstTokenLimitMs: number;
  readonly body: Uint8Array;
}

/**
 * Share of the time until the first-token limit or the deadline, whichever is earlier, within which sides are asked that
 * did not answer before. Sides that are short of processor time answer too late for one query, and in time for a later one.
 */
const REPEATED_QUERY_SHARE = 0.5;

/**
 * Returns until when sides that did not answer a probe in time are asked again for a request.
 *
 * @param request - the request
 * @returns the time, in milliseconds on the entry's clock
 */
export function latestQueryAtMs(request: EntryRequest): number {
  const { receivedAtMs, firstTokenLimitMs, deadlineAtMs } = request;
  return receivedAtMs + REPEATED_QUERY_SHARE * Math.min(firstTokenLimitMs, deadlineAtMs - receivedAtMs);
}

/** A completion; its body is the prompt. */
export interface CompletionRequest extends EntryRequest {
  readonly kind: RequestKind.Model;
  readonly promptTokens: number;
  readonly maxTokens: number;
  readonly prefix: readonly number[];
}

/** A call of a plain service. */
export interface CallRequest extends EntryRequest {
  readonly kind: RequestKind.Service;
  readonly call: ServiceCall;
  /** Whether running the call more than once has no further effect. */
  readonly isIdempotent: boolean;
  readonly idempotencyKey: string | undefined;
}

/** Outcome of a request, its reason, and when to retry. */
export interface RequestEnd {
  readonly outcome: Outcome;
  readonly reason: Reason;
  /** Time after which the caller may retry, in milliseconds; 0 if unspecified. */
  readonly retryAfterMs: number;
}

/** The answer of a plain service, as sent to the caller. */
export interface CallAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly bytes: Uint8Array;
}
