/** The registry: a replica of the records in the store. A record is only ever replaced by a later one. */
import { type Catalogue } from './catalogue.js';
import { type BackendServer, type EntryMember } from './member.js';
import {
  initialPositions,
  orderOf,
  type Positions,
  RecordKind,
  type RegistryRecord,
} from './registry-record.js';
import { isAfter, laterPosition, type StorePosition } from './store-position.js';

/** Immutable state of the registry. */
export interface Registry {
  /**
   * For each kind, the position up to which the records are complete; for catalogues, the order of the newest one, see
   * `orderOf`.
   */
  readonly positions: Positions;
  /**
   * For each kind, the position after which all removals are known. Those before it may have left no tombstone: a listing lacks
   * what was removed, and the oldest tombstones are dropped.
   */
  readonly removalsSince: Positions;
  readonly catalogue: Catalogue | undefined;
  readonly records: ReadonlyMap<string, RegistryRecord>;
}

/** A registry without records. */
export const emptyRegistry: Registry = {
  positions: initialPositions,
  removalsSince: initialPositions,
  catalogue: undefined,
  records: new Map(),
};

/**
 * Maximum number of tombstones, which are kept so that removals are passed on to peers. Those of evacuations, one for each data
 * centre at most, are all kept: a peer that missed one would leave a data centre unused.
 */
const MAX_TOMBSTONES = 2_000;

/**
 * Returns the key of the object that a record describes.
 *
 * @param record - the record
 * @returns its kind and id
 */
export function keyOf(record: Pick<RegistryRecord, 'kind' | 'id'>): string {
  return `${record.kind}/${record.id}`;
}

function isNewer(current: RegistryRecord | undefined, record: RegistryRecord): boolean {
  return current === undefined || isAfter(orderOf(record), orderOf(current));
}

function newestCatalogue(current: Catalogue | undefined, record: RegistryRecord): Catalogue | undefined {
  if (record.kind !== RecordKind.Catalogue || record.value === undefined) {
    return current;
  }
  return current === undefined || record.value.version > current.version ? record.value : current;
}

function laterPositions(left: Positions, right: Partial<Positions>): Positions {
  const later = (kind: RecordKind): StorePosition => laterPosition(left[kind], right[kind] ?? left[kind]);
  return {
    [RecordKind.Catalogue]: later(RecordKind.Catalogue),
    [RecordKind.Server]: later(RecordKind.Server),
    [RecordKind.Entry]: later(RecordKind.Entry),
    [RecordKind.Quarantine]: later(RecordKind.Quarantine),
    [RecordKind.Evacuation]: later(RecordKind.Evacuation),
  };
}

/**
 * Drops the oldest tombstones beyond the limit.
 *
 * @returns for each kind, the position of the newest one that was dropped
 */
function dropOldestTombstones(records: Map<string, RegistryRecord>): Partial<Positions> {
  const tombstones = [...records].filter(
    ([, { kind, value }]) => value === undefined && kind !== RecordKind.Evacuation,
  );
  const dropped: Partial<Record<RecordKind, StorePosition>> = {};
  tombstones
    .sort(([, left], [, right]) => (isAfter(left.position, right.position) ? 1 : -1))
    .slice(0, Math.max(0, tombstones.length - MAX_TOMBSTONES))
    .forEach(([key, { kind, position }]) => {
      records.delete(key);
      dropped[kind] = position;
    });
  return dropped;
}

/** Position of a catalogue, which its record alone determines: a node that lacks the record is not up to date. */
function cataloguePosition(catalogue: Catalogue | undefined): StorePosition {
  return { era: 0, revision: catalogue?.version ?? 0 };
}

/**
 * Merges records into the registry; records that are not newer than the present ones have no effect.
 *
 * @param registry - the registry, which is not modified
 * @param records - records in any order
 * @param positions - positions up to which the records are complete after the merge; ignored for catalogues
 * @param removalsSince - positions before which the records may lack tombstones, if they are listings
 * @returns the merged registry
 */
export function mergeRecords(
  registry: Registry,
  records: readonly RegistryRecord[],
  positions: Partial<Positions>,
  removalsSince: Partial<Positions> = {},
): Registry {
  const merged = new Map(registry.records);
  let catalogue = registry.catalogue;
  for (const record of records) {
    const key = keyOf(record);
    if (isNewer(merged.get(key), record)) {
      merged.set(key, record);
      catalogue = newestCatalogue(catalogue, record);
    }
  }
  const dropped = dropOldestTombstones(merged);
  return {
    positions: {
      ...laterPositions(registry.positions, positions),
      [RecordKind.Catalogue]: cataloguePosition(catalogue),
    },
    removalsSince: laterPositions(laterPositions(registry.removalsSince, removalsSince), dropped),
    catalogue,
    records: merged,
  };
}

/**
 * Completes a listing of one kind by tombstones of the older records that it lacks.
 *
 * @param registry - the registry
 * @param kind - the listed kind
 * @param listed - all records of that kind
 * @param position - the store's position before the listing began
 * @returns the listed records and the tombstones
 */
export function withTombstones(
  registry: Registry,
  kind: RecordKind,
  listed: readonly RegistryRecord[],
  position: StorePosition,
): RegistryRecord[] {
  const present = new Set(listed.map((record) => record.id));
  const tombstones = [...registry.records.values()]
    .filter((record) => record.kind === kind && record.value !== undefined)
    .filter((record) => !present.has(record.id) && isAfter(position, record.position))
    .map((record) => ({ kind, id: record.id, position }) as RegistryRecord);
  return [...listed, ...tombstones];
}

/**
 * Lists the registered backend servers.
 *
 * @param registry - the registry
 * @returns the servers
 */
export function listServers(registry: Registry): BackendServer[] {
  return [...registry.records.values()].flatMap((record) =>
    record.kind === RecordKind.Server && record.value !== undefined ? [record.value] : [],
  );
}

/**
 * Lists the registered entries.
 *
 * @param registry - the registry
 * @returns the entries
 */
export function listEntries(registry: Registry): EntryMember[] {
  return [...registry.records.values()].flatMap((record) =>
    record.kind === RecordKind.Entry && record.value !== undefined ? [record.value] : [],
  );
}
