/** A request that a side tracks: its body, the answer so far, and its listeners. */
import { type CancelTimer, Outcome, Reason, type ServiceCall, type WorkDescription } from '@toucanbend/core';
import { type ServiceAnswer } from '@toucanbend/service';
import { type FrameOf, FrameType, type Link } from '@toucanbend/wire';

/** Phase of a tracked request. */
export enum RequestPhase {
  /** The body has not been received completely. */
  Receiving = 'receiving',
  /** The request is queued. */
  Waiting = 'waiting',
  /** The request has been dispatched to the backend server. */
  Running = 'running',
  Ended = 'ended',
}

/** An entry's subscription to a tracked request, under that entry's own request and attempt. */
export interface Listener {
  readonly link: Link;
  readonly requestId: string;
  readonly attempt: number;
}

/** The end of a tracked request. */
export interface RequestEnd {
  readonly outcome: Outcome;
  readonly reason: Reason;
  readonly retryAfterMs: number;
}

/** A request that a side tracks from its acceptance until its answer is no longer retained. */
export interface TrackedRequest {
  readonly id: string;
  readonly requestId: string;
  readonly attempt: number;
  readonly work: WorkDescription;
  readonly call: ServiceCall | undefined;
  /** Execution token of a call that must not be repeated; undefined for other requests. */
  readonly token: string | undefined;
  readonly deadlineAtMs: number;
  readonly bodyBytes: number;
  readonly chunks: Uint8Array[];
  receivedBytes: number;
  phase: RequestPhase;
  /** Tokens of the answer that this attempt has generated. */
  readonly tokens: string[];
  /** Number of tokens of the answer that earlier attempts delivered. */
  readonly deliveredTokens: number;
  answer: ServiceAnswer | undefined;
  end: RequestEnd | undefined;
  listeners: Listener[];
  lastTokenAtMs: number;
  readonly acceptedAtMs: number;
  /** Time to the first token as predicted when the request was accepted, in milliseconds. */
  predictedFirstTokenMs: number;
  /** Measured time to the first token, in milliseconds; undefined until it arrives. */
  firstTokenMs: number | undefined;
  cancelBackend: (() => void) | undefined;
  readonly timers: Map<RequestTimer, CancelTimer>;
}

/** Timers of a tracked request. */
export enum RequestTimer {
  Deadline = 'deadline',
  Orphan = 'orphan',
  Retention = 'retention',
}

/**
 * Returns the identifier of an attempt, which is unique at a side.
 *
 * @param requestId - identifier of the request
 * @param attempt - number of the attempt
 * @returns the identifier
 */
export function attemptId(requestId: string, attempt: number): string {
  return `${requestId}#${String(attempt)}`;
}

/**
 * Creates a tracked request from a `Submit` frame, with the sender as its listener.
 *
 * @param frame - the frame
 * @param link - the link that received the frame
 * @param nowMs - current time, in milliseconds on the side's clock
 * @returns the request, whose body is still to be received
 */
export function createTrackedRequest(
  frame: FrameOf<FrameType.Submit>,
  link: Link,
  nowMs: number,
): TrackedRequest {
  const { requestId, attempt, kind, target, rank, account, weight, promptTokens, maxTokens, prefix } = frame;
  const { firstTokenLimitMs } = frame;
  return {
    id: attemptId(requestId, attempt),
    requestId,
    attempt,
    work: { kind, target, rank, account, weight, promptTokens, maxTokens, prefix, firstTokenLimitMs },
    call: frame.call,
    token: frame.token,
    deadlineAtMs: nowMs + frame.timeLeftMs,
    bodyBytes: frame.bodyBytes,
    chunks: [],
    receivedBytes: 0,
    phase: RequestPhase.Receiving,
    tokens: [],
    deliveredTokens: frame.deliveredTokens,
    answer: undefined,
    end: undefined,
    listeners: [{ link, requestId, attempt }],
    lastTokenAtMs: nowMs,
    acceptedAtMs: nowMs,
    predictedFirstTokenMs: 0,
    firstTokenMs: undefined,
    cancelBackend: undefined,
    timers: new Map(),
  };
}

/**
 * Notifies a listener of the end of a request.
 *
 * @param listener - the listener
 * @param end - outcome, reason and retry delay
 * @param tokens - length of the whole answer, in tokens
 */
export function sendEnd(listener: Listener, end: RequestEnd, tokens: number): void {
  const { link, requestId, attempt } = listener;
  link.send({ type: FrameType.Done, requestId, attempt, ...end, tokens });
}

/**
 * Sends a listener the parts of the answer that it has not received, and the end if the request has ended.
 *
 * @param request - the request
 * @param listener - the listener
 * @param offset - number of tokens that the listener has received, from the start of the whole answer
 */
export function replay(request: TrackedRequest, listener: Listener, offset: number): void {
  const { link, requestId, attempt } = listener;
  link.send({ type: FrameType.Accepted, requestId, attempt });
  const tokens = request.tokens.slice(Math.max(0, offset - request.deliveredTokens));
  if (tokens.length > 0) {
    link.send({
      type: FrameType.Output,
      requestId,
      attempt,
      offset: Math.max(offset, request.deliveredTokens),
      tokens,
    });
  }
  if (request.answer !== undefined) {
    sendAnswer(listener, request.answer);
  }
  if (request.end !== undefined) {
    sendEnd(listener, request.end, request.deliveredTokens + request.tokens.length);
  }
}

/**
 * Sends a listener the answer of a plain service.
 *
 * @param listener - the listener
 * @param answer - status, content type and body
 */
export function sendAnswer(listener: Listener, answer: ServiceAnswer): void {
  const { link, requestId, attempt } = listener;
  const { status, contentType, body } = answer;
  link.send({ type: FrameType.Answer, requestId, attempt, status, contentType, bytes: body });
}
