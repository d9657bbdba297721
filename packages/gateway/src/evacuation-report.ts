/** Reports evacuations of data centres to the log, and describes them for operators. */
import { type Logger } from '@toucanbend/observability';
import {
  evacuatedDataCentres,
  evacuationsChanged,
  initialPosition,
  keyOf,
  listEntries,
  listServers,
  RecordKind,
  type Registry,
  type StorePosition,
} from '@toucanbend/registry';

/** Reports evacuations to the log. */
export interface EvacuationReport {
  /**
   * Logs the evacuations that a change has begun or ended, and once each evacuation of an unknown data centre.
   *
   * @param after - the registry after the change
   * @param before - the registry before it
   * @param peer - the entry that sent the change; undefined if this entry has read it from the store
   */
  changed(after: Registry, before: Registry, peer: string | undefined): void;
}

/** An evacuated data centre, for the status page. */
export interface DescribedEvacuation {
  readonly dataCentre: string;
  /** Number of servers that are registered there, and get nothing. */
  readonly servers: number;
  readonly position: StorePosition;
}

function positionOf(registry: Registry, dataCentre: string): StorePosition {
  const key = keyOf({ kind: RecordKind.Evacuation, id: dataCentre });
  return registry.records.get(key)?.position ?? initialPosition;
}

/**
 * Describes the evacuated data centres.
 *
 * @param registry - the registry
 * @returns the data centres in the order of their names
 */
export function describeEvacuations(registry: Registry): DescribedEvacuation[] {
  const servers = listServers(registry);
  return [...evacuatedDataCentres(registry)].sort().map((dataCentre) => ({
    dataCentre,
    servers: servers.filter((server) => server.dataCentre === dataCentre).length,
    position: positionOf(registry, dataCentre),
  }));
}

/**
 * Creates the report.
 *
 * @param logger - receives a line for each change
 * @returns the report
 */
export function createEvacuationReport(logger: Logger): EvacuationReport {
  const reportedUnknown = new Set<string>();
  const reportUnknown = (registry: Registry): void => {
    const servers = listServers(registry);
    // Before the first server is known, every data centre is unknown.
    if (servers.length === 0) {
      return;
    }
    const known = new Set([...servers, ...listEntries(registry)].map(({ dataCentre }) => dataCentre));
    for (const dataCentre of evacuatedDataCentres(registry)) {
      if (!known.has(dataCentre) && !reportedUnknown.has(dataCentre)) {
        reportedUnknown.add(dataCentre);
        logger.warn('evacuated data centre has no server or entry', { dataCentre });
      }
    }
  };
  return {
    changed: (after, before, peer) => {
      const { begun, ended } = evacuationsChanged(after, before);
      const source = peer ?? 'store';
      for (const dataCentre of begun) {
        logger.info('evacuation begun', { dataCentre, ...positionOf(after, dataCentre), source });
      }
      for (const dataCentre of ended) {
        reportedUnknown.delete(dataCentre);
        logger.info('evacuation ended', { dataCentre, ...positionOf(after, dataCentre), source });
      }
      if (evacuatedDataCentres(after).size > 0) {
        reportUnknown(after);
      }
    },
  };
}
