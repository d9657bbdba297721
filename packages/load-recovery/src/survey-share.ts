/**
 * Divides the engines among the entries that start, so that together they read each engine once.
 *
 * Load pattern: all entries start in the same moment, each with little processor time, before hundreds of engines.
 */
import murmurhash from 'murmurhash';

/**
 * Selects the engines that an entry reads.
 *
 * @param engines - ids of all engines
 * @param entries - names of the registered entries, in any order; this entry may be missing
 * @param entry - name of this entry
 * @returns the ids of its engines
 */
export function engineShareOf(
  engines: readonly string[],
  entries: readonly string[],
  entry: string,
): readonly string[] {
  const ordered = [...new Set([...entries, entry])].sort();
  const own = ordered.indexOf(entry);
  return engines.filter((id) => murmurhash.v3(id) % ordered.length === own);
}
