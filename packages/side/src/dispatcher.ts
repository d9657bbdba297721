/** Runs the scheduler's decisions: it keeps the scheduler's state and hands jobs to the backend server. */
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
import { HeldPhase, type HeldRequest } from './held-request.js';
import { type Registry } from './registry.js';

/** What the dispatcher needs. */
export interface DispatcherOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly scheduler: SchedulerSettings;
  readonly backend: BackendServer;
  readonly registry: Registry;
  /** Silence of a stream after which its engine counts as failed, in milliseconds. */
  readonly stallMs: number;
  readonly raise: (event: SideEvent) => void;
}

/** Runs the scheduler's decisions. */
export interface Dispatcher {
  /** Predicts how a request would fare. */
  quote(work: WorkDescription, timeLeftMs: number): AdmissionEstimate;
  /** Puts a request whose body is whole into the queue. */
  enqueue(request: HeldRequest): void;
  /** Records tokens of an answer. */
  progress(request: HeldRequest, tokens: number): void;
  /** Records that a request has ended, wherever it stood. */
  end(request: HeldRequest): void;
  /** Hands jobs to the backend server while there is room. */
  pump(): void;
  /** Waiting requests that can no longer finish in time. */
  hopeless(): HeldRequest[];
  /** Running requests whose stream has carried nothing for too long. */
  stalled(): HeldRequest[];
  configure(document: ConfigurationDocument): void;
  /** Takes no new work while it is set. */
  setLeaving(leaving: boolean): void;
  isLeaving(): boolean;
  status(): object;
}

const TICK_MS = 10;
const FIRST_TOKEN_STALL_FACTOR = 4;

/**
 * Creates the dispatcher of one backend server.
 *
 * @param options - settings, clock, backend server
 * @returns the dispatcher, without jobs
 */
export function createDispatcher(options: DispatcherOptions): Dispatcher {
  const { clock, registry, raise, logger } = options;
  let state: SchedulerState = createSchedulerState(options.scheduler);
  let ticking = false;

  const apply = (change: Change): void => {
    state = applyChange(state, change);
  };

  const startTicking = (): void => {
    if (!ticking) {
      ticking = true;
      clock.after(TICK_MS, () => {
        ticking = false;
        raise({ type: SideEventType.Tick });
      });
    }
  };

  const logDispatch = (request: HeldRequest, job: Job): void => {
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

  const start = (request: HeldRequest, priority: number): (() => void) => {
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
    request.phase = HeldPhase.Running;
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
    quote: (work, timeLeftMs) => estimateAdmission(state, work, timeLeftMs, clock.now()),
    enqueue: (request) => {
      request.phase = HeldPhase.Waiting;
      const { id, work, deadlineAtMs } = request;
      apply({ type: ChangeType.Arrived, id, work, deadlineAtMs, atMs: clock.now() });
    },
    progress: (request, tokens) => {
      apply({ type: ChangeType.Progressed, id: request.id, tokens, atMs: clock.now() });
    },
    end: (request) => {
      apply({ type: ChangeType.Ended, id: request.id, atMs: clock.now() });
    },
    pump: () => {
      for (let job = nextJob(state, clock.now()); job !== undefined; job = nextJob(state, clock.now())) {
        dispatch(job);
      }
      if (state.queue.length > 0 || state.running.size > 0) {
        startTicking();
      }
    },
    hopeless: () => infeasibleJobs(state, clock.now()).flatMap((job) => registry.byId(job.id) ?? []),
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
    setLeaving: (leaving) => {
      apply({ type: ChangeType.DrainingSet, leaving });
    },
    isLeaving: () => state.leaving,
    status: () => ({
      queued: perRank((rank) => state.queue.filter((job) => job.work.rank === rank).length),
      running: state.running.size,
      reservedTokens: reservedTokens(state),
      speed: state.speed,
      leaving: state.leaving,
    }),
  };
}
