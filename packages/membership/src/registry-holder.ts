/** Holds the current registry of a process. Each change replaces it as a whole and notifies listeners. */
import {
  emptyRegistry,
  mergeListing,
  mergeRecords,
  type RecordKind,
  type Registry,
  type RegistryRecord,
  type Revisions,
} from '@toucanbend/registry';

/** The current registry of a process. */
export interface RegistryHolder {
  current(): Registry;
  /** Merges records into the registry, see `mergeRecords`. */
  merge(records: readonly RegistryRecord[], revisions: Partial<Revisions>): void;
  /** Merges a complete listing of a kind into the registry, see `mergeListing`. */
  applyListing(kind: RecordKind, records: readonly RegistryRecord[], revision: number): void;
  /** Adds a listener that is called after each merge, also one that changed nothing, with the registry after and before. */
  onChange(handle: (after: Registry, before: Registry) => void): void;
}

/**
 * Creates a holder with an empty registry.
 *
 * @returns the holder
 */
export function createRegistryHolder(): RegistryHolder {
  let registry = emptyRegistry;
  const handlers: ((after: Registry, before: Registry) => void)[] = [];
  const replace = (after: Registry): void => {
    const before = registry;
    registry = after;
    handlers.forEach((handle) => {
      handle(after, before);
    });
  };
  return {
    current: () => registry,
    merge: (records, revisions) => {
      replace(mergeRecords(registry, records, revisions));
    },
    applyListing: (kind, records, revision) => {
      replace(mergeListing(registry, kind, records, revision));
    },
    onChange: (handle) => {
      handlers.push(handle);
    },
  };
}
