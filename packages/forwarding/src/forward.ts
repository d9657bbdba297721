/** Runs one request from placement through its attempts to the answer to the caller. */
import { type Channel, type ProcessBody, receiveWithin, settle } from '@toucanbend/channel';
import { Outcome } from '@toucanbend/core';
import { DecisionKind as LogDecision } from '@toucanbend/observability';
import { DecisionKind, splitJob } from '@toucanbend/placement';
import { type BackendServer, runIdOf } from '@toucanbend/registry';
import { type AttemptEvent, AttemptEventType, AttemptFailure, type AttemptFault } from './attempt.js';
import {
  type CallerAnswer,
  type EndCause,
  EndReason,
  endReasonOf,
  type RequestEnd,
} from './caller-answer.js';
import { type FallbackAnswer } from './answer-relay.js';
import { observeEvents } from './event-observation.js';
import { type AnswerTiming, emptyTiming } from './log-fields.js';
import { type CallerRequest, digestOf } from './caller-request.js';
import { confirmReservation } from './confirm-reservation.js';
import { type ForwardingContext } from './context.js';
import { type Expiry, expiryOf, LEAVING_RETRY_MS } from './drain-limit.js';
import { type ForwardMessage, ForwardMessageType } from './forward-message.js';
import { recordFailedServer } from './failed-server.js';
import { type ReservationOwner } from './part-reservation.js';
import { type MemoryError } from './memory.js';
import { recordServed } from './pace-observation.js';
import { recordEndedShares, recordPlacedShares } from './placed-shares.js';
import { createRequestAttempts } from './request-attempts.js';
import { createRequestPlacement, type RequestPlacement, type SendDecision } from './request-placement.js';
import { reserveParts } from './reservation.js';
import { type RunningAttempt, startRunningAttempt } from './running-attempt.js';
import { createRequestQuarantine, type RequestQuarantine } from './request-quarantine.js';
import { inactivityTimeoutOf } from './inactivity-timeout.js';
import { waitForChange } from './wait-for-change.js';

/** Interval at which failover is considered again while a server is unresponsive, in milliseconds. */
const FAILOVER_CHECK_INTERVAL_MS = 250;
/** Interval at which a request is considered again that waits for a decision of the quarantine, in milliseconds. */
const DECISION_CHECK_INTERVAL_MS = 100;
/** Retry delay given to the caller after attempts that did not run, in milliseconds. */
const RETRY_AFTER_FAILURE_MS = 250;

const callerGone: RequestEnd = { outcome: Outcome.Unknown, reason: EndReason.CallerGone, retryAfterMs: 0 };

class RequestForwarder {
  readonly #context: ForwardingContext;
  readonly #request: CallerRequest;
  readonly #answer: CallerAnswer;
  readonly #inbox: Channel<ForwardMessage>;
  readonly #placement: RequestPlacement;
  readonly #quarantine: RequestQuarantine;
  readonly #attempts;
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
    this.#attempts = createRequestAttempts(request.route);
    this.#placement = createRequestPlacement(context, request);
    this.#quarantine = createRequestQuarantine(context, request);
  }

  *run(): ProcessBody<RequestEnd> {
    const { service, receivedAtMs } = this.#request;
    this.#context.retries.request(service.name, receivedAtMs);
    try {
      return yield* this.#serve();
    } finally {
      this.#attempts.keepOnly(undefined);
    }
  }

  *#serve(): ProcessBody<RequestEnd> {
    for (;;) {
      if (this.#timeLeftMs() <= 0) {
        return this.#endWithoutAnswer(this.#expiry);
      }
      const quarantined = this.#quarantine.find();
      if (quarantined !== undefined) {
        const { leftMs } = quarantined;
        this.#log(LogDecision.Route, { decided: DecisionKind.Reject, ...quarantined.cause, leftMs });
        return this.#endWithoutAnswer({ reason: EndReason.Quarantined, retryAfterMs: leftMs });
      }
      if (this.#attempts.count() === 0 && this.#quarantine.isUnderDecision()) {
        if (yield* waitForChange(this.#context, this.#inbox, DECISION_CHECK_INTERVAL_MS)) {
          return this.#callerGone();
        }
        continue;
      }
      const mayWait = !this.#context.isDraining() && this.#attempts.count() === 0;
      const decision = this.#placement.plan(this.#excludedServers(), mayWait);
      let end: RequestEnd | undefined;
      const isSent =
        decision.kind === DecisionKind.Send && this.#placement.isAnsweredInTime(decision, this.#mayReject());
      if (isSent) {
        end = yield* this.#attempt(decision);
      } else if (this.#attempts.count() > 0) {
        end = yield* this.#awaitAnswer();
      } else if (decision.kind === DecisionKind.Send) {
        return this.#endWithoutAnswer({ reason: EndReason.Leaving, retryAfterMs: LEAVING_RETRY_MS });
      } else if (decision.kind === DecisionKind.Reject) {
        return this.#endWithoutAnswer({ ...decision, reason: endReasonOf(decision.reason) });
      } else {
        if (yield* waitForChange(this.#context, this.#inbox, decision.waitMs)) {
          return this.#callerGone();
        }
        continue;
      }
      while (end === undefined && !this.#trySpendRetry()) {
        if (this.#attempts.count() === 0) {
          return this.#endWithoutAnswer({
            reason: EndReason.AttemptsUsed,
            retryAfterMs: RETRY_AFTER_FAILURE_MS,
          });
        }
        end = yield* this.#awaitAnswer();
      }
      if (end !== undefined) {
        return end;
      }
    }
  }

  /** Returns whether the request can still be rejected as one that has not run, and the caller may repeat it elsewhere. */
  #mayReject(): boolean {
    const isUnanswered = !this.#answer.hasBegun() && this.#fallback === undefined;
    const isRunning = this.#attempts.count() > 0;
    return isUnanswered && !isRunning && this.#attempts.outcome() === Outcome.NotRun;
  }

  /** Ends a request whose caller has left while no attempt was running. */
  #callerGone(): RequestEnd {
    return { ...callerGone, outcome: this.#attempts.outcome() };
  }

  #trySpendRetry(): boolean {
    const { retries, entryCount, clock } = this.#context;
    const { service } = this.#request;
    return (
      !this.#isQuarantinedMidway() &&
      this.#attempts.mayRetry() &&
      retries.trySpend(service.name, entryCount(), clock.now())
    );
  }

  /** Returns whether the prompt was quarantined while its answer is under way, which no further server may continue. */
  #isQuarantinedMidway(): boolean {
    return this.#attempts.hasEvents() && this.#quarantine.find() !== undefined;
  }

  /** Returns the servers that get no further attempt: those that failed, and those that a running attempt occupies. */
  #excludedServers(): ReadonlySet<string> {
    return new Set([...this.#triedServers, ...this.#attempts.helperIds()]);
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
    const granted = yield* settle(reserveParts(this.#context, owner, helpers));
    const reserved = confirmReservation(this.#context.registry(), granted, server, helpers);
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
      watch: this.#quarantine.watch(runIdOf(server), this.#isResumed()),
      report: (event) => {
        this.#inbox.send({ type: ForwardMessageType.Attempt, attempt: number, event });
      },
    });
    this.#attempts.add(attempt);
    return yield* this.#awaitAnswer();
  }

  /** Whether the caller has received events of the answer, from this entry or before it sent this request. */
  #isResumed(): boolean {
    return (this.#lastEventId ?? this.#request.head.lastEventId) !== undefined;
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
    this.#attempts.countUnsent(server.id);
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
    for (let newest = this.#attempts.newest(); newest !== undefined; newest = this.#attempts.newest()) {
      const timeoutAtMs = Math.max(nextCheckAtMs, newest.lastEventAtMs() + this.#inactivityTimeoutMs(newest));
      const waitMs = Math.min(this.#timeLeftMs(), timeoutAtMs - clock.now());
      const received = yield* receiveWithin(this.#inbox, clock, Math.max(0, waitMs));
      if (received.timedOut) {
        if (this.#timeLeftMs() <= 0) {
          return this.#abandon(this.#expiry);
        }
        if (!newest.isPaused() && this.#recordInactivity(newest)) {
          return undefined;
        }
        nextCheckAtMs = clock.now() + FAILOVER_CHECK_INTERVAL_MS;
        continue;
      }
      const message = received.value;
      if (message.type === ForwardMessageType.CallerGone) {
        return callerGone;
      }
      if (message.type === ForwardMessageType.Quarantined) {
        if (!this.#attempts.hasEvents() && this.#quarantine.find() !== undefined) {
          return this.#abandon({ reason: EndReason.Quarantined, retryAfterMs: 0 });
        }
        continue;
      }
      if (message.type === ForwardMessageType.Draining) {
        continue;
      }
      const attempt = this.#attempts.find(message.attempt);
      if (attempt === undefined) {
        continue;
      }
      if (message.type === ForwardMessageType.MemoryIdle) {
        attempt.isMemoryIdle = true;
        continue;
      }
      const end = this.#handleEvent(attempt, message.event);
      if (end !== undefined || (attempt === newest && this.#attempts.find(attempt.number) === undefined)) {
        return end;
      }
    }
    return undefined;
  }

  /** Handles an event of an attempt. Returns the end of the request, or undefined if it is not answered yet. */
  #handleEvent(attempt: RunningAttempt, event: AttemptEvent): RequestEnd | undefined {
    const { relay } = attempt;
    const eventsBefore = relay.eventCount;
    const deliveredBefore = relay.deliveredCount;
    const result = relay.handle(event, this.#attempts.mayRepeatErrors());
    if (event.type === AttemptEventType.Body) {
      this.#answer.whenWritable(() => {
        attempt.consumed(event.chunk);
      });
    }
    this.#lastEventId = relay.lastEventId ?? this.#lastEventId;
    if (relay.eventCount > eventsBefore) {
      const isFirst = eventsBefore === 0;
      const jobId = this.#placement.job.id;
      this.#timing = observeEvents(this.#context, this.#request, jobId, attempt, isFirst, this.#timing);
      attempt.watch.progressed();
    }
    if (relay.deliveredCount > deliveredBefore) {
      this.#attempts.keepOnly(attempt);
    }
    if (result === undefined) {
      return undefined;
    }
    this.#fallback = relay.fallback ?? this.#fallback;
    if (result.failure !== undefined) {
      this.#fail(attempt, result);
      attempt.watch.ended();
      return undefined;
    }
    attempt.watch.answered(relay.isSuccess);
    recordServed(this.#context, this.#request, attempt, relay.isSuccess);
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
    if (this.#isAbandoned(attempt)) {
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
    this.#attempts.end(attempt);
  }

  #recordFault(attempt: RunningAttempt, fault: AttemptFault): void {
    const { server, helpers, relay, number } = attempt;
    this.#attempts.countFailure(attempt, fault.failure);
    this.#context.metrics.countFailure(fault.failure);
    if (fault.isConnectionLost === true) {
      attempt.watch.lost();
    }
    const failed = recordFailedServer(this.#context, server, helpers, fault, attempt.dispatchedAtMs);
    if (failed.id !== server.id) {
      this.#placement.avoidHelpers();
    }
    this.#triedServers.delete(server.id);
    this.#triedServers.add(failed.id);
    this.#log(LogDecision.Retry, {
      server: server.id,
      failed: failed.id,
      failure: fault.failure,
      detail: fault.detail,
      attempt: number,
      digest: digestOf(this.#request),
      events: relay.eventCount,
      lastEventId: this.#lastEventId ?? -1,
    });
  }

  /** Ends the request while attempts are running, which the servers may already have begun. */
  #abandon(end: EndCause): RequestEnd {
    this.#attempts.keepOnly(undefined);
    return this.#endWithoutAnswer(end);
  }

  /** Timing of the answer so far, for the log. */
  get timing(): AnswerTiming {
    return this.#timing;
  }

  /** Returns whether another server is predicted to answer soon enough, and the retry budget allows the attempt. */
  #canFailOver(attempt: RunningAttempt): boolean {
    const { clock, retries, entryCount } = this.#context;
    const { service } = this.#request;
    if (this.#isQuarantinedMidway() || !this.#attempts.mayFollow(attempt)) {
      return false;
    }
    const isCancelled = this.#isAbandoned(attempt);
    const excluded = isCancelled ? this.#triedServers : this.#excludedServers();
    return (
      this.#placement.hasReplacement(excluded, isCancelled) &&
      retries.canSpend(service.name, entryCount(), clock.now())
    );
  }

  /** Returns whether the server no longer works on an attempt; a stream that has begun may only have been preempted. */
  #isAbandoned({ isMemoryIdle, relay }: RunningAttempt): boolean {
    return isMemoryIdle && !relay.hasStarted;
  }

  #inactivityTimeoutMs(attempt: RunningAttempt): number {
    return inactivityTimeoutOf(this.#request, attempt, !this.#attempts.mayFollow(attempt));
  }

  get #expiry(): Expiry {
    return expiryOf(this.#request.deadlineAtMs, this.#context.answersUntilMs());
  }

  #timeLeftMs(): number {
    return this.#expiry.atMs - this.#context.clock.now();
  }

  /**
   * Ends a request for which no complete answer arrived: with the error response of a server if one was kept, else with
   * its reason.
   */
  #endWithoutAnswer({ reason, retryAfterMs }: EndCause): RequestEnd {
    if (this.#fallback !== undefined && !this.#answer.hasBegun()) {
      this.#answer.send(this.#fallback.start, this.#fallback.body);
      return { outcome: Outcome.Complete, reason: EndReason.Answered, retryAfterMs: 0 };
    }
    const outcome = this.#answer.hasBegun() ? Outcome.Unknown : this.#attempts.outcome();
    const end = { outcome, reason, retryAfterMs: outcome === Outcome.NotRun ? retryAfterMs : 0 };
    this.#answer.fail(end);
    return end;
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
