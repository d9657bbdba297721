/** Selects the next queued job to dispatch to the backend server. */
import { type Rank, rankOrder, RANKS, RequestKind } from '@toucanbend/core';
import { remainingPrefill } from './estimate.js';
import { type Job, type RunningJob, SizeClass } from './job.js';
import { type SchedulerState } from './state.js';

/** Minimum duration of a burst of short prefills before it is paused for a long prefill, in milliseconds. */
const MIN_BURST_MS = 20;

/**
 * Returns the KV cache reserved by running jobs: each reserves its maximum size.
 *
 * @param state - the scheduler's state
 * @returns reserved KV cache, in tokens
 */
export function reservedTokens(state: SchedulerState): number {
  let total = 0;
  for (const { job } of state.running.values()) {
    total += job.memoryTokens;
  }
  return total;
}

/**
 * Compares two queued jobs of the same rank and size class by start tag, then by arrival.
 *
 * @param left - the first job
 * @param right - the second job
 * @returns a negative number if `left` is dispatched before `right`
 */
export function compareStartTags(left: Job, right: Job): number {
  return left.startTag - right.startTag || left.arrivedAtMs - right.arrivedAtMs;
}

function prefilling(state: SchedulerState, sizeClass: SizeClass): RunningJob[] {
  return [...state.running.values()].filter(
    (entry) => entry.firstTokenAtMs === undefined && entry.job.sizeClass === sizeClass,
  );
}

/** Returns the long prompt that has waited longest, if it has exceeded `claimAfterMs`; memory is reserved for it. */
function findMemoryClaimant(state: SchedulerState, nowMs: number): Job | undefined {
  return state.queue
    .filter(
      (job) => job.sizeClass === SizeClass.Long && nowMs - job.arrivedAtMs > state.settings.claimAfterMs,
    )
    .sort((left, right) => left.arrivedAtMs - right.arrivedAtMs)[0];
}

/** Returns whether short prompts are paused so that a running long prefill gets its share of the engine. */
function isShortPaused(state: SchedulerState, nowMs: number): boolean {
  const { longShare, prefillWindowMs } = state.settings;
  if (state.shortBurstSinceMs === undefined || prefilling(state, SizeClass.Long).length === 0) {
    return false;
  }
  const burstMs = Math.max(MIN_BURST_MS, (prefillWindowMs * (1 - longShare)) / longShare);
  return nowMs - state.shortBurstSinceMs > burstMs;
}

/** Capacity that constrains dispatch at a given time. */
interface Capacity {
  readonly freeTokens: number;
  readonly claimant: Job | undefined;
  readonly shortPaused: boolean;
  readonly nowMs: number;
}

function measureCapacity(state: SchedulerState, nowMs: number): Capacity {
  return {
    freeTokens: state.settings.memoryTokens - reservedTokens(state),
    claimant: findMemoryClaimant(state, nowMs),
    shortPaused: isShortPaused(state, nowMs),
    nowMs,
  };
}

function fitsMemory(state: SchedulerState, capacity: Capacity, job: Job): boolean {
  const { memoryTokens, memoryShares } = state.settings;
  const reservedForOtherRanks = memoryTokens * (1 - memoryShares[job.work.rank]);
  const claimedTokens =
    capacity.claimant === undefined || capacity.claimant === job ? 0 : capacity.claimant.memoryTokens;
  const isEngineIdle = state.running.size === 0;
  return isEngineIdle
    ? job.memoryTokens <= memoryTokens
    : job.memoryTokens + claimedTokens + reservedForOtherRanks <= capacity.freeTokens;
}

function fits(state: SchedulerState, capacity: Capacity, job: Job): boolean {
  if (!fitsMemory(state, capacity, job)) {
    return false;
  }
  if (job.sizeClass === SizeClass.Long) {
    const ahead = prefilling(state, SizeClass.Long).filter(
      (entry) => rankOrder(entry.job.work.rank) <= rankOrder(job.work.rank),
    );
    return ahead.length < state.settings.maxLongPrefills;
  }
  const windowTokens = state.settings.prefillWindowMs * state.speed.prefillTokensPerMs;
  const aheadTokens = remainingPrefill(state, SizeClass.Short, job.work.rank, capacity.nowMs);
  return !capacity.shortPaused && aheadTokens < windowTokens;
}

/** Returns the head of the queue of a rank and size class if there is capacity for it. */
function dispatchableHead(
  state: SchedulerState,
  capacity: Capacity,
  rank: Rank,
  sizeClass: SizeClass,
): Job | undefined {
  let head: Job | undefined;
  for (const job of state.queue) {
    const isCandidate = job.work.rank === rank && job.sizeClass === sizeClass;
    if (isCandidate && (head === undefined || compareStartTags(job, head) < 0)) {
      head = job;
    }
  }
  return head !== undefined && fits(state, capacity, head) ? head : undefined;
}

/**
 * Orders the ranks by precedence: ranks with queued work that are below their floor first, then by urgency.
 *
 * @param state - the scheduler's state
 * @returns all ranks, highest precedence first
 */
export function rankPreference(state: SchedulerState): Rank[] {
  const waiting = new Set(state.queue.map((job) => job.work.rank));
  const total = RANKS.reduce((sum, rank) => sum + state.shares[rank].served, 0);
  const isBelowFloor = (rank: Rank): boolean =>
    total > 0 && waiting.has(rank) && state.shares[rank].served < state.settings.floors[rank] * total;
  return [...RANKS.filter(isBelowFloor), ...RANKS.filter((rank) => !isBelowFloor(rank))];
}

/**
 * Selects the next job to dispatch to the backend server. Short prompts precede long ones of every rank.
 *
 * @param state - the scheduler's state
 * @param nowMs - current time, in milliseconds on the side's clock
 * @returns the job, or undefined if no queued job can be dispatched now
 */
export function nextJob(state: SchedulerState, nowMs: number): Job | undefined {
  if (state.queue.length === 0 || state.running.size >= state.settings.maxRunning) {
    return undefined;
  }
  const capacity = measureCapacity(state, nowMs);
  const ranks = rankPreference(state);
  for (const sizeClass of [SizeClass.Short, SizeClass.Long]) {
    for (const rank of ranks) {
      const job = dispatchableHead(state, capacity, rank, sizeClass);
      if (job !== undefined) {
        return job;
      }
    }
  }
  return undefined;
}

/**
 * Finds queued short prompts that would miss their first-token limit even if no further work arrived and the engine
 * served only their rank. Dropping them keeps the prompts behind them within their limits.
 */
function lateShortPrompts(state: SchedulerState, rank: Rank, nowMs: number): Job[] {
  const waiting = state.queue.filter(
    ({ work, sizeClass }) =>
      work.rank === rank && work.kind === RequestKind.Model && sizeClass === SizeClass.Short,
  );
  const late: Job[] = [];
  let aheadTokens = remainingPrefill(state, SizeClass.Short, rank, nowMs);
  for (const job of [...waiting].sort(compareStartTags)) {
    const firstTokenAtMs = nowMs + (aheadTokens + job.prefillTokens) / state.speed.prefillTokensPerMs;
    if (waiting.length > 1 && firstTokenAtMs > job.arrivedAtMs + job.work.firstTokenLimitMs) {
      late.push(job);
    } else {
      aheadTokens += job.prefillTokens;
    }
  }
  return late;
}

/**
 * Finds queued jobs that can no longer meet their deadline or first-token limit.
 *
 * @param state - the scheduler's state
 * @param nowMs - current time, in milliseconds on the side's clock
 * @returns the jobs, none of which has been dispatched
 */
export function infeasibleJobs(state: SchedulerState, nowMs: number): Job[] {
  const isTooLate = (job: Job): boolean =>
    nowMs + job.prefillTokens / state.speed.prefillTokensPerMs >= job.deadlineAtMs;
  const late = RANKS.flatMap((rank) => lateShortPrompts(state, rank, nowMs));
  return [...state.queue.filter((job) => isTooLate(job) && !late.includes(job)), ...late];
}
