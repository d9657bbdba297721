/** Finds what the changed records of servers state about their cold periods. */
import { RecordKind, type Registry } from '@toucanbend/registry';
import { type ColdStatement } from '@toucanbend/restrictions';

/**
 * Lists the statements of the records that a change has brought.
 *
 * @param after - the registry after the change
 * @param before - the registry before it
 * @returns a statement for each changed record of a server
 */
export function coldStatements(after: Registry, before: Registry): ColdStatement[] {
  return [...after.records].flatMap(([key, record]) => {
    const previous = before.records.get(key);
    if (record === previous || record.kind !== RecordKind.Server || record.value === undefined) {
      return [];
    }
    const { position, value } = record;
    const { id, bornAtMs, service, coldMs = 0 } = value;
    const known = previous?.kind === RecordKind.Server ? previous.value : undefined;
    return [{ server: { id, bornAtMs }, service, position, coldMs, isNewRun: known?.bornAtMs !== bornAtMs }];
  });
}
