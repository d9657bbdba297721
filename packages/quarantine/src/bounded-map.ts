/** A map that holds the entries that were set last. */

/** A map of limited size. */
export interface BoundedMap<Key, Value> {
  get(key: Key): Value | undefined;
  has(key: Key): boolean;
  /** Sets an entry, and drops the one that was not set for longest if there are too many. */
  set(key: Key, value: Value): void;
  delete(key: Key): void;
  entries(): IterableIterator<[Key, Value]>;
  values(): IterableIterator<Value>;
}

/**
 * Creates an empty map.
 *
 * @param limit - the largest number of entries
 * @returns the map
 */
export function createBoundedMap<Key, Value>(limit: number): BoundedMap<Key, Value> {
  // Its order of insertion is the order in which entries were set last.
  const map = new Map<Key, Value>();
  return {
    get: map.get.bind(map),
    has: map.has.bind(map),
    set: (key, value) => {
      map.delete(key);
      map.set(key, value);
      const [oldest] = map.size > limit ? map.keys() : [];
      if (oldest !== undefined) {
        map.delete(oldest);
      }
    },
    delete: map.delete.bind(map),
    entries: map.entries.bind(map),
    values: map.values.bind(map),
  };
}
