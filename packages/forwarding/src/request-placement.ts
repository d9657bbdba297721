/** Placement as one request uses it: plans its next attempt, and logs the decisions. */
import { DecisionKind as LogDecision } from '@toucanbend/observability';
import {
  DecisionKind,
  type Job,
  planJob,
  type PlacementDecision,
  type RoomDecisionKind,
} from '@toucanbend/placement';
import { RecordKind, type Registry } from '@toucanbend/registry';
import { type CallerRequest, jobOf } from './caller-request.js';
import { type ForwardingContext } from './context.js';
import { answerLimit, drainJob, type DrainTimes, isAnsweredInTime } from './drain-limit.js';
import { isSoonEnough } from './failover.js';
import { decisionLogFields } from './log-fields.js';
import { plannerInputs } from './planner-inputs.js';

/** A decision to send a request to a server. */
export type SendDecision = Extract<PlacementDecision, { kind: DecisionKind.Send }>;

/** Placement of one request. */
export interface RequestPlacement {
  readonly job: Job;
  /**
   * Plans the next attempt.
   *
   * @param excluded - ids of the servers that get no further attempt
   * @param mayWait - whether the attempt may be made later
   * @returns the decision, which is logged
   */
  plan(excluded: ReadonlySet<string>, mayWait: boolean): PlacementDecision;
  /** Plans further attempts on one server where that meets the target, since a helper made an attempt fail. */
  avoidHelpers(): void;
  /**
   * Returns whether the whole answer is expected before this process ends.
   *
   * @param decision - the server, and when the first event is expected
   * @param mayReject - whether the request can still be rejected as one that has not run
   */
  isAnsweredInTime(decision: SendDecision, mayReject: boolean): boolean;
  /**
   * Plans an attempt that replaces the one at a silent server.
   *
   * @param excluded - ids of the servers that get no further attempt
   * @param isCancelled - whether the running attempt ends before the next one begins
   * @returns whether another server is predicted to answer soon enough
   */
  hasReplacement(excluded: ReadonlySet<string>, isCancelled: boolean): boolean;
}

/** Plans the attempts of one request. */
class LoggedPlacement implements RequestPlacement {
  readonly #context: ForwardingContext;
  readonly #request: CallerRequest;
  job: Job;
  #isWaiting = false;
  /** The last decision that was made since the engines had too few free places. */
  #roomDecision: RoomDecisionKind | undefined;

  constructor(context: ForwardingContext, request: CallerRequest) {
    this.#context = context;
    this.#request = request;
    this.job = jobOf(request);
  }

  plan(excluded: ReadonlySet<string>, mayWait: boolean): PlacementDecision {
    const isFirst = excluded.size === 0 && this.#request.head.lastEventId === undefined;
    const mayYield = this.#context.holdsPrompts && isFirst;
    const inputs = plannerInputs(this.#context, { mayWait, mayYield, replacesAttempt: false });
    const decision = planJob(this.job, this.#request.service, excluded, inputs, this.#context.clock.now());
    this.#log(decision, inputs.registry);
    return decision;
  }

  hasReplacement(excluded: ReadonlySet<string>, isCancelled: boolean): boolean {
    const { route, service, deadlineAtMs } = this.#request;
    const options = { mayWait: false, mayYield: false, replacesAttempt: isCancelled };
    const inputs = plannerInputs(this.#context, options);
    const nowMs = this.#context.clock.now();
    const decision = planJob(this.job, service, excluded, inputs, nowMs);
    return (
      isSoonEnough(decision, route.targetMs, deadlineAtMs - nowMs) &&
      decision.kind === DecisionKind.Send &&
      this.isAnsweredInTime(decision, false)
    );
  }

  avoidHelpers(): void {
    this.job = { ...this.job, avoidsHelpers: true };
  }

  isAnsweredInTime({ expectedMs }: SendDecision, mayReject: boolean): boolean {
    const { head, service } = this.#request;
    const nowMs = this.#context.clock.now();
    const times = this.#drainTimes;
    const limitMs = answerLimit(nowMs, times, mayReject);
    const job = drainJob(this.job, head.prompt?.maxAnswerTokens, nowMs >= times.outOfRotationAtMs);
    return isAnsweredInTime(limitMs, job, service.engine, nowMs + expectedMs);
  }

  get #drainTimes(): DrainTimes {
    const { answersUntilMs, outOfRotationAtMs } = this.#context;
    return { answersUntilMs: answersUntilMs(), outOfRotationAtMs: outOfRotationAtMs() };
  }

  /** Logs a placement decision; of consecutive decisions to wait for the same thing, only the first is logged. */
  #log(decision: PlacementDecision, registry: Registry): void {
    const room = decision.kind === DecisionKind.Send ? undefined : decision.room?.decision;
    const isSameRoom = room === this.#roomDecision;
    const isRepeatedWait = decision.kind === DecisionKind.Wait && this.#isWaiting && isSameRoom;
    this.#isWaiting = decision.kind === DecisionKind.Wait;
    this.#roomDecision = room;
    if (isRepeatedWait) {
      return;
    }
    const { clock, loadTracker, logger, metrics } = this.#context;
    if (room !== undefined && !isSameRoom) {
      metrics.countRoomDecision(this.job.rank, room);
    }
    const { head, receivedAtMs, inputDelayMs } = this.#request;
    const { answersUntilMs } = this.#drainTimes;
    const nowMs = clock.now();
    logger.decision({
      decision: LogDecision.Route,
      request: head.requestId,
      fields: {
        ...decisionLogFields(decision, loadTracker),
        ...(Number.isFinite(answersUntilMs) ? { untilEndMs: Math.round(answersUntilMs - nowMs) } : {}),
        waitedMs: Math.round(nowMs - receivedAtMs),
        inputDelayMs: Math.round(inputDelayMs),
        parts: head.prompt?.sharedParts ?? [],
        serversEra: registry.positions[RecordKind.Server].era,
        serversRevision: registry.positions[RecordKind.Server].revision,
      },
    });
  }
}

/**
 * Creates the placement of a request.
 *
 * @param context - the state that all requests share
 * @param request - the request
 * @returns the placement
 */
export function createRequestPlacement(context: ForwardingContext, request: CallerRequest): RequestPlacement {
  return new LoggedPlacement(context, request);
}
