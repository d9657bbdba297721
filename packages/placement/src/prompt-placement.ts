/** A way to serve a prompt, and what its delay costs. */
import { type Job, jobValue } from './job.js';

/** A way to serve a prompt. Costs are in the unit of `jobValue`. */
export interface PromptPlacement {
  /** Id of the server that gets the request. */
  readonly leader: string;
  /** Ids of the servers that prefill the other parts; empty for a single engine. */
  readonly helpers: readonly string[];
  /** Whether the helpers keep their parts in reserved memory. */
  readonly keepsParts: boolean;
  /** Prompt tokens that each engine prefills. */
  readonly partTokens: number;
  /** Predicted time from now to the first event, in milliseconds; the slowest engine decides. */
  readonly firstEventMs: number;
  /** Job value that this job is expected to lose. */
  readonly ownLoss: number;
  /** Expected loss of the other jobs on all its engines, and placement preferences. */
  readonly externalCost: number;
  /** The sum of both, and the cost of the delay, by which placements are compared. */
  readonly cost: number;
}

/** Cost of a first event at the target, as a share of value; an earlier one leaves time for another attempt. */
const DELAY_COST = 0.1;
/** The same for a long prompt on a single engine, whose prefill the parts of later prompts interrupt. */
export const INTERRUPTED_DELAY_COST = 0.3;

/**
 * Returns the cost of a predicted delay.
 *
 * @param job - the job to place
 * @param firstEventMs - predicted time from now to the first event, in milliseconds
 * @param nowMs - the current time, in milliseconds
 * @param costAtTarget - cost of a first event at the target, as a share of the job's value
 * @returns the cost, in the unit of `jobValue`
 */
export function delayCost(job: Job, firstEventMs: number, nowMs: number, costAtTarget = DELAY_COST): number {
  const elapsedMs = nowMs + firstEventMs - job.arrivedAtMs;
  return costAtTarget * Math.min(1, elapsedMs / Math.max(1, job.targetMs)) * jobValue(job);
}

/**
 * Returns the item with the lowest cost.
 *
 * @param items - items to choose from
 * @returns the first item of the lowest cost; undefined if there is none
 */
export function cheapest<Item extends { readonly cost: number }>(
  items: Iterable<Item | undefined>,
): Item | undefined {
  let best: Item | undefined;
  for (const item of items) {
    if (item !== undefined && (best === undefined || item.cost < best.cost)) {
      best = item;
    }
  }
  return best;
}
