/** The registry: a replica of the records in the store. A record is only ever replaced by one of a newer revision. */
import { type Catalogue } from './catalogue.js';
import { type BackendServer, type EntryMember } from './member.js';
import { type QuarantinedPart } from './quarantined-part.js';

/** Kinds of records. */
export enum RecordKind {
  Catalogue = 'catalogue',
  Server = 'server',
  Entry = 'entry',
  Quarantine = 'quarantine',
}

/** The newest revision of one object; a record without a value is a tombstone of a removed object. */
export type RegistryRecord =
  | {
      readonly kind: RecordKind.Catalogue;
      readonly id: string;
      readonly revision: number;
      readonly value?: Catalogue;
    }
  | {
      readonly kind: RecordKind.Server;
      readonly id: string;
      readonly revision: number;
      readonly value?: BackendServer;
    }
  | {
      readonly kind: RecordKind.Entry;
      readonly id: string;
      readonly revision: number;
      readonly value?: EntryMember;
    }
  | {
      readonly kind: RecordKind.Quarantine;
      readonly id: string;
      readonly revision: number;
      readonly value?: QuarantinedPart;
    };

/** A revision of the store for each kind of record. */
export type Revisions = Readonly<Record<RecordKind, number>>;

/** Revisions of an empty registry, which are lower than any revision of the store. */
export const initialRevisions: Revisions = {
  [RecordKind.Catalogue]: 0,
  [RecordKind.Server]: 0,
  [RecordKind.Entry]: 0,
  [RecordKind.Quarantine]: 0,
};

/** Immutable state of the registry. */
export interface Registry {
  /** For each kind, the store's revision up to which the records are complete. */
  readonly revisions: Revisions;
  readonly catalogue: Catalogue | undefined;
  readonly records: ReadonlyMap<string, RegistryRecord>;
}

/** A registry without records. */
export const emptyRegistry: Registry = {
  revisions: initialRevisions,
  catalogue: undefined,
  records: new Map(),
};

/** Maximum number of tombstones, which are kept so that removals are passed on to peers. */
const MAX_TOMBSTONES = 2_000;

function keyOf(record: RegistryRecord): string {
  return `${record.kind}/${record.id}`;
}

function isNewer(current: RegistryRecord | undefined, record: RegistryRecord): boolean {
  return current === undefined || record.revision > current.revision;
}

function newestCatalogue(current: Catalogue | undefined, record: RegistryRecord): Catalogue | undefined {
  if (record.kind !== RecordKind.Catalogue || record.value === undefined) {
    return current;
  }
  return current === undefined || record.value.version > current.version ? record.value : current;
}

function maxRevisions(left: Revisions, right: Partial<Revisions>): Revisions {
  const newest = (kind: RecordKind): number => Math.max(left[kind], right[kind] ?? 0);
  return {
    [RecordKind.Catalogue]: newest(RecordKind.Catalogue),
    [RecordKind.Server]: newest(RecordKind.Server),
    [RecordKind.Entry]: newest(RecordKind.Entry),
    [RecordKind.Quarantine]: newest(RecordKind.Quarantine),
  };
}

function dropOldestTombstones(records: Map<string, RegistryRecord>): void {
  const tombstones = [...records].filter(([, record]) => record.value === undefined);
  const excess = tombstones.length - MAX_TOMBSTONES;
  tombstones
    .sort(([, left], [, right]) => left.revision - right.revision)
    .slice(0, Math.max(0, excess))
    .forEach(([key]) => records.delete(key));
}

/**
 * Merges records into the registry; records that are not newer than the present ones have no effect.
 *
 * @param registry - the registry, which is not modified
 * @param records - records in any order
 * @param revisions - revisions up to which the records are complete after the merge
 * @returns the merged registry
 */
export function mergeRecords(
  registry: Registry,
  records: readonly RegistryRecord[],
  revisions: Partial<Revisions>,
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
  dropOldestTombstones(merged);
  return { revisions: maxRevisions(registry.revisions, revisions), catalogue, records: merged };
}

/**
 * Merges a complete listing of one kind: older records that the listing lacks are replaced by tombstones.
 *
 * @param registry - the registry, which is not modified
 * @param kind - the listed kind
 * @param listed - all records of that kind
 * @param revision - the store's revision before the listing began
 * @returns the merged registry
 */
export function mergeListing(
  registry: Registry,
  kind: RecordKind,
  listed: readonly RegistryRecord[],
  revision: number,
): Registry {
  const present = new Set(listed.map((record) => record.id));
  const tombstones = [...registry.records.values()]
    .filter((record) => record.kind === kind && record.value !== undefined)
    .filter((record) => !present.has(record.id) && record.revision < revision)
    .map((record) => ({ kind, id: record.id, revision }) as RegistryRecord);
  return mergeRecords(registry, [...listed, ...tombstones], { [kind]: revision });
}

/**
 * Returns the records that are newer than another node's revisions, tombstones included.
 *
 * @param registry - the registry
 * @param peerRevisions - for each kind, the revision up to which the other node's records are complete
 * @returns the newer records
 */
export function recordsSince(registry: Registry, peerRevisions: Revisions): RegistryRecord[] {
  return [...registry.records.values()].filter((record) => record.revision > peerRevisions[record.kind]);
}

/**
 * Returns the revision of the newest record of each kind.
 *
 * @param registry - the registry
 * @returns the revisions; 0 for a kind without records
 */
export function newestRevisions(registry: Registry): Record<RecordKind, number> {
  const newest: Record<RecordKind, number> = { ...initialRevisions };
  for (const { kind, revision } of registry.records.values()) {
    newest[kind] = Math.max(newest[kind], revision);
  }
  return newest;
}

/**
 * Returns whether another node has announced records that are newer than this node's revisions.
 *
 * @param ownRevisions - revisions up to which this node's records are complete
 * @param announced - revision of the newest record of each kind at the other node
 * @returns whether to pull records from that node
 */
export function isBehind(ownRevisions: Revisions, announced: Readonly<Record<string, number>>): boolean {
  return Object.values(RecordKind).some((kind) => (announced[kind] ?? 0) > ownRevisions[kind]);
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
