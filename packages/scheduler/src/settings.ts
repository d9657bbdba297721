/** Settings of a side's scheduler and their defaults. */
import { perRank, type PerRank, Rank } from '@toucanbend/core';

/** Settings of a side's scheduler. */
export interface SchedulerSettings {
  /** Capacity of the engine's KV cache, in tokens; effectively unlimited for a plain service. */
  readonly memoryTokens: number;
  /** Maximum number of requests dispatched to the backend server concurrently. */
  readonly maxRunning: number;
  /** Maximum number of requests in the side's queue. */
  readonly maxQueued: number;
  /** Uncached prompt length from which a prompt is in the long size class, in tokens. */
  readonly longPromptTokens: number;
  /** A long prompt waits while this many long prompts of at least its urgency are being prefilled. */
  readonly maxLongPrefills: number;
  /** Minimum fraction of the engine's prefill given to long prompts while they wait, from 0 to 1. */
  readonly longShare: number;
  /** Outstanding short prefill at which further short prompts wait, in milliseconds at the estimated speed. */
  readonly prefillWindowMs: number;
  /** Minimum fraction of the work given to each rank while it has queued work, from 0 to 1. */
  readonly floors: PerRank<number>;
  /** Fraction of the KV cache up to which jobs of each rank are dispatched, from 0 to 1. */
  readonly memoryShares: PerRank<number>;
  /** Cost of one generated token, expressed in prefilled tokens. */
  readonly decodeTokenCost: number;
  /** Queueing time after which memory is reserved for a long prompt, in milliseconds. */
  readonly claimAfterMs: number;
  /** Time constant of the exponential decay of served work, in milliseconds. */
  readonly shareWindowMs: number;
  /** Initial estimate of the prefill speed, in tokens per millisecond. */
  readonly initialPrefillTokensPerMs: number;
  /** Initial estimate of the time between tokens of one answer, in milliseconds. */
  readonly initialStepMs: number;
}

/** Default settings, sized for a medium-sized engine. */
export const defaultSchedulerSettings: SchedulerSettings = {
  memoryTokens: 400_000,
  maxRunning: 64,
  maxQueued: 512,
  longPromptTokens: 16_000,
  maxLongPrefills: 1,
  longShare: 0.25,
  prefillWindowMs: 60,
  floors: perRank((rank) => ({ [Rank.Urgent]: 0.5, [Rank.Standard]: 0.2, [Rank.Batch]: 0.1 })[rank]),
  memoryShares: perRank((rank) => ({ [Rank.Urgent]: 1, [Rank.Standard]: 0.95, [Rank.Batch]: 0.9 })[rank]),
  decodeTokenCost: 8,
  claimAfterMs: 1_000,
  shareWindowMs: 4_000,
  initialPrefillTokensPerMs: 20,
  initialStepMs: 25,
};
