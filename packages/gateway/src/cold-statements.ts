/** Finds what the changed records of servers state about their cold periods. */
import { type RegistryHolder } from '@toucanbend/membership';
import { listEntries, RecordKind, type Registry } from '@toucanbend/registry';
import { type ColdBound, type ColdOptions, type ColdStatement } from '@toucanbend/restrictions';

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

/**
 * Returns what the bound on the requests of cold servers depends on.
 *
 * @param bound - the bound
 * @param holder - holds the registry with the services and the entries
 * @returns the options
 */
export function coldOptions(bound: ColdBound, holder: Pick<RegistryHolder, 'current'>): ColdOptions {
  return {
    bound,
    perSecondOf: (name) =>
      holder.current().catalogue?.services.find((service) => service.name === name)?.coldPerSecond ?? 0,
    entries: () => listEntries(holder.current()).map(({ name }) => name),
  };
}
