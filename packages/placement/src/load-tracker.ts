/** The load tracker: records the jobs at each backend server, of this entry and of the other entries. */
import { clamp } from '@toucanbend/core';
import {
  addRequest,
  advanceEngine,
  type EngineParameters,
  type EngineRequest,
  type EngineState,
  idleEngine,
  markUnobserved,
  newRequest,
  observeTokens,
  removeRequest,
  runsRequest,
  slowEngine,
} from '@toucanbend/engine-model';
import {
  healthyServer,
  isAvailable,
  recordFailure,
  recordSuccess,
  type ServerHealth,
} from '@toucanbend/routing';
import { type PlacedJob } from './engine-choice.js';
import { type Job } from './job.js';
import { type RunningJob } from './load-snapshot.js';
import { type UnattributedLoad, withoutOneUnattributed, withUnattributed } from './unattributed-load.js';

/** Recorded load of one server. */
export interface ServerLoad {
  /** Jobs at the server, by job id. */
  readonly jobs: ReadonlyMap<string, PlacedJob>;
  /** Modelled state of the engine; idle for plain services. */
  readonly engineState: EngineState;
  /** Measured duration of passes as a multiple of the duration by the published parameters. */
  readonly slowdown: number;
  /** Moving average of the duration of calls, in milliseconds. */
  readonly meanCallMs: number;
  readonly health: ServerHealth;
}

/** Load of a server without recorded jobs or measurements. */
export const unknownLoad: ServerLoad = {
  jobs: new Map(),
  engineState: idleEngine,
  slowdown: 1,
  meanCallMs: 40,
  health: healthyServer,
};

/** Weight of a new observation in a moving average; the average follows about the last ten observations. */
const OBSERVATION_WEIGHT = 0.1;
/** Bounds of the measured slowdown. */
const MIN_SLOWDOWN = 0.8;
const MAX_SLOWDOWN = 12;
/** Time past a job's deadline after which it is dropped even if no end was reported, in milliseconds. */
const EXPIRY_GRACE_MS = 1_000;

/** Tracks the load of all servers. */
export interface LoadTracker {
  load(server: string): ServerLoad;
  /** Returns the recorded load of all servers, by server id. */
  loads(): ReadonlyMap<string, ServerLoad>;
  /** Returns the load of a server whose modelled engine state is advanced to a time. */
  loadAt(server: string, engine: EngineParameters, nowMs: number): ServerLoad;
  /** Records that an entry has sent a job to a server. */
  placed(owner: string, server: string, engine: EngineParameters | undefined, job: Job, atMs: number): void;
  /**
   * Records a job that another entry placed before it was linked, with its progress. A job that is known and whose end was
   * expected to go unreported is observed again.
   */
  resumed(
    owner: string,
    server: string,
    engine: EngineParameters | undefined,
    running: RunningJob,
    nowMs: number,
  ): void;
  /** Records the requests at an engine that no entry has recorded, in place of those of earlier reports. */
  unattributed(
    server: string,
    engine: EngineParameters | undefined,
    load: UnattributedLoad,
    nowMs: number,
  ): void;
  /** Records an event of a job's answer: corrects the engine state, the slowdown and whether the job is late. */
  observed(server: string, engine: EngineParameters | undefined, event: ObservedEvent): void;
  /** Records the end of a job. */
  ended(server: string, jobId: string): void;
  /** Records the duration of a call. */
  recordCallDuration(server: string, elapsedMs: number): void;
  /** Records a failure of a server, which ejects it for a time. */
  failed(server: string, atMs: number): void;
  /** Records a successful attempt at a server, which ends its ejection. */
  succeeded(server: string): void;
  /**
   * Drops the jobs of an entry whose process has ended. Those that were marked as unobserved before stay in the model of
   * their engines until they are expected to end: a host that lost power has not closed its connections to the engines.
   */
  dropOwner(owner: string): void;
  /** Records that an entry is unreachable: its jobs may still run, but their ends will not be reported. */
  markUnreachable(owner: string): void;
  /** Drops jobs whose deadline has long passed, and servers without jobs that are not in `known`. */
  prune(known: ReadonlySet<string>, nowMs: number): void;
}

/** An event of an answer, as this entry received it. */
export interface ObservedEvent {
  readonly jobId: string;
  /** Number of answer tokens received so far. */
  readonly tokens: number;
  /** Time since the previous event, in milliseconds; undefined for the first event. */
  readonly pauseMs: number | undefined;
  /** Time of receipt, in milliseconds. */
  readonly atMs: number;
  /** One-way network delay of the event, in milliseconds. */
  readonly networkDelayMs: number;
}

function updateMean(mean: number, observation: number): number {
  return mean + OBSERVATION_WEIGHT * (observation - mean);
}

function withoutJob(jobs: ReadonlyMap<string, PlacedJob>, jobId: string): Map<string, PlacedJob> {
  const rest = new Map(jobs);
  rest.delete(jobId);
  return rest;
}

function hasMissedTarget(placed: PlacedJob, event: ObservedEvent): boolean {
  const { job } = placed;
  const isPauseLate = event.pauseMs !== undefined && event.pauseMs > job.targetPauseMs;
  const isStartLate = event.pauseMs === undefined && event.atMs - job.arrivedAtMs > job.targetMs;
  return placed.isLate || isPauseLate || isStartLate;
}

/** Returns the state of an engine with a request that was handed over, in place of one that was not observed. */
function withResumed(state: EngineState, request: EngineRequest, isKnownJob: boolean): EngineState {
  if (state.requests.some(({ id }) => id === request.id)) {
    const requests = state.requests.map((other) => (other.id === request.id ? request : other));
    return { ...state, requests };
  }
  return addRequest(isKnownJob || !runsRequest(request) ? state : withoutOneUnattributed(state), request);
}

/**
 * Creates a load tracker without recorded load.
 *
 * @returns the tracker
 */
export function createLoadTracker(): LoadTracker {
  const loads = new Map<string, ServerLoad>();
  const load = (server: string): ServerLoad => loads.get(server) ?? unknownLoad;
  const update = (server: string, part: Partial<ServerLoad>): void => {
    loads.set(server, { ...load(server), ...part });
  };

  const dropJobs = (
    server: string,
    isDropped: (placed: PlacedJob) => boolean,
    keepsUnobserved = false,
  ): void => {
    const { jobs, engineState } = load(server);
    const dropped = new Set([...jobs].filter(([, placed]) => isDropped(placed)).map(([id]) => id));
    if (dropped.size > 0) {
      const requests = engineState.requests.filter(
        ({ id, isUnobserved }) => !dropped.has(id) || (keepsUnobserved && isUnobserved === true),
      );
      update(server, {
        jobs: new Map([...jobs].filter(([id]) => !dropped.has(id))),
        engineState: { ...engineState, requests },
      });
    }
  };

  return {
    load,
    loads: () => loads,
    loadAt: (server, engine, nowMs) => {
      const previous = load(server);
      const engineState = advanceEngine(slowEngine(engine, previous.slowdown), previous.engineState, nowMs);
      if (engineState !== previous.engineState) {
        update(server, { engineState });
      }
      return load(server);
    },
    placed: (owner, server, engine, job, atMs) => {
      const previous = load(server);
      const jobs = new Map(previous.jobs).set(job.id, { job, owner, isLate: false });
      if (engine === undefined || job.generation === undefined) {
        update(server, { jobs });
        return;
      }
      const state = advanceEngine(slowEngine(engine, previous.slowdown), previous.engineState, atMs);
      // The hand-over of a job may arrive before the update of its placement.
      const isKnown = previous.jobs.has(job.id) && state.requests.some(({ id }) => id === job.id);
      const engineState = isKnown ? state : addRequest(state, newRequest(job.id, job.generation));
      update(server, { jobs, engineState });
    },
    resumed: (owner, server, engine, { job, prefilledTokens, generatedTokens }, nowMs) => {
      const previous = load(server);
      const known = previous.jobs.get(job.id);
      const isObserved = previous.engineState.requests.some(
        ({ id, isUnobserved }) => id === job.id && isUnobserved !== true,
      );
      if (known !== undefined && (isObserved || job.generation === undefined)) {
        return;
      }
      const jobs = new Map(previous.jobs).set(job.id, known ?? { job, owner, isLate: false });
      if (engine === undefined || job.generation === undefined) {
        update(server, { jobs });
        return;
      }
      const state = advanceEngine(slowEngine(engine, previous.slowdown), previous.engineState, nowMs);
      const request = { ...newRequest(job.id, job.generation), prefilledTokens, generatedTokens };
      update(server, { jobs, engineState: withResumed(state, request, known !== undefined) });
    },
    unattributed: (server, engine, reported, nowMs) => {
      if (engine !== undefined) {
        const { jobs, slowdown, engineState } = load(server);
        const state = advanceEngine(slowEngine(engine, slowdown), engineState, nowMs);
        update(server, { engineState: withUnattributed(engine, state, reported, (id) => jobs.has(id)) });
      }
    },
    observed: (server, engine, event) => {
      const previous = load(server);
      const placed = previous.jobs.get(event.jobId);
      if (engine === undefined || placed === undefined) {
        return;
      }
      const state = advanceEngine(slowEngine(engine, previous.slowdown), previous.engineState, event.atMs);
      const ratio =
        event.pauseMs === undefined ? 0 : (previous.slowdown * event.pauseMs) / Math.max(1, state.lastPassMs);
      const slowdown =
        event.pauseMs === undefined || state.lastPassMs === 0
          ? previous.slowdown
          : clamp(updateMean(previous.slowdown, ratio), MIN_SLOWDOWN, MAX_SLOWDOWN);
      const jobs = new Map(previous.jobs).set(event.jobId, {
        ...placed,
        isLate: hasMissedTarget(placed, event),
      });
      update(server, {
        jobs,
        slowdown,
        engineState: observeTokens(state, event.jobId, event.tokens, event.atMs - event.networkDelayMs),
      });
    },
    ended: (server, jobId) => {
      const previous = load(server);
      update(server, {
        jobs: withoutJob(previous.jobs, jobId),
        engineState: removeRequest(previous.engineState, jobId),
      });
    },
    recordCallDuration: (server, elapsedMs) => {
      update(server, { meanCallMs: updateMean(load(server).meanCallMs, elapsedMs) });
    },
    failed: (server, atMs) => {
      update(server, { health: recordFailure(load(server).health, atMs) });
    },
    succeeded: (server) => {
      update(server, { health: recordSuccess(load(server).health) });
    },
    dropOwner: (owner) => {
      for (const server of loads.keys()) {
        dropJobs(server, (placed) => placed.owner === owner, true);
      }
    },
    markUnreachable: (owner) => {
      for (const [server, { jobs, engineState }] of loads) {
        update(server, {
          engineState: markUnobserved(engineState, (id) => jobs.get(id)?.owner === owner),
        });
      }
    },
    prune: (known, nowMs) => {
      for (const [server, { jobs }] of loads) {
        if (!known.has(server) && jobs.size === 0) {
          loads.delete(server);
          continue;
        }
        const isOverdue = ({ job }: PlacedJob): boolean => job.deadlineAtMs + EXPIRY_GRACE_MS < nowMs;
        dropJobs(server, isOverdue);
      }
    },
  };
}

/**
 * Returns whether a server may be chosen, considering its recent failures.
 *
 * @param load - recorded load of the server
 * @param nowMs - the current time, in milliseconds
 * @returns false while the server is ejected
 */
export function isEligible(load: ServerLoad, nowMs: number): boolean {
  return isAvailable(load.health, nowMs);
}
