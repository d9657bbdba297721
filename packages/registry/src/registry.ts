/** The registry: a copy of what the store holds, which only moves to newer revisions. */
import { type Catalogue } from './catalogue.js';
import { type BackendServer, type EntryMember } from './member.js';

/** What a record is about. */
export enum RecordKind {
  Catalogue = 'catalogue',
  Server = 'server',
  Entry = 'entry',
}

/** The newest word on one thing; a value that is absent says that the thing is gone. */
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
    };

/** A revision of the store for each kind of record. */
export type Revisions = Readonly<Record<RecordKind, number>>;

/** Revisions before the first one. */
export const noRevisions: Revisions = {
  [RecordKind.Catalogue]: 0,
  [RecordKind.Server]: 0,
  [RecordKind.Entry]: 0,
};

/** State of the registry. */
export interface Registry {
  /** For each kind, the store's revision up to which everything is known. */
  readonly revisions: Revisions;
  readonly catalogue: Catalogue | undefined;
  readonly records: ReadonlyMap<string, RegistryRecord>;
}

/** A registry that knows nothing. */
export const emptyRegistry: Registry = { revisions: noRevisions, catalogue: undefined, records: new Map() };

/** Records of things that are gone and are still kept, so that peers can learn of them. */
const MAX_REMOVED_RECORDS = 2_000;

function keyOf(record: RegistryRecord): string {
  return `${record.kind}/${record.id}`;
}

function isNews(known: RegistryRecord | undefined, record: RegistryRecord): boolean {
  return known === undefined || record.revision > known.revision;
}

function newestCatalogue(current: Catalogue | undefined, record: RegistryRecord): Catalogue | undefined {
  if (record.kind !== RecordKind.Catalogue || record.value === undefined) {
    return current;
  }
  return current === undefined || record.value.version > current.version ? record.value : current;
}

function newestRevisions(left: Revisions, right: Partial<Revisions>): Revisions {
  const newest = (kind: RecordKind): number => Math.max(left[kind], right[kind] ?? 0);
  return {
    [RecordKind.Catalogue]: newest(RecordKind.Catalogue),
    [RecordKind.Server]: newest(RecordKind.Server),
    [RecordKind.Entry]: newest(RecordKind.Entry),
  };
}

function dropOldest(records: Map<string, RegistryRecord>): void {
  const removed = [...records].filter(([, record]) => record.value === undefined);
  const excess = removed.length - MAX_REMOVED_RECORDS;
  removed
    .sort(([, left], [, right]) => left.revision - right.revision)
    .slice(0, Math.max(0, excess))
    .forEach(([key]) => records.delete(key));
}

/**
 * Takes in records; older ones than those that are known change nothing.
 *
 * @param registry - the registry before
 * @param records - records in any order
 * @param revisions - revisions up to which everything is known afterwards
 * @returns the registry after
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
    if (isNews(merged.get(key), record)) {
      merged.set(key, record);
      catalogue = newestCatalogue(catalogue, record);
    }
  }
  dropOldest(merged);
  return { revisions: newestRevisions(registry.revisions, revisions), catalogue, records: merged };
}

/**
 * Takes in a whole listing: what it lacks is gone.
 *
 * @param registry - the registry before
 * @param kind - kind of the things that were listed
 * @param listed - everything of that kind
 * @param revision - the store's revision before the listing began
 * @returns the registry after
 */
export function mergeListing(
  registry: Registry,
  kind: RecordKind,
  listed: readonly RegistryRecord[],
  revision: number,
): Registry {
  const present = new Set(listed.map((record) => record.id));
  const gone = [...registry.records.values()]
    .filter((record) => record.kind === kind && record.value !== undefined)
    .filter((record) => !present.has(record.id) && record.revision < revision)
    .map((record) => ({ kind, id: record.id, revision }) as RegistryRecord);
  return mergeRecords(registry, [...listed, ...gone], { [kind]: revision });
}

/**
 * Gives what has changed since the revisions that another node knows.
 *
 * @param registry - the registry
 * @param known - revisions that the other node knows
 * @returns records that are newer
 */
export function recordsSince(registry: Registry, known: Revisions): RegistryRecord[] {
  return [...registry.records.values()].filter((record) => record.revision > known[record.kind]);
}

/**
 * Gives the revision of the newest record of each kind.
 *
 * @param registry - the registry
 * @returns revisions of records; 0 for a kind without records
 */
export function newestRecords(registry: Registry): Record<RecordKind, number> {
  const newest: Record<RecordKind, number> = { ...noRevisions };
  for (const { kind, revision } of registry.records.values()) {
    newest[kind] = Math.max(newest[kind], revision);
  }
  return newest;
}

/**
 * Tells whether another node has records that are newer than what is known here.
 *
 * @param known - revisions up to which everything is known here
 * @param announced - revision of the newest record of each kind at the other node
 * @returns whether to ask that node for records
 */
export function isBehind(known: Revisions, announced: Readonly<Record<string, number>>): boolean {
  return Object.values(RecordKind).some((kind) => (announced[kind] ?? 0) > known[kind]);
}

/**
 * Lists the backend servers that are registered.
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
 * Lists the entries that are registered.
 *
 * @param registry - the registry
 * @returns the entries
 */
export function listEntries(registry: Registry): EntryMember[] {
  return [...registry.records.values()].flatMap((record) =>
    record.kind === RecordKind.Entry && record.value !== undefined ? [record.value] : [],
  );
}
