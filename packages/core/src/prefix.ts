/** Hashes of prompt prefixes. The lengths of the prefixes grow geometrically. */
import { createHash } from 'node:crypto';
import { CHARACTERS_PER_TOKEN } from './request.js';

/** Length of the shortest hashed prefix, in tokens. All prefix lengths are multiples of it. */
export const PREFIX_BLOCK_TOKENS = 256;
const PREFIX_GROWTH_FACTOR = 1.25;

function nextLengthInBlocks(blocks: number): number {
  return Math.max(blocks + 1, Math.floor(blocks * PREFIX_GROWTH_FACTOR));
}

const prefixLengthsInBlocks: readonly number[] = (() => {
  const lengths: number[] = [];
  const limitBlocks = 1_000_000;
  for (let blocks = 1; blocks < limitBlocks; blocks = nextLengthInBlocks(blocks)) {
    lengths.push(blocks);
  }
  return lengths;
})();

/**
 * Returns the length of the prefix whose hash has a given index.
 *
 * @param index - index into the result of {@link prefixHashes}
 * @returns the length of that prefix in tokens; 0 if the index is out of range
 */
export function prefixTokensAt(index: number): number {
  return (prefixLengthsInBlocks[index] ?? 0) * PREFIX_BLOCK_TOKENS;
}

/**
 * Hashes prefixes of increasing length of a prompt.
 *
 * @param prompt - the prompt, encoded as UTF-8
 * @returns 32-bit hashes, the shortest prefix first; empty if the prompt is shorter than one block
 */
export function prefixHashes(prompt: Uint8Array): number[] {
  const hash = createHash('sha256');
  const hashes: number[] = [];
  let hashedBytes = 0;
  for (let index = 0; index < prefixLengthsInBlocks.length; index += 1) {
    const endBytes = prefixTokensAt(index) * CHARACTERS_PER_TOKEN;
    if (endBytes > prompt.length) {
      break;
    }
    hash.update(prompt.subarray(hashedBytes, endBytes));
    hashedBytes = endBytes;
    hashes.push(hash.copy().digest().readUInt32BE(0));
  }
  return hashes;
}
