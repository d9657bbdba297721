/**
 * Positions in the history of the store. A store that returns with an older copy begins a new era, in which it gives out
 * revisions again, so that revisions can be compared only within an era.
 */

/** A revision of the store in one of its eras. */
export interface StorePosition {
  readonly era: number;
  readonly revision: number;
}

/** The position before any record. */
export const initialPosition: StorePosition = { era: 0, revision: 0 };

/**
 * Compares two positions.
 *
 * @param left - a position
 * @param right - another position
 * @returns whether `left` is after `right`; every position of an era is after those of the eras before
 */
export function isAfter(left: StorePosition, right: StorePosition): boolean {
  return left.era === right.era ? left.revision > right.revision : left.era > right.era;
}

/**
 * Returns the later one of two positions.
 *
 * @param left - a position
 * @param right - another position
 * @returns the later position
 */
export function laterPosition(left: StorePosition, right: StorePosition): StorePosition {
  return isAfter(right, left) ? right : left;
}
