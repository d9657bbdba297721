/**
 * The ready servers of a service, with the properties that stay the same as long as the registry does. Those in evacuated data
 * centres are none: they are candidates neither for a request nor for a part of a prompt.
 */
import {
  type BackendServer,
  evacuatedDataCentres,
  listServers,
  type Registry,
  ServerState,
} from '@toucanbend/registry';
import murmurhash from 'murmurhash';

/** Identity and location of the entry that plans. */
export interface PlannerSettings {
  /** Name of this entry. */
  readonly entry: string;
  readonly dataCentre: string;
  /** Round-trip time to a server in another data centre, in milliseconds. */
  readonly crossRoundTripMs: number;
}

/** A server that is ready, as seen from one entry. */
export interface ReadyServer {
  readonly server: BackendServer;
  /** Network round-trip time to the server, in milliseconds. */
  readonly roundTripMs: number;
  /**
   * A number in [0, 1) that is stable for a pair of entry and server, so that entries which decide at the same time
   * prefer different servers.
   */
  readonly affinityPenalty: number;
}

const HASH_RANGE = 0x1_0000_0000;

function viewServer(server: BackendServer, settings: PlannerSettings): ReadyServer {
  return {
    server,
    roundTripMs: server.dataCentre === settings.dataCentre ? 0 : settings.crossRoundTripMs,
    affinityPenalty: murmurhash.v3(`${settings.entry}/${server.id}`) / HASH_RANGE,
  };
}

/** Ready servers by service; a registry is never modified, so that the lists of one stay valid. */
const listsByRegistry = new WeakMap<Registry, Map<string, readonly ReadyServer[]>>();

/**
 * Returns the ready servers of a service outside evacuated data centres.
 *
 * @param registry - the registry
 * @param service - name of the service
 * @param settings - the entry that plans; the same one in all calls with one registry
 * @returns the servers in the order of the registry
 */
export function readyServers(
  registry: Registry,
  service: string,
  settings: PlannerSettings,
): readonly ReadyServer[] {
  const lists = listsByRegistry.get(registry) ?? new Map<string, readonly ReadyServer[]>();
  listsByRegistry.set(registry, lists);
  const key = `${settings.entry}/${service}`;
  const known = lists.get(key);
  if (known !== undefined) {
    return known;
  }
  const evacuated = evacuatedDataCentres(registry);
  const ready = listServers(registry)
    .filter((server) => server.service === service && server.state === ServerState.Ready)
    .filter((server) => !evacuated.has(server.dataCentre))
    .map((server) => viewServer(server, settings));
  lists.set(key, ready);
  return ready;
}
