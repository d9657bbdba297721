/**
 * The part of a cold server's limit that each entry has.
 *
 * Handles a server that has just started or is cold again while all entries have requests for it: together they must not
 * exceed a bound in any second, also if they do not hear from one another, some have just started, and all decide at the same
 * moment. Each entry has a whole number of requests per window to itself, by its rank among the registered entries for this
 * server, so that no message has to arrive in time.
 */
import murmurhash from 'murmurhash';

/** Most requests that a cold server may get in one second: its rate times `overshoot`, plus `slack`. */
export interface ColdBound {
  readonly overshoot: number;
  readonly slack: number;
}

/** An entry among all that may send to a server. */
export interface ColdRank {
  /** Number of entries before this one. */
  readonly rank: number;
  /** Number of all entries, including this one. */
  readonly entries: number;
}

/**
 * Window in which an entry sends at most its quota, in milliseconds: the second of the bound, and a margin for requests that
 * are delayed on their way, so that they arrive closer to one another than they were sent.
 */
export const COLD_WINDOW_MS = 1_100;
/**
 * Share of what the bound allows beyond the rate of the server that is given out. The rest, and one more share, are for entries
 * that are not registered at the others yet, which have a quota besides.
 */
const GIVEN_OUT_SHARE = 0.5;
const SPARE_SHARES = 1;

/**
 * Ranks an entry for a server; the order differs between servers, so that each entry has a share of some of them.
 *
 * @param entry - name of the entry
 * @param names - names of all registered entries, with or without this one
 * @param server - id of the server
 * @returns the rank
 */
export function coldRank(entry: string, names: readonly string[], server: string): ColdRank {
  const hashOf = (name: string): number => murmurhash.v3(`${name}/${server}`);
  const own = hashOf(entry);
  const others = names.filter((name) => name !== entry);
  const isBefore = (name: string): boolean => {
    const hash = hashOf(name);
    return hash < own || (hash === own && name < entry);
  };
  return { rank: others.filter(isBefore).length, entries: others.length + 1 };
}

/**
 * Returns how many requests an entry may send to a cold server within a window.
 *
 * @param perSecond - requests per second that the server accepts from all entries together
 * @param bound - the bound on the requests of one second
 * @param rank - the rank of the entry
 * @returns the number of requests, 0 if there are more entries than requests
 */
export function coldQuota(perSecond: number, bound: ColdBound, { rank, entries }: ColdRank): number {
  const most = perSecond * bound.overshoot + bound.slack;
  const givenOut = Math.floor(perSecond + GIVEN_OUT_SHARE * Math.max(0, most - perSecond));
  const total = Math.max(0, Math.min(Math.floor(most), givenOut));
  const shares = entries + SPARE_SHARES;
  return Math.floor(total / shares) + (rank < total % shares ? 1 : 0);
}
