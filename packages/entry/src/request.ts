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
