/** Relays the answer of one attempt to the caller: buffered until it is complete, or event by event for a stream. */
import { createByteBuffer, Outcome } from '@toucanbend/core';
import { type BackendServer } from '@toucanbend/registry';
import { MAX_ANSWER_BYTES } from './answer-memory.js';
import {
  type AnswerStart,
  type AttemptEvent,
  AttemptEventType,
  AttemptFailure,
  type AttemptFault,
} from './attempt.js';
import { type CallerAnswer, EndReason, type RequestEnd } from './caller-answer.js';
import { type ForwardingContext } from './context.js';
import { createEventSplitter, type StreamEvent } from './event-splitter.js';
import { createStreamCheck, type StreamCheck } from './stream-check.js';

/** An error response of a server, kept for the case that no later attempt succeeds. */
export interface FallbackAnswer {
  readonly start: AnswerStart;
  readonly body: Buffer;
}

function isSuccess(status: number): boolean {
  return status >= 200 && status < 300;
}

function isServerError(status: number): boolean {
  return status >= 500;
}

/** The result of an attempt: the end of the request, or a failure after which it may be retried. */
export type AttemptResult = { readonly failure: undefined; readonly end: RequestEnd } | AttemptFault;

const answered: AttemptResult = {
  failure: undefined,
  end: { outcome: Outcome.Complete, reason: EndReason.Answered, retryAfterMs: 0 },
};

/** Relays the answer of one attempt. */
export interface AnswerRelay {
  readonly hasStarted: boolean;
  /** Whether the status of the answer reports a success. */
  readonly isSuccess: boolean;
  readonly eventCount: number;
  /** Number of events that were sent to the caller; events that an earlier attempt delivered are not sent again. */
  readonly deliveredCount: number;
  readonly lastEventId: number | undefined;
  readonly fallback: FallbackAnswer | undefined;
  /**
   * Handles the next event of the attempt.
   *
   * @param event - the event
   * @param mayRepeat - whether the request may be retried after an error response of the server
   * @returns the result of the attempt; undefined while it is running
   */
  handle(event: AttemptEvent, mayRepeat: boolean): AttemptResult | undefined;
}

const unsignedAnswer = (start: AnswerStart | undefined): AttemptResult => ({
  failure: AttemptFailure.InDoubt,
  detail: `status ${String(start?.status)} without a signature`,
});

const interruptedStream = (detail: string): AttemptResult => ({
  failure: AttemptFailure.InDoubt,
  detail,
  isConnectionLost: true,
});

/** Buffers an answer and sends it to the caller when it is complete. */
export class BufferedRelay implements AnswerRelay {
  readonly #context: ForwardingContext;
  readonly #answer: CallerAnswer;
  readonly #server: BackendServer;
  readonly #sentAtMs: number;
  readonly #body = createByteBuffer();
  #start: AnswerStart | undefined;
  fallback: FallbackAnswer | undefined;
  readonly eventCount = 0;
  readonly deliveredCount = 0;
  readonly lastEventId = undefined;

  constructor(context: ForwardingContext, answer: CallerAnswer, server: BackendServer, sentAtMs: number) {
    this.#context = context;
    this.#answer = answer;
    this.#server = server;
    this.#sentAtMs = sentAtMs;
  }

  get hasStarted(): boolean {
    return this.#start !== undefined;
  }

  get isSuccess(): boolean {
    return isSuccess(this.#start?.status ?? 0);
  }

  handle(event: AttemptEvent, mayRepeat: boolean): AttemptResult | undefined {
    switch (event.type) {
      case AttemptEventType.Started:
        this.#start = event.start;
        return event.start.isSigned ? undefined : unsignedAnswer(event.start);
      case AttemptEventType.Body:
        return this.#collect(event.chunk);
      case AttemptEventType.Failed:
        return event;
      case AttemptEventType.Ended:
        return this.#finish(mayRepeat);
    }
  }

  #collect(chunk: Buffer): AttemptResult | undefined {
    if (this.#body.length() + chunk.length > MAX_ANSWER_BYTES) {
      const detail = `answer of over ${String(MAX_ANSWER_BYTES)} bytes`;
      return { failure: AttemptFailure.InDoubt, detail };
    }
    if (!this.#answer.tryHold(chunk.length)) {
      const detail = `no memory for an answer of over ${String(this.#body.length())} bytes`;
      return { failure: AttemptFailure.InDoubt, detail };
    }
    this.#body.add(chunk);
    return undefined;
  }

  #finish(mayRepeat: boolean): AttemptResult {
    const start = this.#start;
    if (start === undefined) {
      return unsignedAnswer(start);
    }
    const body = this.#body.bytes();
    const { clock, loadTracker } = this.#context;
    loadTracker.recordCallDuration(this.#server.id, clock.now() - this.#sentAtMs);
    if (isServerError(start.status) && mayRepeat) {
      this.fallback = { start, body };
      return { failure: AttemptFailure.InDoubt, detail: `status ${String(start.status)}` };
    }
    this.#answer.send(start, body);
    return answered;
  }
}

/** What is known of a stream before it arrives. */
export interface StreamExpectation {
  /** Id of the last event that the caller has; undefined if it has none. */
  readonly resumedAfterId: number | undefined;
  /** Number of tokens that the caller asked for at most; undefined if it stated none. */
  readonly answerTokens: number | undefined;
}

/** Relays the events of a stream as they arrive, except those that an earlier attempt delivered. */
export class StreamRelay implements AnswerRelay {
  readonly #answer: CallerAnswer;
  readonly #buffered: BufferedRelay;
  readonly #splitter = createEventSplitter();
  readonly #check: StreamCheck;
  readonly #resumedAfterId: number | undefined;
  /** Comments since the last event, which are relayed with the next one: what precedes it may yet prove to be no stream. */
  readonly #comments: Buffer[] = [];
  #start: AnswerStart | undefined;
  eventCount = 0;
  deliveredCount = 0;
  lastEventId: number | undefined;

  constructor(
    context: ForwardingContext,
    answer: CallerAnswer,
    server: BackendServer,
    { resumedAfterId, answerTokens }: StreamExpectation,
  ) {
    this.#answer = answer;
    this.#resumedAfterId = resumedAfterId;
    this.#check = createStreamCheck(answerTokens);
    this.#buffered = new BufferedRelay(context, answer, server, context.clock.now());
  }

  get hasStarted(): boolean {
    return this.eventCount > 0;
  }

  get isSuccess(): boolean {
    return isSuccess(this.#start?.status ?? 0);
  }

  get fallback(): FallbackAnswer | undefined {
    return this.#buffered.fallback;
  }

  handle(event: AttemptEvent, mayRepeat: boolean): AttemptResult | undefined {
    if (event.type === AttemptEventType.Started) {
      this.#start = event.start;
    }
    const start = this.#start;
    if (start !== undefined && !isSuccess(start.status)) {
      return this.#handleError(event, start, mayRepeat);
    }
    switch (event.type) {
      case AttemptEventType.Started:
        return event.start.isSigned ? undefined : unsignedAnswer(event.start);
      case AttemptEventType.Body:
        return this.#relay(this.#splitter.push(event.chunk));
      case AttemptEventType.Failed:
        return event;
      case AttemptEventType.Ended:
        return this.#finish();
    }
  }

  /** Relays an error response in place of a stream as a buffered answer, unless part of the stream was delivered. */
  #handleError(event: AttemptEvent, start: AnswerStart, mayRepeat: boolean): AttemptResult | undefined {
    if (this.#answer.hasBegun()) {
      return {
        failure: AttemptFailure.InDoubt,
        detail: `status ${String(start.status)} in place of the resumed stream`,
      };
    }
    return this.#buffered.handle(event, mayRepeat);
  }

  /** Relays events up to the first one that cannot belong to the stream. */
  #relay(events: readonly StreamEvent[]): AttemptResult | undefined {
    const delivered: Buffer[] = [];
    let fault: string | undefined;
    for (const event of events) {
      fault = this.#check.next(event);
      if (fault !== undefined) {
        break;
      }
      if (event.isComment) {
        this.#comments.push(event.bytes);
        continue;
      }
      this.eventCount += 1;
      const comments = this.#comments.splice(0);
      if (!this.#isRepeated(event)) {
        delivered.push(...comments, event.bytes);
        this.deliveredCount += 1;
        this.lastEventId = event.id ?? this.lastEventId;
      }
    }
    this.#write(delivered);
    fault ??= this.#check.pending(this.#splitter.pendingBytes());
    return fault === undefined ? undefined : { failure: AttemptFailure.InDoubt, detail: fault };
  }

  /** Writes the pieces in one write; each write occupies memory of its own until the caller has read it. */
  #write(pieces: readonly Buffer[]): void {
    const [first] = pieces;
    if (first !== undefined) {
      this.#begin();
      this.#answer.write(pieces.length === 1 ? first : Buffer.concat(pieces));
    }
  }

  #isRepeated({ id }: StreamEvent): boolean {
    return this.#resumedAfterId !== undefined && id !== undefined && id <= this.#resumedAfterId;
  }

  #begin(): void {
    if (!this.#answer.hasBegun() && this.#start !== undefined) {
      this.#answer.begin(this.#start);
    }
  }

  #finish(): AttemptResult {
    if (this.#splitter.pendingBytes() > 0) {
      return interruptedStream('stream ended in the middle of an event');
    }
    if (this.eventCount === 0 && this.#start?.isFramed === false) {
      return interruptedStream('stream ended before its first event');
    }
    this.#write(this.#comments);
    this.#begin();
    this.#answer.end();
    return answered;
  }
}
