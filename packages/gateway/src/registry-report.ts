/** Reports the state of the registry to the log and to operators. */
import { type Logger } from '@toucanbend/observability';
import {
  type BackendServer,
  initialPosition,
  listEntries,
  listServers,
  RecordKind,
  type Registry,
  runIdOf,
  ServerState,
} from '@toucanbend/registry';

function describeServer(server: BackendServer): Record<string, string | number> {
  const { id, service, host, port, dataCentre, state } = server;
  return { id, service, address: `${host}:${String(port)}`, dataCentre, state };
}

/**
 * Logs a new catalogue and each server whose state has changed.
 *
 * @param logger - receives one line for each change
 * @param after - the registry after the change
 * @param before - the registry before it
 */
export function logRegistryChanges(logger: Logger, after: Registry, before: Registry): void {
  const { catalogue } = after;
  if (catalogue !== before.catalogue && catalogue !== undefined) {
    const record = [...after.records.values()].find(({ value }) => value === catalogue);
    const { era, revision } = record?.position ?? initialPosition;
    logger.info('catalogue in force', {
      version: catalogue.version,
      before: before.catalogue?.version ?? 0,
      era,
      revision,
    });
  }
  for (const [key, record] of after.records) {
    const previous = before.records.get(key);
    if (record.kind !== RecordKind.Server || record === previous) {
      continue;
    }
    const stateBefore = previous?.kind === RecordKind.Server ? previous.value?.state : undefined;
    if (record.value?.state !== stateBefore) {
      logger.info('server changed', {
        ...(record.value === undefined ? { id: record.id, state: 'gone' } : describeServer(record.value)),
        before: stateBefore ?? 'unknown',
        era: record.position.era,
        revision: record.position.revision,
      });
    }
  }
}

/**
 * Lists the servers that are registered as ready for requests.
 *
 * @param registry - the registry
 * @returns the servers
 */
export function readyServers(registry: Registry): BackendServer[] {
  return listServers(registry).filter((server) => server.state === ServerState.Ready);
}

/**
 * Lists the runs of servers that a change shows to have ended: their records were removed, or replaced by those of later runs.
 *
 * @param after - the registry after the change
 * @param before - the registry before it
 * @returns the ids of the runs
 */
export function runsEnded(after: Registry, before: Registry): string[] {
  const remaining = new Set(listServers(after).map(runIdOf));
  return readyServers(before)
    .map(runIdOf)
    .filter((run) => !remaining.has(run));
}

/**
 * Describes the registry for the operators' status page.
 *
 * @param registry - the registry
 * @returns the description, which can be serialised as JSON
 */
export function describeRegistry(registry: Registry): object {
  return {
    catalogue: registry.catalogue?.version ?? 0,
    positions: registry.positions,
    servers: listServers(registry).map(describeServer),
    entries: listEntries(registry),
  };
}
