/** Holds the scheduler's state and dispatches the jobs that it selects to the backend server. */
import { type Clock, perRank, rankOrder, RANKS, RequestKind, type WorkDescription } from '@toucanbend/core';
import { type ConfigurationDocument } from '@toucanbend/configuration';
import { DecisionKind, type Logger } from '@toucanbend/observability';
import {
  type AdmissionEstimate,
  applyChange,
  type Change,
  ChangeType,
  createSchedulerState,
  estimateAdmission,
  infeasibleJobs,
  type Job,
  nextJob,
  reservedTokens,
  type SchedulerSettings,
  type SchedulerState,
  SizeClass,
} from '@toucanbend/scheduler';
import { type BackendServer } from './backend.js';
import { type SideEvent, SideEventType } from './event.js';
import { RequestPhase, type TrackedRequest } from './tracked-request.js';
import { type RequestRegistry } from './request-registry.js';

/** Dependencies and settings of a dispatcher. */
export interface DispatcherOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly scheduler: SchedulerSettings;
  readonly backend: BackendServer;
  readonly registry: RequestRegistry;
  /**
   * Time without tokens after which the engine of a stream counts as failed, in milliseconds. An allowance for the
   * expected prefill or step time is added.
   */
  readonly stallMs: number;
  readonly raise: (event: SideEvent) => void;
}

/** Dispatches requests to one backend server in the scheduler's order. */
export interface Dispatcher {
  /** Predicts the latency of a request and decides whether it would be accepted. */
  estimateAdmission(work: WorkDescription, timeLeftMs: number): AdmissionEstimate;
  /** Queues a request whose body has been received completely. */
  enqueue(request: TrackedRequest): void;
  /** Records that tokens of an answer have been generated. */
  progress(request: TrackedRequest, tokens: number): void;
  /** Records that a queued or running request has ended. */
  end(request: TrackedRequest): void;
  /** Dispatches queued jobs while there is capacity. */
  dispatchQueued(): void;
  /** Returns queued requests that can no longer meet their deadline or first-token limit. */
  infeasible(): TrackedRequest[];
  /** Returns running model requests that have not produced a token within the stall limit. */
  stalled(): TrackedRequest[];
  configure(document: ConfigurationDocument): void;
  /** Starts or cancels draining; new work is rejected while draining. */
  setDraining(leaving: boolean): void;
  isDraining(): boolean;
  status(): object;
}

const TICK_MS = 10;
const FIRST_TOKEN_STALL_FACTOR = 4;

/**
 * Creates the dispatcher of one backend server.
 *
 * @param options - settings, clock, request registry and backend server
 * @returns a dispatcher without jobs
 */
export function createDispatcher(options: DispatcherOptions): Dispatcher {
  const { clock, registry, raise, logger } = options;
  let state: SchedulerState = createSchedulerState(options.scheduler);
  let tickScheduled = false;

  const apply = (change: Change): void => {
    state = applyChange(state, change);
  };

  const scheduleTick = (): void => {
    if (!tickScheduled) {
      tickScheduled = true;
      clock.after(TICK_MS, () => {
        tickScheduled = false;
        raise({ type: SideEventType.Tick });
      });
    }
  };

  const logDispatch = (request: TrackedRequest, job: Job): void => {
    logger.decision({
      decision: DecisionKind.Dispatch,
      request: request.requestId,
      fields: {
        attempt: request.attempt,
        waitedMs: Math.round(clock.now() - job.arrivedAtMs),
        sizeClass: job.sizeClass,
        queued: state.queue.length,
        running: state.running.size,
      },
    });
  };

  const start = (request: TrackedRequest, priority: number): (() => void) => {
    const { id, requestId, call } = request;
    const { target, maxTokens } = request.work;
    const body = Buffer.concat(request.chunks);
    request.chunks.length = 0;
    return options.backend.start(
      { requestId, target, maxTokens, priority, body, call },
      {
        onTokens: (tokens) => {
          raise({ type: SideEventType.Tokens, id, tokens });
        },
        onAnswer: (answer) => {
          raise({ type: SideEventType.Answer, id, answer });
        },
        onEnd: (end, message) => {
          raise({ type: SideEventType.BackendEnded, id, end, message });
        },
      },
    );
  };

  const dispatch = (job: Job): void => {
    const request = registry.byId(job.id);
    apply({ type: ChangeType.Dispatched, id: job.id, atMs: clock.now() });
    if (request === undefined) {
      apply({ type: ChangeType.Ended, id: job.id, atMs: clock.now() });
      return;
    }
    logDispatch(request, job);
    request.phase = RequestPhase.Running;
    request.lastTokenAtMs = clock.now();
    const classOffset = job.sizeClass === SizeClass.Long ? RANKS.length : 0;
    request.cancelBackend = start(request, rankOrder(job.work.rank) + classOffset);
  };

  const stallLimitMs = (job: Job, hasFirstToken: boolean): number => {
    const { prefillTokensPerMs, stepMs } = state.speed;
    const expectedMs = hasFirstToken ? stepMs : job.prefillTokens / prefillTokensPerMs;
    return options.stallMs + FIRST_TOKEN_STALL_FACTOR * expectedMs;
  };

  return {
    estimateAdmission: (work, timeLeftMs) => estimateAdmission(state, work, timeLeftMs, clock.now()),
    enqueue: (request) => {
      request.phase = RequestPhase.Waiting;
      const { id, work, deadlineAtMs } = request;
      apply({ type: ChangeType.Arrived, id, work, deadlineAtMs, atMs: clock.now() });
    },
    progress: (request, tokens) => {
      apply({ type: ChangeType.Progressed, id: request.id, tokens, atMs: clock.now() });
    },
    end: (request) => {
      apply({ type: ChangeType.Ended, id: request.id, atMs: clock.now() });
    },
    dispatchQueued: () => {
      for (let job = nextJob(state, clock.now()); job !== undefined; job = nextJob(state, clock.now())) {
        dispatch(job);
      }
      if (state.queue.length > 0 || state.running.size > 0) {
        scheduleTick();
      }
    },
    infeasible: () => infeasibleJobs(state, clock.now()).flatMap((job) => registry.byId(job.id) ?? []),
    stalled: () =>
      [...state.running.values()].flatMap(({ job, firstTokenAtMs }) => {
        const request = registry.byId(job.id);
        if (request === undefined || job.work.kind !== RequestKind.Model) {
          return [];
        }
        const silentMs = clock.now() - request.lastTokenAtMs;
        return silentMs > stallLimitMs(job, firstTokenAtMs !== undefined) ? [request] : [];
      }),
    configure: (document) => {
      const floorOf = (name: string): number | undefined =>
        document.ranks.find((item) => String(item.name) === name)?.floor;
      const floors = perRank((rank) => floorOf(rank) ?? state.settings.floors[rank]);
      apply({ type: ChangeType.Configured, settings: { ...state.settings, floors } });
    },
    setDraining: (leaving) => {
      apply({ type: ChangeType.DrainingSet, leaving });
    },
    isDraining: () => state.leaving,
    status: () => ({
      queued: perRank((rank) => state.queue.filter((job) => job.work.rank === rank).length),
      running: state.running.size,
      reservedTokens: reservedTokens(state),
      speed: state.speed,
      leaving: state.leaving,
    }),
  };
}
