/** The load book: what is known to be at each backend server, from this entry and from the others. */
import {
  addRequest,
  advanceEngine,
  type EngineParameters,
  type EngineState,
  idleEngine,
  markUnobserved,
  newRequest,
  observeTokens,
  removeRequest,
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

/** What is known of one server. */
export interface ServerLoad {
  readonly jobs: ReadonlyMap<string, PlacedJob>;
  readonly engineState: EngineState;
  /** How many times as slow as published the engine is. */
  readonly slowdown: number;
  readonly meanCallMs: number;
  readonly health: ServerHealth;
}

/** Load of a server of which nothing is known. */
export const unknownLoad: ServerLoad = {
  jobs: new Map(),
  engineState: idleEngine,
  slowdown: 1,
  meanCallMs: 40,
  health: healthyServer,
};

/** Weight of a new observation in a mean; about ten observations decide. */
const OBSERVATION_WEIGHT = 0.1;
/** Bounds of the factor by which an engine may differ from its published speed. */
const LEAST_SLOWDOWN = 0.8;
const MOST_SLOWDOWN = 12;
/** Time past a job's deadline after which it is dropped even without word of its end, in milliseconds. */
const FORGET_AFTER_MS = 1_000;

/** Keeps the load of all servers. */
export interface LoadBook {
  load(server: string): ServerLoad;
  /** Gives the load of an engine, moved on to a time. */
  loadAt(server: string, engine: EngineParameters, nowMs: number): ServerLoad;
  /** Notes that an entry has sent a job to a server. */
  placed(owner: string, server: string, engine: EngineParameters | undefined, job: Job, atMs: number): void;
  /** Notes an event of a job's answer. */
  observed(server: string, engine: EngineParameters | undefined, event: ObservedEvent): void;
  /** Notes the end of a job. */
  ended(server: string, jobId: string): void;
  /** Notes how long a call took. */
  called(server: string, elapsedMs: number): void;
  failed(server: string, atMs: number): void;
  succeeded(server: string): void;
  /** Drops the jobs of an entry whose process is gone. */
  dropOwner(owner: string): void;
  /** Notes that an entry is not heard any more: its jobs may go on, but nobody will tell of their ends. */
  unheard(owner: string): void;
  /** Drops jobs long past their deadlines, and servers that are gone. */
  prune(known: ReadonlySet<string>, nowMs: number): void;
}

/** An event of a stream, as it arrived. */
export interface ObservedEvent {
  readonly jobId: string;
  /** Tokens of the answer so far. */
  readonly tokens: number;
  /** Time since the event before; undefined for the first one. */
  readonly pauseMs: number | undefined;
  readonly atMs: number;
  /** Time that the event was on its way, in milliseconds. */
  readonly wayMs: number;
}

function clamp(value: number, least: number, most: number): number {
  return Math.min(most, Math.max(least, value));
}

function mix(mean: number, observation: number): number {
  return mean + OBSERVATION_WEIGHT * (observation - mean);
}

function withoutJob(jobs: ReadonlyMap<string, PlacedJob>, jobId: string): Map<string, PlacedJob> {
  const rest = new Map(jobs);
  rest.delete(jobId);
  return rest;
}

function isLateNow(placed: PlacedJob, event: ObservedEvent): boolean {
  const { job } = placed;
  const isPauseLate = event.pauseMs !== undefined && event.pauseMs > job.targetPauseMs;
  const isStartLate = event.pauseMs === undefined && event.atMs - job.arrivedAtMs > job.targetMs;
  return placed.isLate || isPauseLate || isStartLate;
}

/**
 * Creates an empty load book.
 *
 * @returns the book
 */
export function createLoadBook(): LoadBook {
  const loads = new Map<string, ServerLoad>();
  const load = (server: string): ServerLoad => loads.get(server) ?? unknownLoad;
  const change = (server: string, part: Partial<ServerLoad>): void => {
    loads.set(server, { ...load(server), ...part });
  };

  const dropJobs = (server: string, isDropped: (placed: PlacedJob) => boolean): void => {
    const { jobs, engineState } = load(server);
    const gone = new Set([...jobs].filter(([, placed]) => isDropped(placed)).map(([id]) => id));
    if (gone.size > 0) {
      const requests = engineState.requests.filter((request) => !gone.has(request.id));
      change(server, {
        jobs: new Map([...jobs].filter(([id]) => !gone.has(id))),
        engineState: { ...engineState, requests },
      });
    }
  };

  return {
    load,
    loadAt: (server, engine, nowMs) => {
      const before = load(server);
      const engineState = advanceEngine(slowEngine(engine, before.slowdown), before.engineState, nowMs);
      if (engineState !== before.engineState) {
        change(server, { engineState });
      }
      return load(server);
    },
    placed: (owner, server, engine, job, atMs) => {
      const before = load(server);
      const jobs = new Map(before.jobs).set(job.id, { job, owner, isLate: false });
      if (engine === undefined || job.generation === undefined) {
        change(server, { jobs });
        return;
      }
      const state = advanceEngine(slowEngine(engine, before.slowdown), before.engineState, atMs);
      change(server, { jobs, engineState: addRequest(state, newRequest(job.id, job.generation)) });
    },
    observed: (server, engine, event) => {
      const before = load(server);
      const placed = before.jobs.get(event.jobId);
      if (engine === undefined || placed === undefined) {
        return;
      }
      const state = advanceEngine(slowEngine(engine, before.slowdown), before.engineState, event.atMs);
      const ratio =
        event.pauseMs === undefined ? 0 : (before.slowdown * event.pauseMs) / Math.max(1, state.lastPassMs);
      const slowdown =
        event.pauseMs === undefined || state.lastPassMs === 0
          ? before.slowdown
          : clamp(mix(before.slowdown, ratio), LEAST_SLOWDOWN, MOST_SLOWDOWN);
      const jobs = new Map(before.jobs).set(event.jobId, { ...placed, isLate: isLateNow(placed, event) });
      change(server, {
        jobs,
        slowdown,
        engineState: observeTokens(state, event.jobId, event.tokens, event.atMs - event.wayMs),
      });
    },
    ended: (server, jobId) => {
      const before = load(server);
      change(server, {
        jobs: withoutJob(before.jobs, jobId),
        engineState: removeRequest(before.engineState, jobId),
      });
    },
    called: (server, elapsedMs) => {
      change(server, { meanCallMs: mix(load(server).meanCallMs, elapsedMs) });
    },
    failed: (server, atMs) => {
      change(server, { health: recordFailure(load(server).health, atMs) });
    },
    succeeded: (server) => {
      change(server, { health: recordSuccess(load(server).health) });
    },
    dropOwner: (owner) => {
      for (const server of loads.keys()) {
        dropJobs(server, (placed) => placed.owner === owner);
      }
    },
    unheard: (owner) => {
      for (const [server, { jobs, engineState }] of loads) {
        change(server, {
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
        const isOverdue = ({ job }: PlacedJob): boolean => job.deadlineAtMs + FORGET_AFTER_MS < nowMs;
        dropJobs(server, isOverdue);
      }
    },
  };
}

/**
 * Tells whether a server may be chosen, by its recent failures.
 *
 * @param load - what is known of the server
 * @param nowMs - now
 * @returns whether it is not ejected
 */
export function isEligible(load: ServerLoad, nowMs: number): boolean {
  return isAvailable(load.health, nowMs);
}
