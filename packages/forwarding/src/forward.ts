/** Runs one request from placement through its attempts to the answer to the caller. */
import { type Channel, type ProcessBody, receiveWithin, settle } from '@toucanbend/channel';
import { Outcome } from '@toucanbend/core';
import { DecisionKind as LogDecision } from '@toucanbend/observability';
import { DecisionKind, splitJob } from '@toucanbend/placement';
import { type BackendServer, RepeatPolicy } from '@toucanbend/registry';
import { type AttemptEvent, AttemptFailure, type AttemptFault } from './attempt.js';
import { type CallerAnswer, EndReason, endReasonOf, type RequestEnd } from './caller-answer.js';
import { type FallbackAnswer } from './answer-relay.js';
import { type AnswerTiming, emptyTiming, extendTiming } from './log-fields.js';
import { type CallerRequest } from './caller-request.js';
import { type ForwardingContext } from './context.js';
import { type ForwardMessage, ForwardMessageType } from './forward-message.js';
import { recordFailedServer } from './failed-server.js';
import { type ReservationOwner } from './part-reservation.js';
import { type MemoryError } from './memory.js';
import { emptyHistory, mayRetry, outcomeOf, recordFailedAttempt } from './attempt-history.js';
import { recordEndedShares, recordPlacedShares } from './placed-shares.js';
import { createRequestPlacement, type RequestPlacement, type SendDecision } from './request-placement.js';
import { reserveParts } from './reservation.js';
import { type RunningAttempt, startRunningAttempt } from './running-attempt.js';
import { createRequestQuarantine, type RequestQuarantine } from './request-quarantine.js';
import { inactivityTimeoutMs } from './inactivity-timeout.js';

/** Interval at which failover is considered again while a server is unresponsive, in milliseconds. */
const FAILOVER_CHECK_INTERVAL_MS = 250;
/** Retry delay given to the caller after attempts that did not run, in milliseconds. */
const RETRY_AFTER_FAILURE_MS = 250;

class RequestForwarder {
  readonly #context: ForwardingContext;
  readonly #request: CallerRequest;
  readonly #answer: CallerAnswer;
  readonly #inbox: Channel<ForwardMessage>;
  readonly #placement: RequestPlacement;
  readonly #quarantine: RequestQuarantine;
  /** The running attempts, the newest one last. All but the newest are at servers that have fallen silent. */
  #attempts: readonly RunningAttempt[] = [];
  #attemptHistory = emptyHistory;
  #attemptNumber = 0;
  #triedServers = new Set<string>();
  /** Id of the last event that was sent to the caller. */
  #lastEventId: number | undefined;
  #fallback: FallbackAnswer | undefined;
  #timing: AnswerTiming = emptyTiming;

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
    this.#placement = createRequestPlacement(context, request);
    this.#quarantine = createRequestQuarantine(context, request);
  }

  *run(): ProcessBody<RequestEnd> {
    const { service, receivedAtMs } = this.#request;
    this.#context.retries.request(service.name, receivedAtMs);
    try {
      return yield* this.#serve();
    } finally {
      this.#keepOnly(undefined);
    }
  }

  *#serve(): ProcessBody<RequestEnd> {
    for (;;) {
      if (this.#timeLeftMs() <= 0) {
        return this.#endWithoutAnswer(EndReason.DeadlinePassed, 0);
      }
      const quarantined = this.#quarantine.find();
      if (quarantined !== undefined) {
        this.#log(LogDecision.Route, { decided: DecisionKind.Reject, ...quarantined });
        return this.#endWithoutAnswer(EndReason.Quarantined, quarantined.leftMs);
      }
      const mayWait = !this.#context.isDraining() && this.#attempts.length === 0;
      const decision = this.#placement.plan(this.#excludedServers(), mayWait);
      let end: RequestEnd | undefined;
      if (decision.kind === DecisionKind.Send) {
        end = yield* this.#attempt(decision);
      } else if (this.#attempts.length > 0) {
        end = yield* this.#awaitAnswer();
      } else if (decision.kind === DecisionKind.Reject) {
        return this.#endWithoutAnswer(endReasonOf(decision.reason), decision.retryAfterMs);
      } else {
        const isGone = yield* this.#wait(decision.waitMs);
        if (isGone) {
          return this.#end(outcomeOf(this.#attemptHistory), EndReason.CallerGone, 0);
        }
        continue;
      }
      while (end === undefined && !this.#trySpendRetry()) {
        if (this.#attempts.length === 0) {
          return this.#endWithoutAnswer(EndReason.AttemptsUsed, RETRY_AFTER_FAILURE_MS);
        }
        end = yield* this.#awaitAnswer();
      }
      if (end !== undefined) {
        return end;
      }
    }
  }

  #trySpendRetry(): boolean {
    const { retries, entryCount, clock } = this.#context;
    const { route, service } = this.#request;
    return (
      mayRetry(route.repeat, this.#attemptHistory, route.attempts) &&
      retries.trySpend(service.name, entryCount(), clock.now())
    );
  }

  /**
   * Waits for a random time between half and all of `waitMs`, or until the caller disconnects or a part is quarantined.
   * Returns whether the caller disconnected.
   */
  *#wait(waitMs: number): ProcessBody<boolean> {
    const { clock, random } = this.#context;
    const untilMs = clock.now() + waitMs * (0.5 + random.fraction() / 2);
    for (let leftMs = untilMs - clock.now(); leftMs > 0; leftMs = untilMs - clock.now()) {
      const received = yield* receiveWithin(this.#inbox, clock, leftMs);
      if (!received.timedOut && received.value.type !== ForwardMessageType.Attempt) {
        return received.value.type === ForwardMessageType.CallerGone;
      }
    }
    return false;
  }

  /** Returns the servers that get no further attempt: those that failed, and those that a running attempt occupies. */
  #excludedServers(): ReadonlySet<string> {
    const occupied = this.#attempts.flatMap(({ helpers }) => helpers.map((helper) => helper.server.id));
    return new Set([...this.#triedServers, ...occupied]);
  }

  /**
   * Makes one attempt and waits for the answer.
   *
   * @returns the end of the request; undefined if the attempt failed or its server is silent
   */
  *#attempt({ server, helpers, expectedMs }: SendDecision): ProcessBody<RequestEnd | undefined> {
    const { clock } = this.#context;
    this.#attemptNumber += 1;
    this.#triedServers.add(server.id);
    const shares = splitJob(this.#placement.job, server, helpers, clock.now() + expectedMs);
    recordPlacedShares(this.#context, this.#request.service.engine, shares);
    const owner = this.#reservationOwner(server);
    const reserved = yield* settle(reserveParts(this.#context, owner, helpers));
    if (!('release' in reserved)) {
      recordEndedShares(this.#context, shares);
      this.#recordReservationFailure(server, reserved);
      return undefined;
    }
    const number = this.#attemptNumber;
    const attempt = startRunningAttempt(this.#context, this.#request, {
      number,
      server,
      helpers,
      expectedMs,
      shares,
      reservation: { name: owner.name, reserved },
      answer: this.#answer,
      lastEventId: this.#lastEventId,
      timeLeftMs: this.#timeLeftMs(),
      report: (event) => {
        this.#inbox.send({ type: ForwardMessageType.Attempt, attempt: number, event });
      },
    });
    this.#attempts = [...this.#attempts, attempt];
    return yield* this.#awaitAnswer();
  }

  #reservationOwner(server: BackendServer): ReservationOwner {
    const attempt = this.#attemptNumber;
    return {
      requestId: this.#request.head.requestId,
      name: `${this.#placement.job.id}-${String(attempt)}`,
      server,
      onIdle: () => {
        this.#inbox.send({ type: ForwardMessageType.MemoryIdle, attempt });
      },
    };
  }

  #recordReservationFailure(server: BackendServer, errors: readonly MemoryError[]): void {
    errors.forEach((error) => this.#triedServers.add(error.server));
    this.#attemptHistory = recordFailedAttempt(this.#attemptHistory, AttemptFailure.NotSent);
    this.#log(LogDecision.Retry, {
      failure: 'memory_refused',
      server: server.id,
      refusedBy: errors.map((error) => `${error.server}: ${error.failure} ${error.message}`),
      attempt: this.#attemptNumber,
    });
  }

  /**
   * Waits for the answer of the running attempts.
   *
   * @returns the end of the request; undefined if the newest attempt failed or should be followed by another one
   */
  *#awaitAnswer(): ProcessBody<RequestEnd | undefined> {
    const { clock } = this.#context;
    let nextCheckAtMs = 0;
    for (let newest = this.#attempts.at(-1); newest !== undefined; newest = this.#attempts.at(-1)) {
      const timeoutAtMs = Math.max(nextCheckAtMs, newest.lastEventAtMs() + this.#inactivityTimeoutMs(newest));
      const waitMs = Math.min(this.#timeLeftMs(), timeoutAtMs - clock.now());
      const received = yield* receiveWithin(this.#inbox, clock, Math.max(0, waitMs));
      if (received.timedOut) {
        if (this.#timeLeftMs() <= 0) {
          return this.#abandon(EndReason.DeadlinePassed);
        }
        if (this.#recordInactivity(newest)) {
          return undefined;
        }
        nextCheckAtMs = clock.now() + FAILOVER_CHECK_INTERVAL_MS;
        continue;
      }
      const message = received.value;
      if (message.type === ForwardMessageType.CallerGone) {
        return this.#end(Outcome.Unknown, EndReason.CallerGone, 0);
      }
      if (message.type === ForwardMessageType.Quarantined) {
        if (!this.#hasEvents() && this.#quarantine.find() !== undefined) {
          return this.#abandon(EndReason.Quarantined);
        }
        continue;
      }
      const attempt = this.#attempts.find(({ number }) => number === message.attempt);
      if (attempt === undefined) {
        continue;
      }
      if (message.type === ForwardMessageType.MemoryIdle) {
        attempt.isMemoryIdle = true;
        continue;
      }
      const end = this.#handleEvent(attempt, message.event);
      if (end !== undefined || (attempt === newest && !this.#attempts.includes(attempt))) {
        return end;
      }
    }
    return undefined;
  }

  /** Handles an event of an attempt. Returns the end of the request, or undefined if it is not answered yet. */
  #handleEvent(attempt: RunningAttempt, event: AttemptEvent): RequestEnd | undefined {
    const { relay, server } = attempt;
    const eventsBefore = relay.eventCount;
    const wasStarted = relay.hasStarted;
    const result = relay.handle(event, this.#mayRepeatErrors());
    this.#lastEventId = relay.lastEventId ?? this.#lastEventId;
    if (relay.eventCount > eventsBefore) {
      this.#recordEvent(attempt, eventsBefore === 0);
      this.#quarantine.recordEvents(eventsBefore, relay.eventCount);
    }
    const hasBegunSuccess = result === undefined && relay.isSuccess && relay.hasStarted !== wasStarted;
    if (relay.eventCount > eventsBefore || hasBegunSuccess) {
      this.#keepOnly(attempt);
    }
    if (result === undefined) {
      return undefined;
    }
    this.#fallback = relay.fallback ?? this.#fallback;
    if (result.failure !== undefined) {
      this.#fail(attempt, result);
      return undefined;
    }
    if (relay.isSuccess) {
      this.#quarantine.recordAnswer();
    }
    this.#context.loadTracker.succeeded(server.id);
    return result.end;
  }

  /**
   * Considers another attempt after the newest one has been inactive. Its server may only be slow, so that the attempt
   * goes on beside the next one, unless it was not sent or its memory shows that the server no longer works on it.
   *
   * @returns whether another attempt should follow
   */
  #recordInactivity(attempt: RunningAttempt): boolean {
    if (!attempt.isSent()) {
      this.#fail(attempt, { failure: AttemptFailure.NotSent, detail: 'connection timed out' });
      return true;
    }
    if (!this.#canFailOver(attempt)) {
      return false;
    }
    if (attempt.isMemoryIdle) {
      const detail = 'reserved memory no longer in use';
      this.#fail(attempt, { failure: AttemptFailure.InDoubt, detail });
    } else {
      const detail = 'no event within the inactivity timeout';
      this.#recordFault(attempt, { failure: AttemptFailure.InDoubt, detail });
    }
    return true;
  }

  /** Ends a failed attempt. */
  #fail(attempt: RunningAttempt, fault: AttemptFault): void {
    this.#recordFault(attempt, fault);
    attempt.end();
    this.#attempts = this.#attempts.filter((other) => other !== attempt);
  }

  #recordFault(attempt: RunningAttempt, fault: AttemptFault): void {
    const { server, helpers, relay, number } = attempt;
    this.#countAttempt(attempt, fault.failure);
    this.#context.metrics.countFailure(fault.failure);
    this.#quarantine.recordFailure(server, fault, relay.eventCount);
    const failed = recordFailedServer(this.#context, server, helpers, fault);
    this.#triedServers.delete(server.id);
    this.#triedServers.add(failed.id);
    this.#log(LogDecision.Retry, {
      server: server.id,
      failed: failed.id,
      failure: fault.failure,
      detail: fault.detail,
      attempt: number,
      events: relay.eventCount,
      lastEventId: this.#lastEventId ?? -1,
    });
  }

  /** Counts an attempt that did not answer the request. A silent attempt that fails later counts once. */
  #countAttempt(attempt: RunningAttempt, failure: AttemptFailure): void {
    if (!attempt.isCounted) {
      attempt.isCounted = true;
      this.#attemptHistory = recordFailedAttempt(this.#attemptHistory, failure);
    }
  }

  /** Ends all attempts but one, which has made progress; all of them if it is undefined. */
  #keepOnly(kept: RunningAttempt | undefined): void {
    const others = this.#attempts.filter((attempt) => attempt !== kept);
    others.forEach((attempt) => {
      this.#countAttempt(attempt, attempt.isSent() ? AttemptFailure.InDoubt : AttemptFailure.NotSent);
      attempt.end();
    });
    this.#attempts = kept === undefined ? [] : [kept];
  }

  #hasEvents(): boolean {
    return this.#attempts.some(({ relay }) => relay.eventCount > 0);
  }

  /** Ends the request while attempts are running, which the servers may already have begun. */
  #abandon(reason: EndReason): RequestEnd {
    this.#keepOnly(undefined);
    return this.#endWithoutAnswer(reason, 0);
  }

  /** Timing of the answer so far, for the log. */
  get timing(): AnswerTiming {
    return this.#timing;
  }

  #recordEvent(attempt: RunningAttempt, isFirst: boolean): void {
    const { loadTracker, metrics, planner, clock } = this.#context;
    const { service, receivedAtMs, rank } = this.#request;
    const { server, relay, number, expectedMs, dispatchedAtMs } = attempt;
    const atMs = clock.now();
    const elapsedMs = atMs - receivedAtMs;
    const pauseMs = isFirst ? undefined : atMs - attempt.lastEventAtMs();
    attempt.recordEvent();
    this.#timing = extendTiming(this.#timing, {
      server: server.id,
      attempt: number,
      expectedMs: dispatchedAtMs - receivedAtMs + expectedMs,
      elapsedMs,
      pauseMs,
    });
    if (isFirst && number === 1) {
      metrics.observeFirstEvent(rank, elapsedMs);
      metrics.observePrediction(rank, expectedMs, elapsedMs);
    }
    const tokens = relay.eventCount * (service.engine?.stepsPerPass ?? 1);
    const networkDelayMs = server.dataCentre === planner.dataCentre ? 0 : planner.crossRoundTripMs / 2;
    const observed = { jobId: this.#placement.job.id, tokens, pauseMs, atMs, networkDelayMs };
    loadTracker.observed(server.id, service.engine, observed);
  }

  /** Returns whether another server is predicted to answer soon enough, and the retry budget allows the attempt. */
  #canFailOver(attempt: RunningAttempt): boolean {
    const { clock, retries, entryCount } = this.#context;
    const { route, service } = this.#request;
    const history = attempt.isCounted
      ? this.#attemptHistory
      : recordFailedAttempt(this.#attemptHistory, AttemptFailure.InDoubt);
    if (!mayRetry(route.repeat, history, route.attempts)) {
      return false;
    }
    const excluded = attempt.isMemoryIdle ? this.#triedServers : this.#excludedServers();
    return (
      this.#placement.hasReplacement(excluded, attempt.isMemoryIdle) &&
      retries.canSpend(service.name, entryCount(), clock.now())
    );
  }

  #inactivityTimeoutMs({ relay, expectedMs, isMemoryIdle }: RunningAttempt): number {
    const { route } = this.#request;
    return inactivityTimeoutMs(route, {
      isLast: route.repeat === RepeatPolicy.Once || this.#attemptNumber >= route.attempts,
      hasStarted: relay.hasStarted,
      expectedMs,
      isMemoryIdle,
    });
  }

  #mayRepeatErrors(): boolean {
    const { route } = this.#request;
    const isAnotherLeft = this.#attempts.length > 1 || this.#attemptHistory.sent + 1 < route.attempts;
    return route.repeat !== RepeatPolicy.Once && isAnotherLeft;
  }

  #timeLeftMs(): number {
    return this.#request.deadlineAtMs - this.#context.clock.now();
  }

  /**
   * Ends a request for which no complete answer arrived: with the error response of a server if one was kept, else with
   * `reason`.
   */
  #endWithoutAnswer(reason: EndReason, retryAfterMs: number): RequestEnd {
    if (this.#fallback !== undefined && !this.#answer.hasBegun()) {
      this.#answer.send(this.#fallback.start, this.#fallback.body);
      return this.#end(Outcome.Complete, EndReason.Answered, 0);
    }
    const outcome = this.#answer.hasBegun() ? Outcome.Unknown : outcomeOf(this.#attemptHistory);
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

/** The end of a request and the timing of its answer. */
export interface ForwardResult {
  readonly end: RequestEnd;
  readonly timing: AnswerTiming;
}

/**
 * Forwards a request; called with `yield*`.
 *
 * @param context - the state that all requests share
 * @param request - the request
 * @param answer - writes the answer to the caller
 * @param inbox - receives the events of the request
 * @returns the end of the request and the timing of its answer; by then the caller has been answered or has disconnected
 */
export function* forwardRequest(
  context: ForwardingContext,
  request: CallerRequest,
  answer: CallerAnswer,
  inbox: Channel<ForwardMessage>,
): ProcessBody<ForwardResult> {
  const forwarder = new RequestForwarder(context, request, answer, inbox);
  const stopListening = context.quarantine.onQuarantined(() => {
    inbox.send({ type: ForwardMessageType.Quarantined });
  });
  try {
    const end = yield* forwarder.run();
    return { end, timing: forwarder.timing };
  } finally {
    stopListening();
  }
}
