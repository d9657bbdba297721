/** Estimates of engine load that dispatch order and admission control share. */
import { type PerRank, perRank, type Rank, rankOrder, RANKS } from '@toucanbend/core';
import { SizeClass } from './job.js';
import { type SchedulerState } from './state.js';

const MIN_SHARE = 0.02;

/** Returns the factor that decays work counted at the last decay to the current time. */
function decayAt(state: SchedulerState, nowMs: number): number {
  return Math.exp(-Math.max(0, nowMs - state.decayedAtMs) / state.settings.shareWindowMs);
}

/** Returns decayed work as a fraction of the prefill capacity of the share window, 0 or more. */
function prefillFraction(state: SchedulerState, tokens: number, nowMs: number): number {
  return (tokens * decayAt(state, nowMs)) / (state.speed.prefillTokensPerMs * state.settings.shareWindowMs);
}

/**
 * Estimates the fraction of the engine's prefill capacity that short prompts leave to long prompts.
 *
 * @param state - the scheduler's state
 * @param nowMs - current time, in milliseconds on the side's clock
 * @returns a fraction from 0 to 1, at least `longShare`
 */
export function longPrefillShare(state: SchedulerState, nowMs: number): number {
  return Math.max(MIN_SHARE, state.settings.longShare, 1 - prefillFraction(state, state.shortPrefill, nowMs));
}

/**
 * Estimates the prefill that the engine has to complete before it starts a new job: that of running jobs of the same
 * size class and of at least the same urgency, since the engine applies priorities between chunks.
 *
 * @param state - the scheduler's state
 * @param sizeClass - size class of the new job
 * @param rank - rank of the new job
 * @param nowMs - current time, in milliseconds on the side's clock
 * @returns remaining prefill, in tokens
 */
export function remainingPrefill(
  state: SchedulerState,
  sizeClass: SizeClass,
  rank: Rank,
  nowMs: number,
): number {
  const isLong = sizeClass === SizeClass.Long;
  const rate = state.speed.prefillTokensPerMs * (isLong ? longPrefillShare(state, nowMs) : 1);
  let tokens = 0;
  let sinceMs = isLong ? 0 : state.lastFirstTokenAtMs;
  for (const { job, dispatchedAtMs, firstTokenAtMs } of state.running.values()) {
    const isAhead = job.sizeClass === sizeClass && rankOrder(job.work.rank) <= rankOrder(rank);
    if (firstTokenAtMs === undefined && isAhead) {
      sinceMs = tokens === 0 ? Math.max(sinceMs, dispatchedAtMs) : sinceMs;
      tokens += job.prefillTokens;
    }
  }
  return Math.max(0, tokens - (nowMs - sinceMs) * rate);
}

function servedFractions(state: SchedulerState, nowMs: number): PerRank<number> {
  return perRank((rank) => {
    let tokens = 0;
    for (const own of state.shares[rank].accounts.values()) {
      tokens += own;
    }
    return prefillFraction(state, tokens, nowMs);
  });
}

/**
 * Estimates the fraction of the engine available to a rank: the capacity that more urgent ranks have recently left
 * unused, minus the floors of less urgent ranks with queued work, and at least the rank's own floor.
 *
 * @param state - the scheduler's state
 * @param rank - the rank
 * @param nowMs - current time, in milliseconds on the side's clock
 * @returns a fraction from 0 to 1
 */
export function rankShare(state: SchedulerState, rank: Rank, nowMs: number): number {
  const served = servedFractions(state, nowMs);
  const waiting = new Set(state.queue.map((job) => job.work.rank));
  const unavailable = RANKS.filter((other) => other !== rank).reduce((sum, other) => {
    const isMoreUrgent = rankOrder(other) < rankOrder(rank);
    const floor = waiting.has(other) ? state.settings.floors[other] : 0;
    return sum + (isMoreUrgent ? served[other] : floor);
  }, 0);
  return Math.max(MIN_SHARE, state.settings.floors[rank], 1 - unavailable);
}

/**
 * Estimates the fraction of its rank's capacity available to an account: the capacity that the other accounts have
 * recently left unused, and at least an equal share.
 *
 * @param state - the scheduler's state
 * @param rank - the rank
 * @param account - the account
 * @param share - fraction of the engine available to the rank, as returned by `rankShare`
 * @param nowMs - current time, in milliseconds on the side's clock
 * @returns a fraction from 0 to 1
 */
export function accountShare(
  state: SchedulerState,
  rank: Rank,
  account: string,
  share: number,
  nowMs: number,
): number {
  let otherTokens = 0;
  let count = 1;
  for (const [other, tokens] of state.shares[rank].accounts) {
    if (other !== account) {
      otherTokens += tokens;
      count += 1;
    }
  }
  return Math.max(1 / count, 1 - prefillFraction(state, otherTokens, nowMs) / share);
}
