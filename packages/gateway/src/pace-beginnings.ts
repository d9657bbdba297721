/** Finds the servers whose records show that they should be used at a reduced pace. */
import { PaceCause } from '@toucanbend/pace';
import {
  type BackendServer,
  evacuatedDataCentres,
  evacuationsChanged,
  listServers,
  RecordKind,
  type Registry,
  ServerState,
} from '@toucanbend/registry';

/** For which services servers are used at a reduced pace after they have started or recovered. */
export enum PaceMode {
  /** For those whose servers are cold after their start. */
  Automatic = 'auto',
  On = 'on',
  Off = 'off',
}

/** A server whose pace begins. */
export interface PaceBeginning {
  readonly server: BackendServer;
  readonly cause: PaceCause;
}

/**
 * Lists the servers that a change shows to have started, to have turned cold, or to be back from an evacuation. Nothing is known of the servers of the first listing, so
 * that they have full pace.
 *
 * @param after - the registry after the change
 * @param before - the registry before it
 * @returns the servers and the causes
 */
export function paceBeginnings(after: Registry, before: Registry): PaceBeginning[] {
  if (listServers(before).length === 0) {
    return [];
  }
  const returned = new Set(evacuationsChanged(after, before).ended);
  return [...after.records].flatMap(([key, record]): PaceBeginning[] => {
    const previous = before.records.get(key);
    if (record.kind !== RecordKind.Server || record.value?.state !== ServerState.Ready) {
      return [];
    }
    const { value: server } = record;
    if (record === previous) {
      return returned.has(server.dataCentre) ? [{ server, cause: PaceCause.Returned }] : [];
    }
    const known = previous?.kind === RecordKind.Server ? previous.value : undefined;
    // The record of a run that was known before may have expired; its tombstone does not tell its run.
    const isReturned = known === undefined && previous !== undefined;
    if (known?.bornAtMs !== server.bornAtMs && !isReturned) {
      return [{ server, cause: PaceCause.Started }];
    }
    const turnsCold = (server.coldMs ?? 0) > 0 && (known?.coldMs ?? 0) === 0;
    return turnsCold ? [{ server, cause: PaceCause.Cold }] : [];
  });
}

/**
 * Returns the other ready servers of the service of a server, outside evacuated data centres.
 *
 * @param registry - the registry
 * @param id - id of the server
 * @param mode - for which services there are reduced paces
 * @returns the servers; undefined if the server is unknown or its service has no reduced pace
 */
export function equalsOf(registry: Registry, id: string, mode: PaceMode): BackendServer[] | undefined {
  const record = registry.records.get(`${RecordKind.Server}/${id}`);
  const name = record?.kind === RecordKind.Server ? record.value?.service : undefined;
  const service = registry.catalogue?.services.find((declared) => declared.name === name);
  const isPaced = mode === PaceMode.On || (mode === PaceMode.Automatic && (service?.coldMs ?? 0) > 0);
  const evacuated = evacuatedDataCentres(registry);
  return service === undefined || !isPaced
    ? undefined
    : listServers(registry).filter(
        ({ service: other, state, id: otherId, dataCentre }) =>
          other === name && state === ServerState.Ready && otherId !== id && !evacuated.has(dataCentre),
      );
}
