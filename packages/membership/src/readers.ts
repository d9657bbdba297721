/**
 * Which entries read the store for all: what they learn they pass on, and the others make no calls.
 *
 * Answers the load pattern of many servers that are replaced while many entries watch them: each change would end a
 * watch of every entry, and calls to the store are limited for all of them together.
 */
import murmurhash from 'murmurhash';

/** Readers at a time; the loss of two at once is noticed by the third without a pause. */
const READERS = 3;

/**
 * Tells whether an entry reads the store for others.
 *
 * @param name - the entry
 * @param others - other entries that are linked and reach the store
 * @returns whether it is among the first ones by a hash of their names, which every entry finds alike
 */
export function isReader(name: string, others: readonly string[]): boolean {
  const own = murmurhash.v3(name);
  const ahead = others.filter((other) => {
    const hash = murmurhash.v3(other);
    return hash < own || (hash === own && other < name);
  });
  return ahead.length < READERS;
}
