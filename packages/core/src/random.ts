/** A seeded pseudo-random number generator. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** A pseudo-random number generator. */
export interface Random {
  /** Returns a number in the range [0, 1). */
  fraction(): number;
  /** Returns an integer in the range [0, `limit`). */
  below(limit: number): number;
}

const FRACTION_STEPS = 0x1_0000_0000;

/**
 * Creates a pseudo-random number generator.
 *
 * @param seed - generators with the same seed return the same sequence
 * @returns the generator
 */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  const fraction = (): number => (generator.next() >>> 0) / FRACTION_STEPS;
  return { fraction, below: (limit) => Math.floor(fraction() * limit) };
}
