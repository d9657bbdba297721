/** The process of one request: it places it, follows its attempts, and answers the caller. */
import { type Channel, type ProcessBody, receiveWithin, settle } from '@toucanbend/channel';
import { Outcome } from '@toucanbend/core';
import { DecisionKind as LogDecision } from '@toucanbend/observability';
import {
  DecisionKind,
  type Helper,
  type Job,
  NewsKind,
  planJob,
  type PlacementDecision,
  type PlannerInputs,
  RefusalReason,
  sharesOf,
} from '@toucanbend/placement';
import {
  AnswerForm,
  type BackendServer,
  RecordKind,
  type Registry,
  RepeatPolicy,
} from '@toucanbend/registry';
import { type Attempt, AttemptFailure } from './attempt.js';
import { type CallerAnswer, EndReason, type RequestEnd } from './caller-answer.js';
import {
  type AttemptResult,
  type Follower,
  type KeptAnswer,
  StreamFollower,
  WholeFollower,
} from './follower.js';
import { type AnswerTiming, describeDecision, unmeasured } from './description.js';
import { type CallerRequest, jobOf } from './caller-request.js';
import { type ForwardingContext } from './context.js';
import { dispatchAttempt } from './dispatch.js';
import { type ForwardMessage, ForwardMessageType } from './forward-message.js';
import { ReleaseCause, type ReservationOwner } from './held-part.js';
import { type MemoryError } from './memory.js';
import { mayFollow, noAttempts, outcomeOf, recordAttempt } from './repeat.js';
import { placeShares, removeShares } from './placed-shares.js';
import { reserveParts } from './reservation.js';
import { acceptedSilenceMs } from './silence.js';

/** Time between two looks for a better place while a server is silent, in milliseconds. */
const SILENCE_STEP_MS = 250;
/** How many times its target a moved request may take to its next event: a later one is not worth the move. */
const SOON_TARGETS = 2;
/** When a caller may try again after attempts that did not run, in milliseconds. */
const RETRY_AFTER_FAILURE_MS = 250;

const refusalReasons: Readonly<Record<RefusalReason, EndReason>> = {
  [RefusalReason.NoServer]: EndReason.NoServer,
  [RefusalReason.TooLate]: EndReason.TooLate,
  [RefusalReason.BeyondMemory]: EndReason.BeyondMemory,
};

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
  #isWaiting = false;
  #placedAtMs = 0;
  /** When the last event of the running attempt came, or the attempt began. */
  #heardAtMs = 0;
  /** Whether the engines do not use the running attempt's memory any more. */
  #isMemoryIdle = false;
  #timing: AnswerTiming = unmeasured;

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
      if (decision.kind === DecisionKind.Wait) {
        const isGone = yield* this.#wait(decision.waitMs);
        if (isGone) {
          return this.#end(outcomeOf(this.#history), EndReason.CallerGone, 0);
        }
        continue;
      }
      this.#expectedMs = decision.expectedMs;
      const end = yield* this.#attempt(decision.server, decision.helpers);
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

  /** Waits some time; true where the caller has left meanwhile. */
  *#wait(waitMs: number): ProcessBody<boolean> {
    const { clock, random } = this.#context;
    const untilMs = clock.now() + waitMs * (0.5 + random.fraction() / 2);
    for (let leftMs = untilMs - clock.now(); leftMs > 0; leftMs = untilMs - clock.now()) {
      const received = yield* receiveWithin(this.#inbox, clock, leftMs);
      if (!received.timedOut && received.value.type === ForwardMessageType.CallerGone) {
        return true;
      }
    }
    return false;
  }

  #inputs(mayWait: boolean): PlannerInputs {
    const { registry, book, planner: settings, isBlind } = this.#context;
    return { registry: registry(), book, settings, mayWait, isBlind: isBlind() };
  }

  #plan(): PlacementDecision {
    const inputs = this.#inputs(!this.#context.isLeaving());
    const { service } = this.#request;
    const decision = planJob(this.#job, service, this.#tried, inputs, this.#context.clock.now());
    this.#logPlan(decision, inputs.registry);
    return decision;
  }

  /** Logs a decision; of the looks for a better place only the first is logged. */
  #logPlan(decision: PlacementDecision, registry: Registry): void {
    const isFurtherWait = decision.kind === DecisionKind.Wait && this.#isWaiting;
    this.#isWaiting = decision.kind === DecisionKind.Wait;
    if (!isFurtherWait) {
      this.#log(LogDecision.Route, {
        ...describeDecision(decision, this.#context.book),
        waitedMs: Math.round(this.#context.clock.now() - this.#request.receivedAtMs),
        serversRevision: registry.revisions[RecordKind.Server],
      });
    }
  }

  /** Makes one attempt; undefined where another may follow. */
  *#attempt(server: BackendServer, helpers: readonly Helper[]): ProcessBody<RequestEnd | undefined> {
    const { book, clock, tell } = this.#context;
    this.#attemptNumber += 1;
    this.#tried.add(server.id);
    const shares = sharesOf(this.#job, server, helpers);
    placeShares(this.#context, this.#request.service.engine, shares);
    const reserved = yield* settle(reserveParts(this.#context, this.#owner(server), helpers));
    if (!('release' in reserved)) {
      removeShares(this.#context, shares);
      this.#noteRefusedMemory(server, reserved);
      return undefined;
    }
    this.#placedAtMs = clock.now();
    this.#heardAtMs = this.#placedAtMs;
    this.#isMemoryIdle = false;
    let attempt: Attempt | undefined;
    let result: AttemptResult;
    try {
      attempt = this.#dispatch(server, helpers);
      result = yield* this.#follow(server, attempt);
    } finally {
      attempt?.cancel();
      reserved.release(ReleaseCause.Ended, clock.now() - this.#heardAtMs);
      removeShares(this.#context, shares);
    }
    if (result.failure === undefined) {
      book.succeeded(server.id);
      return result.end;
    }
    this.#history = recordAttempt(this.#history, result.failure);
    this.#context.metrics.countFailure(result.failure);
    if (result.failure !== AttemptFailure.NotRun) {
      book.failed(server.id, clock.now());
      tell({ kind: NewsKind.Failed, server: server.id });
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

  /** Whose memory is set aside for the running attempt. */
  #owner(server: BackendServer): ReservationOwner {
    const attempt = this.#attemptNumber;
    return {
      requestId: this.#request.head.requestId,
      name: this.#reservationName(),
      server,
      onIdle: () => {
        this.#inbox.send({ type: ForwardMessageType.MemoryIdle, attempt });
      },
    };
  }

  #noteRefusedMemory(server: BackendServer, errors: readonly MemoryError[]): void {
    errors.forEach((error) => this.#tried.add(error.server));
    this.#history = recordAttempt(this.#history, AttemptFailure.NotSent);
    this.#log(LogDecision.Retry, {
      failure: 'memory_refused',
      server: server.id,
      refusedBy: errors.map((error) => `${error.server}: ${error.failure} ${error.message}`),
      attempt: this.#attemptNumber,
    });
  }

  /** Name of the memory that is set aside for the running attempt. */
  #reservationName(): string {
    return `${this.#job.id}-${String(this.#attemptNumber)}`;
  }

  #dispatch(server: BackendServer, helpers: readonly Helper[]): Attempt {
    const attempt = this.#attemptNumber;
    return dispatchAttempt(this.#context, this.#request, {
      server,
      helpers,
      reservation: this.#reservationName(),
      lastEventId: this.#lastEventId,
      timeLeftMs: this.#timeLeftMs(),
      report: (event) => {
        this.#inbox.send({ type: ForwardMessageType.Attempt, attempt, event });
      },
    });
  }

  *#follow(server: BackendServer, attempt: Attempt): ProcessBody<AttemptResult> {
    const follower =
      this.#request.route.form === AnswerForm.EventStream
        ? new StreamFollower(this.#context, this.#answer, server, this.#lastEventId)
        : new WholeFollower(this.#context, this.#answer, server, this.#placedAtMs);
    let lookAtMs = 0;
    for (;;) {
      const { clock } = this.#context;
      const silentAtMs = Math.max(lookAtMs, this.#heardAtMs + this.#silenceMs(follower));
      const waitMs = Math.min(this.#timeLeftMs(), silentAtMs - clock.now());
      const received = yield* receiveWithin(this.#inbox, clock, Math.max(0, waitMs));
      if (received.timedOut) {
        if (this.#timeLeftMs() <= 0) {
          const failure = attempt.isSent() ? AttemptFailure.InDoubt : AttemptFailure.NotSent;
          this.#history = recordAttempt(this.#history, failure);
          return { failure: undefined, end: this.#giveUp(EndReason.DeadlinePassed, 0) };
        }
        if (!attempt.isSent()) {
          return { failure: AttemptFailure.NotSent, detail: 'no connection in time' };
        }
        if (this.#hasBetterPlace()) {
          const detail = this.#isMemoryIdle ? 'engines do not use its memory' : 'silent for too long';
          return { failure: AttemptFailure.InDoubt, detail };
        }
        lookAtMs = clock.now() + SILENCE_STEP_MS;
        continue;
      }
      const message = received.value;
      if (message.type === ForwardMessageType.CallerGone) {
        return { failure: undefined, end: this.#end(Outcome.Unknown, EndReason.CallerGone, 0) };
      }
      if (message.attempt !== this.#attemptNumber) {
        continue;
      }
      if (message.type === ForwardMessageType.MemoryIdle) {
        this.#isMemoryIdle = true;
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
          eventsBefore === 0 ? undefined : clock.now() - this.#heardAtMs,
        );
        this.#heardAtMs = clock.now();
      }
      if (result !== undefined) {
        this.#kept = follower.kept ?? this.#kept;
        return result;
      }
    }
  }

  /** Times of the answer so far, for the log. */
  get timing(): AnswerTiming {
    return this.#timing;
  }

  #observe(server: BackendServer, follower: Follower, atMs: number, pauseMs: number | undefined): void {
    const { book, metrics, planner } = this.#context;
    const { engine } = this.#request.service;
    this.#timing = {
      server: server.id,
      attempts: this.#attemptNumber,
      expectedMs:
        this.#timing.events === 0
          ? this.#placedAtMs - this.#request.receivedAtMs + this.#expectedMs
          : this.#timing.expectedMs,
      firstEventMs: this.#timing.events === 0 ? atMs - this.#request.receivedAtMs : this.#timing.firstEventMs,
      longestPauseMs: Math.max(this.#timing.longestPauseMs, pauseMs ?? 0),
      events: this.#timing.events + 1,
    };
    if (pauseMs === undefined && this.#attemptNumber === 1) {
      const elapsedMs = atMs - this.#request.receivedAtMs;
      metrics.observeFirstEvent(this.#request.rank, elapsedMs);
      metrics.observePrediction(this.#request.rank, this.#expectedMs, elapsedMs);
    }
    const tokens = follower.eventsSeen * (engine?.stepsPerPass ?? 1);
    const wayMs = server.dataCentre === planner.dataCentre ? 0 : planner.crossRoundTripMs / 2;
    book.observed(server.id, engine, { jobId: this.#job.id, tokens, pauseMs, atMs, wayMs });
  }

  /** Tells whether a request whose server is silent would soon be served by another one. */
  #hasBetterPlace(): boolean {
    const { clock, retries, entryCount } = this.#context;
    const { route, service } = this.#request;
    const history = recordAttempt(this.#history, AttemptFailure.InDoubt);
    if (!mayFollow(route.repeat, history, route.attempts)) {
      return false;
    }
    const decision = planJob(this.#job, service, this.#tried, this.#inputs(false), clock.now());
    const isSoon =
      decision.kind === DecisionKind.Send &&
      decision.expectedMs < Math.min(SOON_TARGETS * route.targetMs, this.#timeLeftMs());
    return isSoon && retries.canSpend(service.name, entryCount(), clock.now());
  }

  #silenceMs(follower: Follower): number {
    const { route } = this.#request;
    return acceptedSilenceMs(route, {
      isLast: route.repeat === RepeatPolicy.Once || this.#attemptNumber >= route.attempts,
      hasStarted: follower.hasStarted,
      expectedMs: this.#expectedMs,
      isMemoryIdle: this.#isMemoryIdle,
    });
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
      this.#answer.send(this.#kept.start, this.#kept.body);
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

  #log(decision: LogDecision, fields: Record<string, string | number | readonly string[]>): void {
    this.#context.logger.decision({ decision, request: this.#request.head.requestId, fields });
  }
}

/** How a request ended, and the times of its answer. */
export interface ForwardResult {
  readonly end: RequestEnd;
  readonly timing: AnswerTiming;
}

/**
 * Forwards a request; used with `yield*`.
 *
 * @param context - what requests share
 * @param request - the request
 * @param answer - the caller's answer
 * @param inbox - where the process hears of its request
 * @returns how the request ended, and the times of its answer; the caller was answered
 */
export function* forwardRequest(
  context: ForwardingContext,
  request: CallerRequest,
  answer: CallerAnswer,
  inbox: Channel<ForwardMessage>,
): ProcessBody<ForwardResult> {
  const forward = new Forward(context, request, answer, inbox);
  const end = yield* forward.run();
  return { end, timing: forward.timing };
}
