/** Immutable state of the scheduler and its state transitions. */
import { perRank, type PerRank, type Rank, type WorkDescription } from '@toucanbend/core';
import { type Job, type RunningJob, SizeClass } from './job.js';
import { cachedTokens, type PrefixIndex, recordPrefix } from './prefix-index.js';
import { type SchedulerSettings } from './settings.js';
import { type Speed, updatePrefillSpeed, updateStepTime } from './speed.js';

/** Fair queueing state of one rank. Tags follow start-time fair queueing and are in units of cost per weight. */
export interface RankShare {
  /** Highest start tag dispatched so far, by size class. */
  readonly virtualTime: Readonly<Record<SizeClass, number>>;
  /** Earliest start tag of the next job, by account and size class. */
  readonly nextTags: ReadonlyMap<string, number>;
  /** Dispatched cost, in prefilled tokens, decayed exponentially over the share window. */
  readonly served: number;
  /** Dispatched prefill by account, in tokens, decayed exponentially over the share window. */
  readonly accounts: ReadonlyMap<string, number>;
}

/** Complete state of the scheduler. */
export interface SchedulerState {
  readonly settings: SchedulerSettings;
  readonly queue: readonly Job[];
  readonly running: ReadonlyMap<string, RunningJob>;
  readonly shares: PerRank<RankShare>;
  /** Dispatched prefill of short prompts, in tokens, decayed exponentially over the share window. */
  readonly shortPrefill: number;
  readonly decayedAtMs: number;
  readonly lastFirstTokenAtMs: number;
  /** Start of the current burst of short prefills; undefined while no short prompt is being prefilled. */
  readonly shortBurstSinceMs: number | undefined;
  readonly speed: Speed;
  readonly prefixes: PrefixIndex;
  readonly leaving: boolean;
}

export enum ChangeType {
  Arrived = 'arrived',
  Dispatched = 'dispatched',
  Progressed = 'progressed',
  Ended = 'ended',
  /** The backend server starts draining, or a drain is cancelled. */
  DrainingSet = 'leaving_set',
  Configured = 'configured',
}

/** An event that changes the scheduler's state. */
export type Change =
  | {
      readonly type: ChangeType.Arrived;
      readonly id: string;
      readonly work: WorkDescription;
      readonly deadlineAtMs: number;
      readonly atMs: number;
    }
  | { readonly type: ChangeType.Dispatched; readonly id: string; readonly atMs: number }
  | {
      readonly type: ChangeType.Progressed;
      readonly id: string;
      readonly tokens: number;
      readonly atMs: number;
    }
  | { readonly type: ChangeType.Ended; readonly id: string; readonly atMs: number }
  | { readonly type: ChangeType.DrainingSet; readonly leaving: boolean }
  | { readonly type: ChangeType.Configured; readonly settings: SchedulerSettings };

/**
 * Creates the state of an idle scheduler.
 *
 * @param settings - memory, limits and shares, and the initial speed estimates
 * @returns a state without queued or running jobs
 */
export function createSchedulerState(settings: SchedulerSettings): SchedulerState {
  return {
    settings,
    queue: [],
    running: new Map(),
    shares: perRank(() => ({
      virtualTime: { [SizeClass.Short]: 0, [SizeClass.Long]: 0 },
      nextTags: new Map(),
      served: 0,
      accounts: new Map(),
    })),
    shortPrefill: 0,
    decayedAtMs: 0,
    lastFirstTokenAtMs: 0,
    shortBurstSinceMs: undefined,
    speed: {
      prefillTokensPerMs: settings.initialPrefillTokensPerMs,
      stepMs: settings.initialStepMs,
    },
    prefixes: new Map(),
    leaving: false,
  };
}

/**
 * Creates the job of a request: estimates its uncached prefill and cost and assigns its start tag.
 *
 * @param state - the scheduler's state, which is not changed
 * @param id - identifies the attempt
 * @param work - the request
 * @param deadlineAtMs - time by which the request must finish, in milliseconds on the side's clock
 * @param atMs - current time, in milliseconds on the side's clock
 * @returns the job
 */
export function describeJob(
  state: SchedulerState,
  id: string,
  work: WorkDescription,
  deadlineAtMs: number,
  atMs: number,
): Job {
  const { settings } = state;
  const share = state.shares[work.rank];
  const prefillTokens = Math.max(1, work.promptTokens - cachedTokens(state.prefixes, work.prefix));
  const sizeClass = prefillTokens >= settings.longPromptTokens ? SizeClass.Long : SizeClass.Short;
  return {
    id,
    work,
    sizeClass,
    arrivedAtMs: atMs,
    deadlineAtMs,
    prefillTokens,
    cost: prefillTokens + work.maxTokens * settings.decodeTokenCost,
    memoryTokens: work.promptTokens + work.maxTokens,
    startTag: Math.max(
      share.virtualTime[sizeClass],
      share.nextTags.get(tagKey(work.account, sizeClass)) ?? 0,
    ),
  };
}

function tagKey(account: string, sizeClass: SizeClass): string {
  return `${sizeClass}/${account}`;
}

function withShare(state: SchedulerState, rank: Rank, share: RankShare): PerRank<RankShare> {
  return { ...state.shares, [rank]: share };
}

function arrive(state: SchedulerState, job: Job): SchedulerState {
  const share = state.shares[job.work.rank];
  const nextTags = new Map(share.nextTags);
  nextTags.set(tagKey(job.work.account, job.sizeClass), job.startTag + job.cost / job.work.weight);
  return {
    ...state,
    queue: [...state.queue, job],
    shares: withShare(state, job.work.rank, { ...share, nextTags }),
  };
}

/** Accounts whose decayed work falls below this are removed, in tokens. */
const MIN_RETAINED_TOKENS = 1;

function decayShare(share: RankShare, factor: number): RankShare {
  const accounts = new Map<string, number>();
  for (const [account, tokens] of share.accounts) {
    if (tokens * factor >= MIN_RETAINED_TOKENS) {
      accounts.set(account, tokens * factor);
    }
  }
  return { ...share, accounts, served: share.served * factor };
}

function decay(state: SchedulerState, atMs: number): SchedulerState {
  const factor = Math.exp(-Math.max(0, atMs - state.decayedAtMs) / state.settings.shareWindowMs);
  return {
    ...state,
    decayedAtMs: atMs,
    shortPrefill: state.shortPrefill * factor,
    shares: perRank((rank) => decayShare(state.shares[rank], factor)),
  };
}

/** Drops tags at or below the virtual time: a new job starts at the virtual time or later regardless. */
function withoutPastTags(
  tags: ReadonlyMap<string, number>,
  sizeClass: SizeClass,
  now: number,
): Map<string, number> {
  return new Map([...tags].filter(([key, tag]) => !key.startsWith(`${sizeClass}/`) || tag > now));
}

function dispatch(before: SchedulerState, job: Job, atMs: number): SchedulerState {
  const state = decay(before, atMs);
  const share = state.shares[job.work.rank];
  const running = new Map(state.running);
  running.set(job.id, { job, dispatchedAtMs: atMs, firstTokenAtMs: undefined, outputTokens: 0 });
  const tag = Math.max(share.virtualTime[job.sizeClass], job.startTag);
  const isShort = job.sizeClass === SizeClass.Short;
  return {
    ...state,
    queue: state.queue.filter((other) => other !== job),
    running,
    shortPrefill: state.shortPrefill + (isShort ? job.prefillTokens : 0),
    shortBurstSinceMs: isShort ? (state.shortBurstSinceMs ?? atMs) : state.shortBurstSinceMs,
    shares: withShare(state, job.work.rank, {
      virtualTime: { ...share.virtualTime, [job.sizeClass]: tag },
      nextTags: withoutPastTags(share.nextTags, job.sizeClass, tag),
      served: share.served + job.cost,
      accounts: new Map(share.accounts).set(
        job.work.account,
        (share.accounts.get(job.work.account) ?? 0) + job.prefillTokens,
      ),
    }),
  };
}

function isPrefillingShort(runningJob: RunningJob): boolean {
  return runningJob.firstTokenAtMs === undefined && runningJob.job.sizeClass === SizeClass.Short;
}

function endBurstIfIdle(state: SchedulerState): SchedulerState {
  const busy = [...state.running.values()].some(isPrefillingShort);
  return busy ? state : { ...state, shortBurstSinceMs: undefined };
}

function firstToken(state: SchedulerState, runningJob: RunningJob, atMs: number): Partial<SchedulerState> {
  const { job } = runningJob;
  const startedAtMs = Math.max(runningJob.dispatchedAtMs, state.lastFirstTokenAtMs);
  const isShort = job.sizeClass === SizeClass.Short;
  return {
    lastFirstTokenAtMs: atMs,
    speed: isShort ? updatePrefillSpeed(state.speed, job.prefillTokens, atMs - startedAtMs) : state.speed,
    prefixes: recordPrefix(state.prefixes, job.work.prefix, state.settings.memoryTokens),
  };
}

function progress(
  state: SchedulerState,
  runningJob: RunningJob,
  tokens: number,
  atMs: number,
): SchedulerState {
  const running = new Map(state.running);
  const isFirst = runningJob.firstTokenAtMs === undefined;
  running.set(runningJob.job.id, {
    ...runningJob,
    firstTokenAtMs: runningJob.firstTokenAtMs ?? atMs,
    outputTokens: runningJob.outputTokens + tokens,
  });
  const next = { ...state, running };
  return isFirst ? endBurstIfIdle({ ...next, ...firstToken(state, runningJob, atMs) }) : next;
}

function end(state: SchedulerState, id: string, atMs: number): SchedulerState {
  const runningJob = state.running.get(id);
  if (runningJob === undefined) {
    return { ...state, queue: state.queue.filter((job) => job.id !== id) };
  }
  const running = new Map(state.running);
  running.delete(id);
  const steps = runningJob.outputTokens - 1;
  const speed =
    runningJob.firstTokenAtMs === undefined
      ? state.speed
      : updateStepTime(state.speed, steps, atMs - runningJob.firstTokenAtMs);
  return endBurstIfIdle({ ...state, running, speed });
}

/**
 * Applies a change.
 *
 * @param state - the state before the change, which is not modified
 * @param change - the change
 * @returns the state after the change; `state` itself if `Dispatched` or `Progressed` names an unknown job
 */
export function applyChange(state: SchedulerState, change: Change): SchedulerState {
  switch (change.type) {
    case ChangeType.Arrived:
      return arrive(state, describeJob(state, change.id, change.work, change.deadlineAtMs, change.atMs));
    case ChangeType.Dispatched: {
      const job = state.queue.find((other) => other.id === change.id);
      return job === undefined ? state : dispatch(state, job, change.atMs);
    }
    case ChangeType.Progressed: {
      const runningJob = state.running.get(change.id);
      return runningJob === undefined ? state : progress(state, runningJob, change.tokens, change.atMs);
    }
    case ChangeType.Ended:
      return end(state, change.id, change.atMs);
    case ChangeType.DrainingSet:
      return { ...state, leaving: change.leaving };
    case ChangeType.Configured:
      return { ...state, settings: change.settings };
  }
}
