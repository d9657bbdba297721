/** Connects the quarantine of an entry to its registry. */
import { type Quarantine } from '@toucanbend/quarantine';
import { RecordKind, type Registry } from '@toucanbend/registry';

/**
 * Puts quarantined parts in force that were added to the registry, and releases those that were removed.
 *
 * @param quarantine - the quarantine to change
 * @param after - the registry after a change
 * @param before - the registry before it
 */
export function applyQuarantineRecords(quarantine: Quarantine, after: Registry, before: Registry): void {
  for (const [key, record] of after.records) {
    const previous = before.records.get(key);
    if (record.kind !== RecordKind.Quarantine || record === previous) {
      continue;
    }
    if (record.value !== undefined) {
      quarantine.restore(record.value);
    } else if (previous?.kind === RecordKind.Quarantine && previous.value !== undefined) {
      quarantine.release(previous.value);
    }
  }
}
