/**
 * The retry budget for sending requests to another server: a share of the recent requests plus a fixed allowance.
 *
 * Handles a service that fails many requests: retries must not add load to an overloaded service.
 */

/** Limit on the retries of all entries together. */
export interface RetryBound {
  /** Retries allowed per request of a caller. */
  readonly ratio: number;
  /** Additional retries allowed per window, shared by all entries. */
  readonly allowance: number;
  /** Length of the sliding window, in milliseconds. */
  readonly windowMs: number;
}

/** Counts the requests and retries of each service in a sliding window. */
export interface RetryBudget {
  /** Counts a request of a caller. */
  request(service: string, nowMs: number): void;
  /**
   * Returns whether a retry would be allowed now, without counting it.
   *
   * @param service - service that would receive the retry
   * @param entries - number of entries that share the allowance
   * @param nowMs - the current time, in milliseconds
   * @returns whether the budget of the service has room for one more retry
   */
  canSpend(service: string, entries: number, nowMs: number): boolean;
  /**
   * Spends one retry of the budget.
   *
   * @param service - service that receives the retry
   * @param entries - number of entries that share the allowance
   * @param nowMs - the current time, in milliseconds
   * @returns whether the retry is allowed; only an allowed retry is counted
   */
  trySpend(service: string, entries: number, nowMs: number): boolean;
}

/** Share of the budget that may be spent, since the windows of different entries are not aligned in time. */
const SAFE_BUDGET_SHARE = 0.6;

interface Counts {
  requests: number[];
  retries: number[];
}

function dropExpired(times: number[], beforeMs: number): void {
  let expired = 0;
  while (expired < times.length && (times[expired] ?? 0) < beforeMs) {
    expired += 1;
  }
  times.splice(0, expired);
}

/**
 * Creates the retry budget of an entry.
 *
 * @param bound - limit on the retries of all entries together
 * @returns a budget without recorded requests
 */
export function createRetryBudget(bound: RetryBound): RetryBudget {
  const byService = new Map<string, Counts>();
  const countsOf = (service: string, nowMs: number): Counts => {
    const counts = byService.get(service) ?? { requests: [], retries: [] };
    byService.set(service, counts);
    dropExpired(counts.requests, nowMs - bound.windowMs);
    dropExpired(counts.retries, nowMs - bound.windowMs);
    return counts;
  };
  const canSpend = (service: string, entries: number, nowMs: number): boolean => {
    const { requests, retries } = countsOf(service, nowMs);
    const allowance = bound.allowance / Math.max(1, entries);
    return retries.length + 1 <= SAFE_BUDGET_SHARE * (bound.ratio * requests.length + allowance);
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
      countsOf(service, nowMs).retries.push(nowMs);
      return true;
    },
  };
}
