/** Admission control: predicts the latency of a request and decides whether to accept it. */
import { rankOrder, RANKS, Reason, RequestKind, type WorkDescription } from '@toucanbend/core';
import { accountShare, longPrefillShare, rankShare, remainingPrefill } from './estimate.js';
import { type Job, SizeClass } from './job.js';
import { reservedTokens } from './order.js';
import { describeJob, type SchedulerState } from './state.js';

/** The admission decision for a request and the predictions behind it. */
export interface AdmissionEstimate {
  readonly accepted: boolean;
  readonly reason: Reason;
  /** Delay before the caller should retry, in milliseconds; 0 if the request is accepted. */
  readonly retryAfterMs: number;
  /** Predicted time to the first token, in milliseconds. */
  readonly firstTokenMs: number;
  /** Predicted time until the answer is complete, in milliseconds. */
  readonly finishMs: number;
  /** Estimated length of the prompt's prefix that is in the prefix cache, in tokens. */
  readonly cachedTokens: number;
  /** Total delay that the request would add to other jobs at this server, in milliseconds. */
  readonly harmMs: number;
}

const MIN_RETRY_AFTER_MS = 50;
const DELAY_PER_DECODING_ANSWER = 0.2;
const MIN_FLOOR = 0.02;
/** Fraction of the allowed wait that a predicted wait may use; the remainder allows for the prediction error. */
const WAIT_FRACTION = 0.6;

function sumPrefill(jobs: readonly Job[]): number {
  return jobs.reduce((sum, job) => sum + job.prefillTokens, 0);
}

function queuedInClass(state: SchedulerState, job: Job): Job[] {
  return state.queue.filter((other) => other.sizeClass === job.sizeClass);
}

/**
 * Returns the prefill of the job's rank that is served before the job, in tokens: the work queued ahead of it or, if
 * larger, the work that would be ahead of it if the other accounts submitted work again. The latter keeps an account
 * from queueing more work than can be served in time.
 */
function tokensAhead(state: SchedulerState, job: Job, forRank: number, nowMs: number): number {
  const { rank, account, weight } = job.work;
  const before = queuedInClass(state, job).filter(
    (other) => other.work.rank === rank && other.startTag <= job.startTag,
  );
  const aheadCost = (job.startTag - state.shares[rank].virtualTime[job.sizeClass]) * weight;
  const aheadTokens = Math.max(0, aheadCost) * (job.prefillTokens / job.cost);
  return Math.max(sumPrefill(before), aheadTokens / accountShare(state, rank, account, forRank, nowMs));
}

/** Returns the prefill that the job's rank is short of its floor, in tokens; negative if it is above its floor. */
function floorCredit(state: SchedulerState, job: Job): number {
  const total = RANKS.reduce((sum, rank) => sum + state.shares[rank].served, 0);
  const { rank } = job.work;
  const cost = state.settings.floors[rank] * total - state.shares[rank].served;
  return cost * (job.prefillTokens / job.cost);
}

/** Returns the prefill speed available to the job's size class, in tokens per millisecond. */
function classPrefillRate(state: SchedulerState, job: Job, nowMs: number): number {
  const isLong = job.sizeClass === SizeClass.Long;
  return state.speed.prefillTokensPerMs * (isLong ? longPrefillShare(state, nowMs) : shortRateShare(state));
}

/** Predicts the wait until the engine starts to prefill the prompt, in milliseconds. */
function startWaitMs(state: SchedulerState, job: Job, nowMs: number): number {
  const { rank } = job.work;
  const forRank = rankShare(state, rank, nowMs);
  const before = tokensAhead(state, job, forRank, nowMs);
  const moreUrgent = queuedInClass(state, job).filter(
    (other) => rankOrder(other.work.rank) < rankOrder(rank),
  );
  const byUrgency = Math.max(sumPrefill(moreUrgent) + before, before / forRank);
  const floor = Math.max(MIN_FLOOR, state.settings.floors[rank]);
  const byFloor = Math.max(0, before - floorCredit(state, job)) / floor;
  const running = remainingPrefill(state, job.sizeClass, rank, nowMs);
  return (running + Math.min(byUrgency, byFloor)) / classPrefillRate(state, job, nowMs);
}

/** Returns the fraction of the prefill speed available to short prompts, which a concurrent long prefill reduces. */
function shortRateShare(state: SchedulerState): number {
  const hasLong = [...state.running.values()].some(
    (entry) => entry.firstTokenAtMs === undefined && entry.job.sizeClass === SizeClass.Long,
  );
  return hasLong && state.queue.length > 0 ? 1 - state.settings.longShare : 1;
}

/** Predicts the wait until enough KV cache is free, from the predicted completion of running jobs, in milliseconds. */
function memoryWaitMs(state: SchedulerState, job: Job): number {
  const missing = reservedTokens(state) + job.memoryTokens - state.settings.memoryTokens;
  if (missing <= 0 || state.running.size === 0) {
    return 0;
  }
  const endings = [...state.running.values()]
    .map((entry) => ({
      tokens: entry.job.memoryTokens,
      inMs: (entry.job.work.maxTokens - entry.outputTokens) * state.speed.stepMs,
    }))
    .sort((left, right) => left.inMs - right.inMs);
  let freed = 0;
  for (const ending of endings) {
    freed += ending.tokens;
    if (freed >= missing) {
      return ending.inMs;
    }
  }
  return endings.at(-1)?.inMs ?? 0;
}

/** Predicts the wait until one of the `maxRunning` slots of a plain service is free, in milliseconds. */
function slotWaitMs(state: SchedulerState): number {
  const ahead = state.queue.length + state.running.size + 1 - state.settings.maxRunning;
  return Math.max(0, Math.ceil(ahead / state.settings.maxRunning)) * state.speed.stepMs;
}

function addedDelayMs(state: SchedulerState, job: Job): number {
  const prefillMs = job.prefillTokens / state.speed.prefillTokensPerMs;
  const behind = state.queue.filter(
    (other) => other.sizeClass === job.sizeClass && rankOrder(other.work.rank) >= rankOrder(job.work.rank),
  ).length;
  return prefillMs * (behind + DELAY_PER_DECODING_ANSWER * state.running.size);
}

/** Predicted latency of a request, in milliseconds. */
interface Prediction {
  /** Time until the backend server starts the request. */
  readonly waitMs: number;
  /** Time from that start to the first token. */
  readonly workMs: number;
  /** Time until the answer is complete, including the wait. */
  readonly finishMs: number;
}

function predict(state: SchedulerState, job: Job, nowMs: number): Prediction {
  const { stepMs } = state.speed;
  if (job.work.kind === RequestKind.Service) {
    const waitMs = slotWaitMs(state);
    return { waitMs, workMs: stepMs, finishMs: waitMs + stepMs };
  }
  const waitMs = Math.max(startWaitMs(state, job, nowMs), memoryWaitMs(state, job));
  const workMs = job.prefillTokens / classPrefillRate(state, job, nowMs) + stepMs;
  return { waitMs, workMs, finishMs: waitMs + workMs + job.work.maxTokens * stepMs };
}

/** Returns whether a short prompt is likely to miss its first-token limit, allowing for error in the predicted wait. */
function isLate(job: Job, { waitMs, workMs }: Prediction): boolean {
  return job.sizeClass === SizeClass.Short && waitMs / WAIT_FRACTION + workMs > job.work.firstTokenLimitMs;
}

function rejectionReason(state: SchedulerState, job: Job, prediction: Prediction, nowMs: number): Reason {
  if (state.leaving) {
    return Reason.Leaving;
  }
  if (job.memoryTokens > state.settings.memoryTokens) {
    return Reason.BeyondMemory;
  }
  if (state.queue.length >= state.settings.maxQueued) {
    return Reason.QueueFull;
  }
  const isBeyondDeadline = nowMs + prediction.finishMs > job.deadlineAtMs;
  return isLate(job, prediction) || isBeyondDeadline ? Reason.DeadlineUnreachable : Reason.None;
}

/**
 * Predicts the latency of a request at this server and decides whether the request would be accepted.
 *
 * @param state - the scheduler's state, which is not changed
 * @param work - the request
 * @param timeLeftMs - time remaining until the request's deadline, in milliseconds
 * @param nowMs - current time, in milliseconds on the side's clock
 * @returns the decision and the predictions
 */
export function estimateAdmission(
  state: SchedulerState,
  work: WorkDescription,
  timeLeftMs: number,
  nowMs: number,
): AdmissionEstimate {
  const job = describeJob(state, '', work, nowMs + timeLeftMs, nowMs);
  const prediction = predict(state, job, nowMs);
  const firstTokenMs = prediction.waitMs + prediction.workMs;
  const reason = rejectionReason(state, job, prediction, nowMs);
  const accepted = reason === Reason.None;
  const lateMs = Math.min(firstTokenMs - work.firstTokenLimitMs, timeLeftMs);
  return {
    accepted,
    reason,
    retryAfterMs: accepted ? 0 : Math.ceil(Math.max(MIN_RETRY_AFTER_MS, lateMs)),
    firstTokenMs,
    finishMs: prediction.finishMs,
    cachedTokens: work.promptTokens - job.prefillTokens,
    harmMs: work.kind === RequestKind.Service ? 0 : addedDelayMs(state, job),
  };
}
