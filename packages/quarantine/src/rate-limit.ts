/** A limit on how often something happens. */
import { type Clock } from '@toucanbend/core';

/** A limit on how often something happens. */
export interface RateLimit {
  /** Counts one occurrence; returns whether it is within the limit. */
  tryTake(): boolean;
}

const WINDOW_MS = 1_000;

/**
 * Creates a limit.
 *
 * @param clock - measures the seconds
 * @param perSecond - the number of occurrences that are allowed in each second
 * @returns the limit
 */
export function createRateLimit(clock: Pick<Clock, 'now'>, perSecond: number): RateLimit {
  let startedAtMs = Number.NEGATIVE_INFINITY;
  let count = 0;
  return {
    tryTake: () => {
      if (clock.now() - startedAtMs >= WINDOW_MS) {
        startedAtMs = clock.now();
        count = 0;
      }
      count += 1;
      return count <= perSecond;
    },
  };
}
