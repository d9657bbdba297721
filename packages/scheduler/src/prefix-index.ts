/** Estimate of the contents of the engine's prefix cache, as an LRU index. */
import { prefixTokensAt } from '@toucanbend/core';

/** Token counts by prefix hash, least recently used first; each counts the tokens beyond the next shorter prefix. */
export type PrefixIndex = ReadonlyMap<number, number>;

/**
 * Returns the length of the longest prefix of a prompt that is in the index.
 *
 * @param index - the index
 * @param prefix - hashes of the prompt's prefixes, shortest first
 * @returns length of that prefix, in tokens; 0 if no prefix is indexed
 */
export function cachedTokens(index: PrefixIndex, prefix: readonly number[]): number {
  for (let place = prefix.length - 1; place >= 0; place -= 1) {
    const hash = prefix[place];
    if (hash !== undefined && index.has(hash)) {
      return prefixTokensAt(place);
    }
  }
  return 0;
}

/**
 * Records the prefill of a prompt and evicts the least recently used prefixes beyond the capacity.
 *
 * @param index - the index, which is not changed
 * @param prefix - hashes of the prompt's prefixes, shortest first
 * @param capacityTokens - capacity of the cache, in tokens
 * @returns the updated index, with the prompt's prefixes as the most recently used
 */
export function recordPrefix(
  index: PrefixIndex,
  prefix: readonly number[],
  capacityTokens: number,
): PrefixIndex {
  const next = new Map(index);
  for (const [place, hash] of prefix.entries()) {
    next.delete(hash);
    next.set(hash, prefixTokensAt(place) - (place === 0 ? 0 : prefixTokensAt(place - 1)));
  }
  let total = 0;
  for (const tokens of next.values()) {
    total += tokens;
  }
  for (const [hash, tokens] of next) {
    if (total <= capacityTokens) {
      break;
    }
    next.delete(hash);
    total -= tokens;
  }
  return next;
}
