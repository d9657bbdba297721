/** The registry of a process: it is replaced as a whole, and who wants to know learns of each change. */
import {
  emptyRegistry,
  mergeListing,
  mergeRecords,
  type RecordKind,
  type Registry,
  type RegistryRecord,
  type Revisions,
} from '@toucanbend/registry';

/** Holds the registry of a process. */
export interface RegistryHolder {
  current(): Registry;
  merge(records: readonly RegistryRecord[], revisions: Partial<Revisions>): void;
  list(kind: RecordKind, records: readonly RegistryRecord[], revision: number): void;
  /** Adds one who learns of each change, with the registry before and after. */
  onChange(handle: (after: Registry, before: Registry) => void): void;
}

/**
 * Creates the holder of an empty registry.
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
    list: (kind, records, revision) => {
      replace(mergeListing(registry, kind, records, revision));
    },
    onChange: (handle) => {
      handlers.push(handle);
    },
  };
}
