/** Following the answer of one attempt: a whole answer is collected, the events of a stream are passed on. */
import { Outcome } from '@toucanbend/core';
import { type BackendServer } from '@toucanbend/registry';
import { type AnswerStart, type AttemptEvent, AttemptEventType, AttemptFailure } from './attempt.js';
import { type CallerAnswer, EndReason, type RequestEnd } from './caller-answer.js';
import { type ForwardingContext } from './context.js';
import { createEventSplitter, type StreamEvent } from './event-splitter.js';

/** A whole answer of a server that is kept in case that no better one comes. */
export interface KeptAnswer {
  readonly start: AnswerStart;
  readonly body: Buffer;
}

function isSuccess(status: number): boolean {
  return status >= 200 && status < 300;
}

function isServerError(status: number): boolean {
  return status >= 500;
}

/** What became of an attempt. */
export type AttemptResult =
  | { readonly failure: undefined; readonly end: RequestEnd }
  | { readonly failure: AttemptFailure; readonly detail: string };

const answered: AttemptResult = {
  failure: undefined,
  end: { outcome: Outcome.Complete, reason: EndReason.Answered, retryAfterMs: 0 },
};

/** Follows the answer of one attempt. */
export interface Follower {
  readonly hasStarted: boolean;
  readonly eventsSeen: number;
  readonly lastEventId: number | undefined;
  readonly kept: KeptAnswer | undefined;
  /**
   * Takes the next event of the attempt.
   *
   * @param event - the event
   * @param mayRepeat - whether an error of the server may be followed by another attempt
   * @returns what became of the attempt, once that is known
   */
  take(event: AttemptEvent, mayRepeat: boolean): AttemptResult | undefined;
}

/** Longest answer that is collected, in bytes: a few of them at once fit into the memory of the smallest host. */
const MAX_ANSWER_BYTES = 8 * 1024 * 1024;
/** Longest event of a stream, in bytes; each stream may have one that is not whole yet. */
const MAX_EVENT_BYTES = 1024 * 1024;

const unsigned = (start: AnswerStart | undefined): AttemptResult => ({
  failure: AttemptFailure.InDoubt,
  detail: `status ${String(start?.status)} without signature`,
});

/** Collects an answer and passes it on once it is whole. */
export class WholeFollower implements Follower {
  readonly #context: ForwardingContext;
  readonly #answer: CallerAnswer;
  readonly #server: BackendServer;
  readonly #sentAtMs: number;
  readonly #chunks: Buffer[] = [];
  #length = 0;
  #start: AnswerStart | undefined;
  kept: KeptAnswer | undefined;
  readonly eventsSeen = 0;
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

  take(event: AttemptEvent, mayRepeat: boolean): AttemptResult | undefined {
    switch (event.type) {
      case AttemptEventType.Started:
        this.#start = event.start;
        return event.start.isSigned ? undefined : unsigned(event.start);
      case AttemptEventType.Body:
        return this.#collect(event.chunk);
      case AttemptEventType.Failed:
        return { failure: event.failure, detail: event.detail };
      case AttemptEventType.Ended:
        return this.#finish(mayRepeat);
    }
  }

  #collect(chunk: Buffer): AttemptResult | undefined {
    this.#length += chunk.length;
    if (this.#length > MAX_ANSWER_BYTES) {
      return { failure: AttemptFailure.InDoubt, detail: 'answer beyond its longest length' };
    }
    this.#chunks.push(chunk);
    return undefined;
  }

  #finish(mayRepeat: boolean): AttemptResult {
    const start = this.#start;
    if (start === undefined) {
      return unsigned(start);
    }
    const body = Buffer.concat(this.#chunks);
    const { clock, book } = this.#context;
    book.called(this.#server.id, clock.now() - this.#sentAtMs);
    if (isServerError(start.status) && mayRepeat) {
      this.kept = { start, body };
      return { failure: AttemptFailure.InDoubt, detail: `status ${String(start.status)}` };
    }
    this.#answer.send(start, body);
    return answered;
  }
}

/** Passes the events of a stream on as they come, each one once. */
export class StreamFollower implements Follower {
  readonly #answer: CallerAnswer;
  readonly #whole: WholeFollower;
  readonly #splitter = createEventSplitter();
  readonly #resumedAfter: number | undefined;
  #start: AnswerStart | undefined;
  eventsSeen = 0;
  lastEventId: number | undefined;

  constructor(
    context: ForwardingContext,
    answer: CallerAnswer,
    server: BackendServer,
    resumedAfter: number | undefined,
  ) {
    this.#answer = answer;
    this.#resumedAfter = resumedAfter;
    this.#whole = new WholeFollower(context, answer, server, context.clock.now());
  }

  get hasStarted(): boolean {
    return this.eventsSeen > 0;
  }

  get kept(): KeptAnswer | undefined {
    return this.#whole.kept;
  }

  take(event: AttemptEvent, mayRepeat: boolean): AttemptResult | undefined {
    if (event.type === AttemptEventType.Started) {
      this.#start = event.start;
    }
    const start = this.#start;
    if (start !== undefined && !isSuccess(start.status)) {
      return this.#takeError(event, start, mayRepeat);
    }
    switch (event.type) {
      case AttemptEventType.Started:
        return event.start.isSigned ? undefined : unsigned(event.start);
      case AttemptEventType.Body:
        this.#splitter.push(event.chunk).forEach((whole) => {
          this.#deliver(whole);
        });
        return this.#splitter.pendingBytes() > MAX_EVENT_BYTES
          ? { failure: AttemptFailure.InDoubt, detail: 'event beyond its longest length' }
          : undefined;
      case AttemptEventType.Failed:
        return { failure: event.failure, detail: event.detail };
      case AttemptEventType.Ended:
        return this.#finish();
    }
  }

  /** An error instead of a stream is passed on whole, unless part of a stream was delivered. */
  #takeError(event: AttemptEvent, start: AnswerStart, mayRepeat: boolean): AttemptResult | undefined {
    if (this.#answer.hasBegun()) {
      return {
        failure: AttemptFailure.InDoubt,
        detail: `status ${String(start.status)} to a resumed stream`,
      };
    }
    return this.#whole.take(event, mayRepeat);
  }

  #deliver(event: StreamEvent): void {
    this.eventsSeen += 1;
    const isRepeated =
      this.#resumedAfter !== undefined && event.id !== undefined && event.id <= this.#resumedAfter;
    if (isRepeated) {
      return;
    }
    this.#begin();
    this.lastEventId = event.id ?? this.lastEventId;
    this.#answer.write(event.bytes);
  }

  #begin(): void {
    if (!this.#answer.hasBegun() && this.#start !== undefined) {
      this.#answer.begin(this.#start);
    }
  }

  #finish(): AttemptResult {
    if (this.#splitter.pendingBytes() > 0) {
      return { failure: AttemptFailure.InDoubt, detail: 'stream ended within an event' };
    }
    this.#begin();
    this.#answer.end();
    return answered;
  }
}
