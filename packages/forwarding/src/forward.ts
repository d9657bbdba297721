/** Runs one request from placement through its attempts to the answer to the caller. */
import { type Channel, type ProcessBody, receiveWithin, settle } from '@toucanbend/channel';
import { Outcome } from '@toucanbend/core';
import { DecisionKind as LogDecision } from '@toucanbend/observability';
import {
  DecisionKind,
  type Helper,
  type Job,
  planJob,
  type PlacementDecision,
  type PlannerInputs,
  splitJob,
} from '@toucanbend/placement';
import {
  AnswerForm,
  type BackendServer,
  RecordKind,
  type Registry,
  RepeatPolicy,
} from '@toucanbend/registry';
import { type Attempt, AttemptFailure } from './attempt.js';
import { type CallerAnswer, EndReason, endReasonOf, type RequestEnd } from './caller-answer.js';
import {
  type AnswerRelay,
  type AttemptResult,
  BufferedRelay,
  type FallbackAnswer,
  StreamRelay,
} from './answer-relay.js';
import { type AnswerTiming, decisionLogFields, emptyTiming, extendTiming } from './log-fields.js';
import { type CallerRequest, jobOf } from './caller-request.js';
import { type ForwardingContext } from './context.js';
import { dispatchAttempt } from './dispatch.js';
import { isSoonEnough } from './failover.js';
import { type ForwardMessage, ForwardMessageType } from './forward-message.js';
import { recordFailedServer } from './failed-server.js';
import { ReleaseCause, type ReservationOwner } from './part-reservation.js';
import { type MemoryError } from './memory.js';
import { emptyHistory, mayRetry, outcomeOf, recordFailedAttempt } from './attempt-history.js';
import { recordEndedShares, recordPlacedShares } from './placed-shares.js';
import { reserveParts } from './reservation.js';
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
  readonly #job: Job;
  readonly #quarantine: RequestQuarantine;
  #attemptHistory = emptyHistory;
  #attemptNumber = 0;
  #triedServers = new Set<string>();
  /** Id of the last event that was sent to the caller. */
  #lastEventId: number | undefined;
  #fallback: FallbackAnswer | undefined;
  #expectedMs = 0;
  #isWaiting = false;
  #dispatchedAtMs = 0;
  /** When the last event of the running attempt arrived; before the first event, when the attempt was dispatched. */
  #lastEventAtMs = 0;
  /** Number of events of the running attempt. */
  #attemptEvents = 0;
  /** Whether the memory reserved for the running attempt is no longer in use at its engines. */
  #isMemoryIdle = false;
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
    this.#job = jobOf(request);
    this.#quarantine = createRequestQuarantine(context, request);
  }

  *run(): ProcessBody<RequestEnd> {
    const { route, service } = this.#request;
    this.#context.retries.request(service.name, this.#request.receivedAtMs);
    for (;;) {
      if (this.#timeLeftMs() <= 0) {
        return this.#endWithoutAnswer(EndReason.DeadlinePassed, 0);
      }
      const quarantined = this.#quarantine.find();
      if (quarantined !== undefined) {
        this.#log(LogDecision.Route, { decided: DecisionKind.Reject, ...quarantined });
        return this.#endWithoutAnswer(EndReason.Quarantined, quarantined.leftMs);
      }
      const decision = this.#plan();
      if (decision.kind === DecisionKind.Reject) {
        return this.#endWithoutAnswer(endReasonOf(decision.reason), decision.retryAfterMs);
      }
      if (decision.kind === DecisionKind.Wait) {
        const isGone = yield* this.#wait(decision.waitMs);
        if (isGone) {
          return this.#end(outcomeOf(this.#attemptHistory), EndReason.CallerGone, 0);
        }
        continue;
      }
      this.#expectedMs = decision.expectedMs;
      const end = yield* this.#attempt(decision.server, decision.helpers);
      if (end !== undefined) {
        return end;
      }
      const isAllowed =
        mayRetry(route.repeat, this.#attemptHistory, route.attempts) &&
        this.#context.retries.trySpend(service.name, this.#context.entryCount(), this.#context.clock.now());
      if (!isAllowed) {
        return this.#endWithoutAnswer(EndReason.AttemptsUsed, RETRY_AFTER_FAILURE_MS);
      }
    }
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

  #plannerInputs(options: Pick<PlannerInputs, 'mayWait' | 'replacesAttempt'>): PlannerInputs {
    const { registry, loadTracker, restrictions, planner: settings, hasPartialLoadView } = this.#context;
    return {
      registry: registry(),
      loadTracker,
      restrictions,
      settings,
      hasPartialLoadView: hasPartialLoadView(),
      ...options,
    };
  }

  #plan(): PlacementDecision {
    const inputs = this.#plannerInputs({ mayWait: !this.#context.isDraining(), replacesAttempt: false });
    const { service } = this.#request;
    const decision = planJob(this.#job, service, this.#triedServers, inputs, this.#context.clock.now());
    this.#logPlan(decision, inputs.registry);
    return decision;
  }

  /** Logs a placement decision; of consecutive decisions to wait, only the first is logged. */
  #logPlan(decision: PlacementDecision, registry: Registry): void {
    const isRepeatedWait = decision.kind === DecisionKind.Wait && this.#isWaiting;
    this.#isWaiting = decision.kind === DecisionKind.Wait;
    if (!isRepeatedWait) {
      this.#log(LogDecision.Route, {
        ...decisionLogFields(decision, this.#context.loadTracker),
        waitedMs: Math.round(this.#context.clock.now() - this.#request.receivedAtMs),
        inputDelayMs: Math.round(this.#request.inputDelayMs),
        parts: this.#request.head.prompt?.sharedParts ?? [],
        serversRevision: registry.revisions[RecordKind.Server],
      });
    }
  }

  /** Makes one attempt. Returns undefined if it failed; `run` then decides whether to retry. */
  *#attempt(server: BackendServer, helpers: readonly Helper[]): ProcessBody<RequestEnd | undefined> {
    const { loadTracker, clock } = this.#context;
    this.#attemptNumber += 1;
    this.#triedServers.add(server.id);
    const shares = splitJob(this.#job, server, helpers, clock.now() + this.#expectedMs);
    recordPlacedShares(this.#context, this.#request.service.engine, shares);
    const reserved = yield* settle(reserveParts(this.#context, this.#reservationOwner(server), helpers));
    if (!('release' in reserved)) {
      recordEndedShares(this.#context, shares);
      this.#recordReservationFailure(server, reserved);
      return undefined;
    }
    this.#dispatchedAtMs = clock.now();
    this.#lastEventAtMs = this.#dispatchedAtMs;
    this.#isMemoryIdle = false;
    this.#attemptEvents = 0;
    let attempt: Attempt | undefined;
    let result: AttemptResult;
    try {
      attempt = this.#dispatch(server, helpers);
      result = yield* this.#relayAnswer(server, attempt);
    } finally {
      attempt?.cancel();
      reserved.release(ReleaseCause.Ended, clock.now() - this.#lastEventAtMs);
      recordEndedShares(this.#context, shares);
    }
    if (result.failure === undefined) {
      loadTracker.succeeded(server.id);
      return result.end;
    }
    this.#attemptHistory = recordFailedAttempt(this.#attemptHistory, result.failure);
    this.#context.metrics.countFailure(result.failure);
    this.#quarantine.recordFailure(server, result, this.#attemptEvents);
    const failed = recordFailedServer(this.#context, server, helpers, result);
    this.#triedServers.delete(server.id);
    this.#triedServers.add(failed.id);
    this.#log(LogDecision.Retry, {
      server: server.id,
      failed: failed.id,
      failure: result.failure,
      detail: result.detail,
      attempt: this.#attemptNumber,
      events: this.#attemptEvents,
      lastEventId: this.#lastEventId ?? -1,
    });
    return undefined;
  }

  #reservationOwner(server: BackendServer): ReservationOwner {
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

  /** Returns the name of the running attempt's memory reservation, which is the same at each engine. */
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

  *#relayAnswer(server: BackendServer, attempt: Attempt): ProcessBody<AttemptResult> {
    const relay =
      this.#request.route.form === AnswerForm.EventStream
        ? new StreamRelay(this.#context, this.#answer, server, this.#lastEventId)
        : new BufferedRelay(this.#context, this.#answer, server, this.#dispatchedAtMs);
    let nextCheckAtMs = 0;
    for (;;) {
      const { clock } = this.#context;
      const timeoutAtMs = Math.max(nextCheckAtMs, this.#lastEventAtMs + this.#inactivityTimeoutMs(relay));
      const waitMs = Math.min(this.#timeLeftMs(), timeoutAtMs - clock.now());
      const received = yield* receiveWithin(this.#inbox, clock, Math.max(0, waitMs));
      if (received.timedOut) {
        if (this.#timeLeftMs() <= 0) {
          return this.#abandon(attempt, EndReason.DeadlinePassed);
        }
        if (!attempt.isSent()) {
          return { failure: AttemptFailure.NotSent, detail: 'connection timed out' };
        }
        if (this.#canFailOver()) {
          const detail = this.#isMemoryIdle
            ? 'reserved memory no longer in use'
            : 'no event within the inactivity timeout';
          return { failure: AttemptFailure.InDoubt, detail };
        }
        nextCheckAtMs = clock.now() + FAILOVER_CHECK_INTERVAL_MS;
        continue;
      }
      const message = received.value;
      if (message.type === ForwardMessageType.CallerGone) {
        return { failure: undefined, end: this.#end(Outcome.Unknown, EndReason.CallerGone, 0) };
      }
      if (message.type === ForwardMessageType.Quarantined) {
        if (relay.eventCount === 0 && this.#quarantine.find() !== undefined) {
          return this.#abandon(attempt, EndReason.Quarantined);
        }
        continue;
      }
      if (message.attempt !== this.#attemptNumber) {
        continue;
      }
      if (message.type === ForwardMessageType.MemoryIdle) {
        this.#isMemoryIdle = true;
        continue;
      }
      const eventsBefore = relay.eventCount;
      const result = relay.handle(message.event, this.#mayRepeatErrors());
      this.#attemptEvents = relay.eventCount;
      this.#lastEventId = relay.lastEventId ?? this.#lastEventId;
      if (relay.eventCount > eventsBefore) {
        this.#recordEvent(
          server,
          relay,
          clock.now(),
          eventsBefore === 0 ? undefined : clock.now() - this.#lastEventAtMs,
        );
        this.#lastEventAtMs = clock.now();
        this.#quarantine.recordEvents(eventsBefore, relay.eventCount);
      }
      if (result !== undefined) {
        this.#fallback = relay.fallback ?? this.#fallback;
        if (result.failure === undefined && relay.isSuccess) {
          this.#quarantine.recordAnswer();
        }
        return result;
      }
    }
  }

  /** Ends the request while an attempt is running, which the server may already have begun. */
  #abandon(attempt: Attempt, reason: EndReason): AttemptResult {
    const failure = attempt.isSent() ? AttemptFailure.InDoubt : AttemptFailure.NotSent;
    this.#attemptHistory = recordFailedAttempt(this.#attemptHistory, failure);
    return { failure: undefined, end: this.#endWithoutAnswer(reason, 0) };
  }

  /** Timing of the answer so far, for the log. */
  get timing(): AnswerTiming {
    return this.#timing;
  }

  #recordEvent(server: BackendServer, relay: AnswerRelay, atMs: number, pauseMs: number | undefined): void {
    const { loadTracker, metrics, planner } = this.#context;
    const { engine } = this.#request.service;
    this.#timing = extendTiming(this.#timing, {
      server: server.id,
      attempt: this.#attemptNumber,
      expectedMs: this.#dispatchedAtMs - this.#request.receivedAtMs + this.#expectedMs,
      elapsedMs: atMs - this.#request.receivedAtMs,
      pauseMs,
    });
    if (pauseMs === undefined && this.#attemptNumber === 1) {
      const elapsedMs = atMs - this.#request.receivedAtMs;
      metrics.observeFirstEvent(this.#request.rank, elapsedMs);
      metrics.observePrediction(this.#request.rank, this.#expectedMs, elapsedMs);
    }
    const tokens = relay.eventCount * (engine?.stepsPerPass ?? 1);
    const networkDelayMs = server.dataCentre === planner.dataCentre ? 0 : planner.crossRoundTripMs / 2;
    loadTracker.observed(server.id, engine, { jobId: this.#job.id, tokens, pauseMs, atMs, networkDelayMs });
  }

  /** Returns whether another server is predicted to answer soon enough, and the retry budget allows the attempt. */
  #canFailOver(): boolean {
    const { clock, retries, entryCount } = this.#context;
    const { route, service } = this.#request;
    const history = recordFailedAttempt(this.#attemptHistory, AttemptFailure.InDoubt);
    if (!mayRetry(route.repeat, history, route.attempts)) {
      return false;
    }
    const inputs = this.#plannerInputs({ mayWait: false, replacesAttempt: true });
    const decision = planJob(this.#job, service, this.#triedServers, inputs, clock.now());
    return (
      isSoonEnough(decision, route.targetMs, this.#timeLeftMs()) &&
      retries.canSpend(service.name, entryCount(), clock.now())
    );
  }

  #inactivityTimeoutMs(relay: AnswerRelay): number {
    const { route } = this.#request;
    return inactivityTimeoutMs(route, {
      isLast: route.repeat === RepeatPolicy.Once || this.#attemptNumber >= route.attempts,
      hasStarted: relay.hasStarted,
      expectedMs: this.#expectedMs,
      isMemoryIdle: this.#isMemoryIdle,
    });
  }

  #mayRepeatErrors(): boolean {
    const { route } = this.#request;
    return route.repeat !== RepeatPolicy.Once && this.#attemptHistory.sent + 1 < route.attempts;
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
