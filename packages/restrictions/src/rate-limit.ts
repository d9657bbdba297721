/**
 * The rate limit of a backend server, as each entry applies it to the requests of all entries.
 *
 * Handles a server that needs relief: the entries share what it still accepts, without asking one another before each
 * request. Every request moves the time up to which the limit is used; entries that decide at the same moment may exceed
 * the limit by a request each, which delays the following ones.
 */

/** A rate limit, and how much of it is used. */
export interface RateLimit {
  /** Requests per second from all entries together. */
  readonly perSecond: number;
  /** Time up to which the known requests use the limit, in milliseconds. */
  readonly usedUntilMs: number;
  /** Time up to which they use the part of the limit that the linked entries have, in milliseconds. */
  readonly partUsedUntilMs: number;
}

/**
 * The lowest rate at which a server gets requests, in requests per second, also if it states a lower limit or zero: the
 * end of a limit shows only in the answer to a request.
 */
export const MIN_PER_SECOND = 0.1;
/** Requests of this time may be sent at once after a pause, in milliseconds: limits are stated in requests per second. */
const BURST_MS = 1_000;
/**
 * Time that an update takes to reach the other entries, in milliseconds, including the time for which updates are
 * collected. Entries take turns at this interval.
 */
const UPDATE_DELAY_MS = 10;
/**
 * Limit on the excess that delays later requests, in milliseconds of use and in requests. What the entries send before they
 * know of a limit would otherwise leave the server unused for long after.
 */
const MAX_EXCESS_MS = 4_000;
const MAX_EXCESS_REQUESTS = 2;
/** Share of the interval between two requests within which the turns of all entries come. */
const MAX_TURNS_SHARE = 0.5;
const MILLISECONDS_PER_SECOND = 1_000;

/** The part of a limit that the entries linked to this one have, and how many entries there are. */
export interface LimitShare {
  /** Share of the limit, in (0, 1]; below 1 while entries are cut off from this one. */
  readonly fraction: number;
  /** Number of entries that share the limit. */
  readonly entries: number;
}

/** Returns the time for which one request uses a limit, or a fraction of it, in milliseconds. */
function intervalMs(perSecond: number, fraction: number): number {
  return MILLISECONDS_PER_SECOND / (Math.max(MIN_PER_SECOND, perSecond) * fraction);
}

/**
 * Creates a limit of which nothing is used.
 *
 * @param perSecond - requests per second from all entries together
 * @param nowMs - the current time, in milliseconds
 * @returns the limit
 */
export function newLimit(perSecond: number, nowMs: number): RateLimit {
  return { perSecond, usedUntilMs: nowMs, partUsedUntilMs: nowMs };
}

/**
 * Counts a request.
 *
 * @param limit - the limit before the request
 * @param share - the part of the limit that the linked entries have
 * @param atMs - time at which the request was sent, in milliseconds
 * @returns the limit after the request
 */
export function countRequest(limit: RateLimit, share: LimitShare, atMs: number): RateLimit {
  const { perSecond, usedUntilMs, partUsedUntilMs } = limit;
  const use = (untilMs: number, requestMs: number): number => {
    const maxUntilMs = atMs + Math.max(MAX_EXCESS_MS, MAX_EXCESS_REQUESTS * requestMs);
    return Math.max(untilMs, Math.min(maxUntilMs, Math.max(untilMs, atMs) + requestMs));
  };
  return {
    perSecond,
    usedUntilMs: use(usedUntilMs, intervalMs(perSecond, 1)),
    partUsedUntilMs: use(partUsedUntilMs, intervalMs(perSecond, share.fraction)),
  };
}

/**
 * Changes the rate of a limit; what is used of it stays the same number of requests.
 *
 * @param limit - the limit
 * @param perSecond - its new rate, in requests per second
 * @param nowMs - the current time, in milliseconds
 * @returns the changed limit
 */
export function changeRate(limit: RateLimit, perSecond: number, nowMs: number): RateLimit {
  const factor = intervalMs(perSecond, 1) / intervalMs(limit.perSecond, 1);
  const rescale = (untilMs: number): number => nowMs + Math.max(0, untilMs - nowMs) * factor;
  return {
    perSecond,
    usedUntilMs: rescale(limit.usedUntilMs),
    partUsedUntilMs: rescale(limit.partUsedUntilMs),
  };
}

/**
 * Returns the time from which an entry may send the next request.
 *
 * @param limit - the limit
 * @param share - the part of the limit that the linked entries have
 * @param turn - the turn of this entry for this request, in [0, 1)
 * @returns the time, in milliseconds
 */
export function nextRequestAtMs(limit: RateLimit, share: LimitShare, turn: number): number {
  const { perSecond, usedUntilMs, partUsedUntilMs } = limit;
  const { fraction, entries } = share;
  const untilMs = fraction < 1 ? Math.max(usedUntilMs, partUsedUntilMs) : usedUntilMs;
  const turnsMs = Math.min(MAX_TURNS_SHARE * intervalMs(perSecond, 1), UPDATE_DELAY_MS * (entries - 1));
  return untilMs - BURST_MS + turn * turnsMs;
}
