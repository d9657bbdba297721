/** Holds the current registry of a process. Each change replaces it as a whole and notifies listeners. */
import { type Clock } from '@toucanbend/core';
import { type Logger } from '@toucanbend/observability';
import {
  emptyRegistry,
  initialPosition,
  isAfter,
  isDoubtful,
  keyOf,
  mergeRecords,
  type Positions,
  type RecordBatch,
  type RecordKind,
  type Registry,
  type RegistryRecord,
} from '@toucanbend/registry';

/** Handles a merge: receives the registry after and before it, and the entry that sent the records, if one did. */
type ChangeHandler = (after: Registry, before: Registry, peer: string | undefined) => void;

/** The current registry of a process. */
export interface RegistryHolder {
  current(): Registry;
  /**
   * Merges records into the registry, see `mergeRecords`. Records that may be older than the known ones, although their
   * era is later, are merged only after a time within which their objects are written again or expire.
   *
   * @param records - the records
   * @param positions - positions up to which the records are complete after the merge
   * @param peer - name of the entry that sent the records; undefined if this entry has read them from the store
   * @param removalsSince - positions before which the records may lack tombstones, if they are listings
   */
  merge(
    records: readonly RegistryRecord[],
    positions: Partial<Positions>,
    peer?: string,
    removalsSince?: Partial<Positions>,
  ): void;
  /** Drops the records that are not merged yet and that a listing of their kind, begun after them, lacks. */
  dropMissing(kind: RecordKind, listing: RecordBatch): void;
  /**
   * Adds a listener that is called after each merge, also one that changed nothing, with the registry after and before, and the
   * name of the entry that sent the records, if they are not from the store.
   */
  onChange(handle: ChangeHandler): void;
}

/** Dependencies and settings of a holder. */
export interface RegistryHolderOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Time after which the store drops a record that its server no longer writes, in milliseconds. */
  readonly expiryMs: number;
  /** Called with each record that is not merged yet. */
  readonly onDeferred: (record: RegistryRecord) => void;
}

/** Time for the first records of a new era to arrive from the store and from other entries, in milliseconds. */
const PROPAGATION_MS = 1_000;

/** Holds a registry and the doubtful records that are not merged yet. */
class CurrentRegistry implements RegistryHolder {
  readonly #options: RegistryHolderOptions;
  readonly #handlers: ChangeHandler[] = [];
  readonly #deferred = new Map<string, RegistryRecord>();
  #registry = emptyRegistry;
  /** The latest era of any record or position. */
  #era = 0;

  constructor(options: RegistryHolderOptions) {
    this.#options = options;
  }

  current(): Registry {
    return this.#registry;
  }

  merge(
    records: readonly RegistryRecord[],
    positions: Partial<Positions>,
    peer?: string,
    removalsSince?: Partial<Positions>,
  ): void {
    this.#recordEra(records, positions);
    const certain: RegistryRecord[] = [];
    for (const record of records) {
      if (isDoubtful(this.#registry.records.get(keyOf(record)), record)) {
        this.#defer(record);
      } else {
        this.#dropSuperseded(record);
        certain.push(record);
      }
    }
    this.#replace(mergeRecords(this.#registry, certain, this.#complete(positions), removalsSince), peer);
  }

  dropMissing(kind: RecordKind, { records, position }: RecordBatch): void {
    const listed = new Set(records.map(keyOf));
    for (const [key, deferred] of this.#deferred) {
      if (deferred.kind === kind && !listed.has(key) && isAfter(position, deferred.position)) {
        this.#deferred.delete(key);
      }
    }
  }

  onChange(handle: ChangeHandler): void {
    this.#handlers.push(handle);
  }

  #replace(after: Registry, peer?: string): void {
    const before = this.#registry;
    this.#registry = after;
    this.#handlers.forEach((handle) => {
      handle(after, before, peer);
    });
  }

  /** Drops the doubtful records of earlier eras: the store no longer has the copy that they are from. */
  #recordEra(records: readonly RegistryRecord[], positions: Partial<Positions>): void {
    const stated = [...records.map((record) => record.position), ...Object.values(positions)];
    this.#era = stated.reduce((latest, { era }) => Math.max(latest, era), this.#era);
    for (const [key, { position }] of this.#deferred) {
      if (position.era < this.#era) {
        this.#deferred.delete(key);
      }
    }
  }

  /** Returns the positions without the kinds of which a record is still to be merged: other entries pull from them. */
  #complete(positions: Partial<Positions>): Partial<Positions> {
    const incomplete = new Set<string>([...this.#deferred.values()].map((record) => record.kind));
    const complete = Object.entries(positions).filter(([kind]) => !incomplete.has(kind));
    return Object.fromEntries(complete) as Partial<Record<RecordKind, Positions[RecordKind]>>;
  }

  /** Drops the deferred record of the same object, unless it is later: other entries may still send records of an earlier era. */
  #dropSuperseded(record: RegistryRecord): void {
    const key = keyOf(record);
    const deferred = this.#deferred.get(key);
    if (deferred !== undefined && !isAfter(deferred.position, record.position)) {
      this.#deferred.delete(key);
    }
  }

  #defer(record: RegistryRecord): void {
    const { clock, logger, expiryMs, onDeferred } = this.#options;
    const key = keyOf(record);
    const { era, revision } = record.position;
    const deferred = this.#deferred.get(key);
    if (deferred !== undefined && !isAfter(record.position, deferred.position)) {
      return;
    }
    this.#deferred.set(key, record);
    if (deferred?.position.era === era) {
      return;
    }
    const known = this.#registry.records.get(key)?.position ?? initialPosition;
    logger.info('record of an older copy deferred', {
      kind: record.kind,
      id: record.id,
      era,
      revision,
      knownEra: known.era,
      knownRevision: known.revision,
    });
    onDeferred(record);
    clock.after(expiryMs + PROPAGATION_MS, () => {
      const latest = this.#deferred.get(key);
      if (latest?.position.era === era) {
        this.#deferred.delete(key);
        this.#replace(mergeRecords(this.#registry, [latest], {}));
      }
    });
  }
}

/**
 * Creates a holder with an empty registry.
 *
 * @param options - dependencies and settings
 * @returns the holder
 */
export function createRegistryHolder(options: RegistryHolderOptions): RegistryHolder {
  return new CurrentRegistry(options);
}
