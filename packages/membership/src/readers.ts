/**
 * Selects the entries that watch the store for all. These readers pass changes on, and the other entries make no calls.
 *
 * Guards against many servers being replaced while many entries watch them: each change would end a watch of every
 * entry, and the store limits the calls of all entries together.
 */
import murmurhash from 'murmurhash';

/** Number of readers; if two fail at once, the third still reads changes without a pause. */
const READER_COUNT = 3;

/**
 * Returns whether an entry is a reader.
 *
 * @param name - name of the entry
 * @param others - names of the other entries that are linked and reach the store
 * @returns whether the entry is among the first ones in the order of the hashes of their names, which is the same at
 *   every entry
 */
export function isReader(name: string, others: readonly string[]): boolean {
  const own = murmurhash.v3(name);
  const ahead = others.filter((other) => {
    const hash = murmurhash.v3(other);
    return hash < own || (hash === own && other < name);
  });
  return ahead.length < READER_COUNT;
}
