/** The process of one request: it places it, follows its attempts, and answers the caller. */
import { type Channel, createChannel, type ProcessBody, receiveWithin } from '@toucanbend/channel';
import { Outcome } from '@toucanbend/core';
import { DecisionKind as LogDecision } from '@toucanbend/observability';
import {
  DecisionKind,
  type Job,
  planJob,
  type PlacementDecision,
  RefusalReason,
} from '@toucanbend/placement';
import { AnswerForm, type BackendServer, RecordKind, RepeatPolicy } from '@toucanbend/registry';
import {
  type AnswerStart,
  type Attempt,
  type AttemptEvent,
  AttemptEventType,
  AttemptFailure,
  startAttempt,
} from './attempt.js';
import { type CallerAnswer, EndReason, type RequestEnd } from './caller-answer.js';
import { type CallerRequest, jobOf } from './caller-request.js';
import { type ForwardingContext } from './context.js';
import { createEventSplitter, type StreamEvent } from './event-splitter.js';
import { mayFollow, noAttempts, outcomeOf, recordAttempt } from './repeat.js';

/** What a request's process hears of. */
export type ForwardMessage =
  | { readonly type: ForwardMessageType.CallerGone }
  | { readonly type: ForwardMessageType.Attempt; readonly attempt: number; readonly event: AttemptEvent };

/** The kinds of {@link ForwardMessage}. */
export enum ForwardMessageType {
  CallerGone = 'caller_gone',
  Attempt = 'attempt',
}

/** Longest time for a connection to a server: several round trips, far below a packet's retransmission. */
const CONNECT_TIMEOUT_MS = 300;
/** Time added to a prediction before a silent server is given up, in milliseconds. */
const SILENCE_MARGIN_MS = 500;
/** How many times the predicted time a first event may take before another server is tried. */
const FIRST_EVENT_TOLERANCE = 3;
/** How many times the accepted pause a stream may be silent before it goes on at another server. */
const PAUSE_TOLERANCE = 4;
/** Least silence of a stream that is acted on, in milliseconds: engines stall for longer than a pause at times. */
const LEAST_SILENCE_MS = 1_200;
/** When a caller may try again after attempts that did not run, in milliseconds. */
const RETRY_AFTER_FAILURE_MS = 250;

const refusalReasons: Readonly<Record<RefusalReason, EndReason>> = {
  [RefusalReason.NoServer]: EndReason.NoServer,
  [RefusalReason.TooLate]: EndReason.TooLate,
  [RefusalReason.BeyondMemory]: EndReason.BeyondMemory,
};

/** A whole answer of a server that is kept in case that no better one comes. */
interface KeptAnswer {
  readonly start: AnswerStart;
  readonly body: Buffer;
}

function isSuccess(status: number): boolean {
  return status >= 200 && status < 300;
}

function isServerError(status: number): boolean {
  return status >= 500;
}

/** The process of one request. */
class Forward {
  readonly #context: ForwardingContext;
  readonly #request: CallerRequest;
  readonly #answer: CallerAnswer;
  readonly #inbox: Channel<ForwardMessage>;
  readonly #job: Job;
  #history = noAttempts;
  #attemptNumber = 0;
  #tried = new Set<string>();
  /** Id of the last event that the caller has. */
  #lastEventId: number | undefined;
  #kept: KeptAnswer | undefined;
  #expectedMs = 0;

  constructor(
    context: ForwardingContext,
    request: CallerRequest,
    answer: CallerAnswer,
    inbox: Channel<ForwardMessage>,
  ) {
    this.#context = context;
    this.#request = request;
    this.#answer = answer;
    this.#inbox = inbox;
    this.#job = jobOf(request);
  }

  *run(): ProcessBody<RequestEnd> {
    const { route, service } = this.#request;
    this.#context.retries.request(service.name, this.#request.receivedAtMs);
    for (;;) {
      if (this.#timeLeftMs() <= 0) {
        return this.#giveUp(EndReason.DeadlinePassed, 0);
      }
      const decision = this.#plan();
      if (decision.kind === DecisionKind.Refuse) {
        return this.#giveUp(refusalReasons[decision.reason], decision.retryAfterMs);
      }
      this.#expectedMs = decision.expectedMs;
      const end = yield* this.#attempt(decision.server);
      if (end !== undefined) {
        return end;
      }
      const isAllowed =
        mayFollow(route.repeat, this.#history, route.attempts) &&
        this.#context.retries.trySpend(service.name, this.#context.entryCount(), this.#context.clock.now());
      if (!isAllowed) {
        return this.#giveUp(EndReason.AttemptsUsed, RETRY_AFTER_FAILURE_MS);
      }
    }
  }

  #plan(): PlacementDecision {
    const { registry, book, planner, clock } = this.#context;
    const inputs = { registry: registry(), book, settings: planner };
    const decision = planJob(this.#job, this.#request.service, this.#tried, inputs, clock.now());
    this.#log(LogDecision.Route, {
      decided: decision.kind,
      ...(decision.kind === DecisionKind.Send
        ? {
            server: decision.server.id,
            expectedMs: Math.round(decision.expectedMs),
            cost: Math.round(decision.cost * 100) / 100,
            there: book.load(decision.server.id).jobs.size,
          }
        : { reason: decision.reason, retryAfterMs: Math.round(decision.retryAfterMs) }),
      serversRevision: inputs.registry.revisions[RecordKind.Server],
    });
    return decision;
  }

  /** Makes one attempt; undefined where another may follow. */
  *#attempt(server: BackendServer): ProcessBody<RequestEnd | undefined> {
    const { book, clock } = this.#context;
    const { engine } = this.#request.service;
    const sentAtMs = clock.now();
    this.#attemptNumber += 1;
    this.#tried.add(server.id);
    book.placed(server.id, engine, this.#job, sentAtMs);
    const attempt = this.#start(server);
    const result = yield* this.#follow(server, attempt, sentAtMs);
    attempt.cancel();
    book.ended(server.id, this.#job.id);
    if (result.failure === undefined) {
      book.succeeded(server.id);
      return result.end;
    }
    this.#history = recordAttempt(this.#history, result.failure);
    this.#context.metrics.countFailure(result.failure);
    if (result.failure !== AttemptFailure.NotRun) {
      book.failed(server.id, clock.now());
    }
    this.#log(LogDecision.Retry, {
      server: server.id,
      failure: result.failure,
      detail: result.detail,
      attempt: this.#attemptNumber,
      lastEventId: this.#lastEventId ?? -1,
    });
    return undefined;
  }

  #start(server: BackendServer): Attempt {
    const { clock, dialect } = this.#context;
    const { head, method, path, body, account, rank } = this.#request;
    const number = this.#attemptNumber;
    const headers = dialect.writeAttempt(this.#request.headers, {
      timeLeftMs: this.#timeLeftMs(),
      serverId: server.id,
      account,
      rank,
      lastEventId: this.#lastEventId,
    });
    return startAttempt({
      host: server.host,
      port: server.port,
      method,
      path,
      headers,
      body,
      requestId: head.requestId,
      connectTimeoutMs: Math.min(CONNECT_TIMEOUT_MS, this.#timeLeftMs()),
      clock,
      dialect,
      report: (event) => {
        this.#inbox.send({ type: ForwardMessageType.Attempt, attempt: number, event });
      },
    });
  }

  *#follow(server: BackendServer, attempt: Attempt, sentAtMs: number): ProcessBody<AttemptResult> {
    const follower =
      this.#request.route.form === AnswerForm.EventStream
        ? new StreamFollower(this.#context, this.#answer, server, this.#lastEventId)
        : new WholeFollower(this.#context, this.#answer, server, sentAtMs);
    let heardAtMs = sentAtMs;
    for (;;) {
      const { clock } = this.#context;
      const patienceMs = this.#silenceMs(follower.hasStarted) - (clock.now() - heardAtMs);
      const waitMs = Math.min(this.#timeLeftMs(), patienceMs);
      const received = yield* receiveWithin(this.#inbox, clock, Math.max(0, waitMs));
      if (received.timedOut) {
        if (this.#timeLeftMs() <= 0) {
          const failure = attempt.isSent() ? AttemptFailure.InDoubt : AttemptFailure.NotSent;
          this.#history = recordAttempt(this.#history, failure);
          return { failure: undefined, end: this.#giveUp(EndReason.DeadlinePassed, 0) };
        }
        return attempt.isSent()
          ? { failure: AttemptFailure.InDoubt, detail: 'silent for too long' }
          : { failure: AttemptFailure.NotSent, detail: 'no connection in time' };
      }
      const message = received.value;
      if (message.type === ForwardMessageType.CallerGone) {
        return { failure: undefined, end: this.#end(Outcome.Unknown, EndReason.CallerGone, 0) };
      }
      if (message.attempt !== this.#attemptNumber) {
        continue;
      }
      const eventsBefore = follower.eventsSeen;
      const result = follower.take(message.event, this.#mayRepeatErrors());
      this.#lastEventId = follower.lastEventId ?? this.#lastEventId;
      if (follower.eventsSeen > eventsBefore) {
        this.#observe(
          server,
          follower,
          clock.now(),
          eventsBefore === 0 ? undefined : clock.now() - heardAtMs,
        );
        heardAtMs = clock.now();
      }
      if (result !== undefined) {
        this.#kept = follower.kept ?? this.#kept;
        return result;
      }
    }
  }

  #observe(server: BackendServer, follower: Follower, atMs: number, pauseMs: number | undefined): void {
    const { book, metrics } = this.#context;
    const { engine } = this.#request.service;
    if (pauseMs === undefined && this.#attemptNumber === 1) {
      const elapsedMs = atMs - this.#request.receivedAtMs;
      metrics.observeFirstEvent(this.#request.rank, elapsedMs);
      metrics.observePrediction(this.#request.rank, this.#expectedMs, elapsedMs);
    }
    const tokens = follower.eventsSeen * (engine?.stepsPerPass ?? 1);
    book.observed(server.id, engine, { jobId: this.#job.id, tokens, pauseMs, atMs });
  }

  /** How long a server may be silent before another one is tried; Infinity where none may be. */
  #silenceMs(hasStarted: boolean): number {
    const { route } = this.#request;
    if (route.repeat === RepeatPolicy.Once || this.#attemptNumber >= route.attempts) {
      return Number.POSITIVE_INFINITY;
    }
    return hasStarted
      ? Math.max(LEAST_SILENCE_MS, PAUSE_TOLERANCE * route.targetPauseMs)
      : Math.max(route.targetMs, FIRST_EVENT_TOLERANCE * this.#expectedMs) + SILENCE_MARGIN_MS;
  }

  #mayRepeatErrors(): boolean {
    const { route } = this.#request;
    return route.repeat !== RepeatPolicy.Once && this.#history.sent + 1 < route.attempts;
  }

  #timeLeftMs(): number {
    return this.#request.deadlineAtMs - this.#context.clock.now();
  }

  /** Ends a request for which no whole answer came. */
  #giveUp(reason: EndReason, retryAfterMs: number): RequestEnd {
    if (this.#kept !== undefined && !this.#answer.hasBegun()) {
      this.#answer.send(this.#kept.start.status, this.#kept.start.headers, this.#kept.body);
      return this.#end(Outcome.Complete, EndReason.Answered, 0);
    }
    const outcome = this.#answer.hasBegun() ? Outcome.Unknown : outcomeOf(this.#history);
    const end = this.#end(outcome, reason, outcome === Outcome.NotRun ? retryAfterMs : 0);
    this.#answer.fail(end);
    return end;
  }

  #end(outcome: Outcome, reason: EndReason, retryAfterMs: number): RequestEnd {
    return { outcome, reason, retryAfterMs };
  }

  #log(decision: LogDecision, fields: Record<string, string | number | boolean>): void {
    this.#context.logger.decision({ decision, request: this.#request.head.requestId, fields });
  }
}

/** What became of an attempt. */
type AttemptResult =
  | { readonly failure: undefined; readonly end: RequestEnd }
  | { readonly failure: AttemptFailure; readonly detail: string };

const answered: AttemptResult = {
  failure: undefined,
  end: { outcome: Outcome.Complete, reason: EndReason.Answered, retryAfterMs: 0 },
};

/** Follows the answer of one attempt. */
interface Follower {
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

/** Collects an answer and passes it on once it is whole. */
class WholeFollower implements Follower {
  readonly #context: ForwardingContext;
  readonly #answer: CallerAnswer;
  readonly #server: BackendServer;
  readonly #sentAtMs: number;
  readonly #chunks: Buffer[] = [];
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
        return undefined;
      case AttemptEventType.Body:
        this.#chunks.push(event.chunk);
        return undefined;
      case AttemptEventType.Failed:
        return { failure: event.failure, detail: event.detail };
      case AttemptEventType.Ended:
        return this.#finish(mayRepeat);
    }
  }

  #finish(mayRepeat: boolean): AttemptResult {
    const start = this.#start;
    if (start?.isSigned !== true) {
      return { failure: AttemptFailure.InDoubt, detail: `status ${String(start?.status)} without signature` };
    }
    const body = Buffer.concat(this.#chunks);
    const { clock, book } = this.#context;
    book.called(this.#server.id, clock.now() - this.#sentAtMs);
    if (isServerError(start.status) && mayRepeat) {
      this.kept = { start, body };
      return { failure: AttemptFailure.InDoubt, detail: `status ${String(start.status)}` };
    }
    this.#answer.send(start.status, start.headers, body);
    return answered;
  }
}

/** Passes the events of a stream on as they come, each one once. */
class StreamFollower implements Follower {
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
        return event.start.isSigned
          ? undefined
          : { failure: AttemptFailure.InDoubt, detail: 'stream without signature' };
      case AttemptEventType.Body:
        this.#splitter.push(event.chunk).forEach((whole) => {
          this.#deliver(whole);
        });
        return undefined;
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
      this.#answer.begin(this.#start.status, this.#start.headers);
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

/**
 * Creates the inbox of a request's process.
 *
 * @returns the inbox
 */
export function createForwardInbox(): Channel<ForwardMessage> {
  return createChannel<ForwardMessage>();
}

/**
 * Forwards a request; used with `yield*`.
 *
 * @param context - what requests share
 * @param request - the request
 * @param answer - the caller's answer
 * @param inbox - where the process hears of its request
 * @returns how the request ended; the caller was answered
 */
export function* forwardRequest(
  context: ForwardingContext,
  request: CallerRequest,
  answer: CallerAnswer,
  inbox: Channel<ForwardMessage>,
): ProcessBody<RequestEnd> {
  return yield* new Forward(context, request, answer, inbox).run();
}
