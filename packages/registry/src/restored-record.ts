/**
 * Recognises records of an older copy of the store, which may tell of objects that have been withdrawn since.
 *
 * Handles a store that returns with a copy some seconds old: until the servers have written their records again, the copy
 * lists servers as ready that have left, and entries and quarantined parts that were removed.
 */
import { ServerState } from './member.js';
import { RecordKind, type RegistryRecord } from './registry-record.js';

type ServerRecord = Extract<RegistryRecord, { kind: RecordKind.Server }>;

function isServerWithdrawn(known: ServerRecord, record: ServerRecord): boolean {
  if (record.value === undefined) {
    return false;
  }
  if (known.value === undefined) {
    return true;
  }
  const { bornAtMs, state } = record.value;
  const isSameRun = bornAtMs === known.value.bornAtMs;
  const hasLeft = known.value.state === ServerState.Leaving && state === ServerState.Ready;
  return bornAtMs < known.value.bornAtMs || (isSameRun && hasLeft);
}

/**
 * Returns whether a record may be older than the known one of the same object, although its era is later, and would put an
 * object back that has been withdrawn.
 *
 * @param known - the known record of the object
 * @param record - a record of a later era
 * @returns false if the record was certainly written after the known one, or withdraws the object itself
 */
export function isDoubtful(known: RegistryRecord | undefined, record: RegistryRecord): boolean {
  if (known === undefined || record.position.era <= known.position.era) {
    return false;
  }
  // A copy has no revisions beyond its own, so that a higher one than the known one was given out after it.
  if (record.position.revision > known.position.revision) {
    return false;
  }
  switch (record.kind) {
    // A data centre is rather left unused until its evacuation is removed again than used although it is evacuated.
    case RecordKind.Catalogue:
    case RecordKind.Evacuation:
      return false;
    case RecordKind.Server:
      return known.kind === record.kind && isServerWithdrawn(known, record);
    case RecordKind.Entry:
    case RecordKind.Quarantine:
      return known.value === undefined && record.value !== undefined;
  }
}
