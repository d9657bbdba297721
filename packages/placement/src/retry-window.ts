/**
 * The budget for sending requests to a second server: a share of the recent requests and an allowance.
 *
 * Answers the load pattern of a service that fails many requests: repeats must not add to what it cannot serve.
 */

/** The bound on repeats over all entries. */
export interface RetryBound {
  /** Repeats for each request. */
  readonly ratio: number;
  /** Repeats that are allowed besides, over all entries. */
  readonly allowance: number;
  readonly windowMs: number;
}

/** Requests and repeats of one service in the last window. */
export interface RetryWindow {
  /** Counts a request of a caller. */
  request(service: string, nowMs: number): void;
  /**
   * Takes one repeat out of the budget.
   *
   * @param service - service that gets the repeat
   * @param entries - how many entries share the allowance
   * @param nowMs - now
   * @returns whether the repeat is allowed; an allowed one is counted
   */
  trySpend(service: string, entries: number, nowMs: number): boolean;
}

/** Share of the budget that is used, since entries count the window from different moments. */
const USED_SHARE = 0.6;

interface Counts {
  requests: number[];
  repeats: number[];
}

function dropOld(times: number[], beforeMs: number): void {
  let old = 0;
  while (old < times.length && (times[old] ?? 0) < beforeMs) {
    old += 1;
  }
  times.splice(0, old);
}

/**
 * Creates the budget of an entry.
 *
 * @param bound - the bound over all entries
 * @returns the budget, without requests
 */
export function createRetryWindow(bound: RetryBound): RetryWindow {
  const byService = new Map<string, Counts>();
  const countsOf = (service: string, nowMs: number): Counts => {
    const counts = byService.get(service) ?? { requests: [], repeats: [] };
    byService.set(service, counts);
    dropOld(counts.requests, nowMs - bound.windowMs);
    dropOld(counts.repeats, nowMs - bound.windowMs);
    return counts;
  };
  return {
    request: (service, nowMs) => {
      countsOf(service, nowMs).requests.push(nowMs);
    },
    trySpend: (service, entries, nowMs) => {
      const counts = countsOf(service, nowMs);
      const limit =
        USED_SHARE * (bound.ratio * counts.requests.length + bound.allowance / Math.max(1, entries));
      if (counts.repeats.length + 1 > limit) {
        return false;
      }
      counts.repeats.push(nowMs);
      return true;
    },
  };
}
