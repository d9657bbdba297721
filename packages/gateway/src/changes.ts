/** What an entry knows of the fleet, for the log and for operators. */
import { type Logger } from '@toucanbend/observability';
import {
  type BackendServer,
  listEntries,
  listServers,
  RecordKind,
  type Registry,
  ServerState,
} from '@toucanbend/registry';

function describeServer(server: BackendServer): Record<string, string | number> {
  const { id, service, host, port, dataCentre, state } = server;
  return { id, service, address: `${host}:${String(port)}`, dataCentre, state };
}

/**
 * Logs what has changed in the registry.
 *
 * @param logger - takes the lines
 * @param after - the registry after the change
 * @param before - the registry before it
 */
export function logChanges(logger: Logger, after: Registry, before: Registry): void {
  if (after.catalogue !== before.catalogue && after.catalogue !== undefined) {
    logger.info('catalogue in force', {
      version: after.catalogue.version,
      before: before.catalogue?.version ?? 0,
      revision: after.revisions[RecordKind.Catalogue],
    });
  }
  for (const [key, record] of after.records) {
    const known = before.records.get(key);
    if (record.kind !== RecordKind.Server || record === known) {
      continue;
    }
    const stateBefore = known?.kind === RecordKind.Server ? known.value?.state : undefined;
    if (record.value?.state !== stateBefore) {
      logger.info('server changed', {
        ...(record.value === undefined ? { id: record.id, state: 'gone' } : describeServer(record.value)),
        before: stateBefore ?? 'unknown',
        revision: record.revision,
      });
    }
  }
}

/**
 * Lists the servers that take requests by their registrations.
 *
 * @param registry - the registry
 * @returns the servers
 */
export function readyServers(registry: Registry): BackendServer[] {
  return listServers(registry).filter((server) => server.state === ServerState.Ready);
}

/**
 * Describes what is known.
 *
 * @param registry - the registry
 * @returns the state as a value that can be written as JSON
 */
export function statusOf(registry: Registry): object {
  return {
    catalogue: registry.catalogue?.version ?? 0,
    revisions: registry.revisions,
    servers: listServers(registry).map(describeServer),
    entries: listEntries(registry),
  };
}
