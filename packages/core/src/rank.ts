/** The ranks of requests and their order. */

/** The rank of a request, which states its urgency. */
export enum Rank {
  Urgent = 'urgent',
  Standard = 'standard',
  Batch = 'batch',
}

/** All ranks, in order of decreasing urgency. */
export const RANKS: readonly Rank[] = [Rank.Urgent, Rank.Standard, Rank.Batch];

/**
 * Returns the position of a rank in {@link RANKS}.
 *
 * @param rank - the rank
 * @returns 0 for the most urgent rank, higher numbers for less urgent ones
 */
export function rankOrder(rank: Rank): number {
  return RANKS.indexOf(rank);
}

/** A value for each rank. */
export type PerRank<Value> = Readonly<Record<Rank, Value>>;

/**
 * Builds a record with a value for each rank.
 *
 * @param make - returns the value for a rank
 * @returns the values by rank
 */
export function perRank<Value>(make: (rank: Rank) => Value): Record<Rank, Value> {
  return {
    [Rank.Urgent]: make(Rank.Urgent),
    [Rank.Standard]: make(Rank.Standard),
    [Rank.Batch]: make(Rank.Batch),
  };
}
