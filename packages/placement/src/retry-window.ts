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
   * Tells whether a repeat would be allowed now.
   *
   * @param service - service that would get the repeat
   * @param entries - how many entries share the allowance
   * @param nowMs - now
   * @returns whether the budget has room for it
   */
  canSpend(service: string, entries: number, nowMs: number): boolean;
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
  const canSpend = (service: string, entries: number, nowMs: number): boolean => {
    const { requests, repeats } = countsOf(service, nowMs);
    const allowance = bound.allowance / Math.max(1, entries);
    return repeats.length + 1 <= USED_SHARE * (bound.ratio * requests.length + allowance);
  };
  return {
    request: (service, nowMs) => {
      countsOf(service, nowMs).requests.push(nowMs);
    },
    canSpend,
    trySpend: (service, entries, nowMs) => {
      if (!canSpend(service, entries, nowMs)) {
        return false;
      }
      countsOf(service, nowMs).repeats.push(nowMs);
      return true;
    },
  };
}
