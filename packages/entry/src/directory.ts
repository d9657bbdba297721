/** Backend servers by model or service, filtered by the host list, leaving notices and failures seen here. */
import { type Clock, type RequestKind } from '@toucanbend/core';
import { type ConfigurationHolder, type ServerConfiguration } from '@toucanbend/configuration';
import { type HostList, HostState } from '@toucanbend/hosts';
import {
  type FailureKind,
  healthyServer,
  isAvailable,
  isEjectedAsSlow,
  recordFailure,
  recordSuccess,
  type ServerHealth,
  type CandidateServer,
} from '@toucanbend/routing';

/** A backend server with its configuration, which holds the address of its side. */
export interface KnownServer extends CandidateServer {
  readonly configuration: ServerConfiguration;
}

/** Selects the backend servers that may be probed. */
export interface Directory {
  /**
   * Returns the servers of a model or service that are not leaving; ejected ones only if all of these are
   * ejected.
   */
  serving(kind: RequestKind, target: string): KnownServer[];
  /** Returns the servers of a model or service that are not leaving and are ejected only for unanswered probes. */
  ejectedAsSlow(kind: RequestKind, target: string): KnownServer[];
  /** Returns whether any server is declared for a model or service. */
  isDeclared(kind: RequestKind, target: string): boolean;
  find(server: string): KnownServer | undefined;
  /** Records whether a host is leaving and accepts no new work. */
  markLeaving(host: string, leaving: boolean): void;
  recordFailure(server: string, kind: FailureKind): void;
  recordSuccess(server: string): void;
  /** Returns the number of servers ejected at present. */
  ejectedCount(): number;
}

/**
 * Creates the directory of an entry.
 *
 * @param holder - the configuration in force; the index of servers is rebuilt when it changes
 * @param hosts - the platform's host list
 * @param clock - times ejections
 * @returns the directory
 */
export function createDirectory(holder: ConfigurationHolder, hosts: HostList, clock: Clock): Directory {
  const health = new Map<string, ServerHealth>();
  const leaving = new Set<string>();
  let regions = new Map<string, string>();
  let byTarget = new Map<string, KnownServer[]>();
  let byName = new Map<string, KnownServer>();

  const rebuild = (): void => {
    const document = holder.current();
    regions = new Map(document.dataCentres.map((item) => [item.name, item.region]));
    const servers = document.servers.map((configuration) => ({
      name: configuration.name,
      dataCentre: configuration.dataCentre,
      region: regions.get(configuration.dataCentre) ?? '',
      configuration,
    }));
    byName = new Map(servers.map((server) => [server.name, server]));
    byTarget = new Map();
    for (const server of servers) {
      for (const target of server.configuration.serves) {
        const key = `${server.configuration.kind}/${target}`;
        byTarget.set(key, [...(byTarget.get(key) ?? []), server]);
      }
    }
  };
  holder.onChange(rebuild);
  rebuild();

  const isLeaving = (host: string): boolean =>
    leaving.has(host) || hosts.find(host)?.state === HostState.Leaving;

  const healthOf = (server: string): ServerHealth => health.get(server) ?? healthyServer;

  const notLeaving = (kind: RequestKind, target: string): KnownServer[] =>
    (byTarget.get(`${kind}/${target}`) ?? []).filter((server) => !isLeaving(server.configuration.host));

  return {
    isDeclared: (kind, target) => byTarget.has(`${kind}/${target}`),
    serving: (kind, target) => {
      const servers = notLeaving(kind, target);
      const available = servers.filter((server) => isAvailable(healthOf(server.name), clock.now()));
      return available.length > 0 ? available : servers;
    },
    ejectedAsSlow: (kind, target) =>
      notLeaving(kind, target).filter((server) => isEjectedAsSlow(healthOf(server.name), clock.now())),
    find: (server) => byName.get(server),
    markLeaving: (host, isHostLeaving) => {
      if (isHostLeaving) {
        leaving.add(host);
      } else {
        leaving.delete(host);
      }
    },
    recordFailure: (server, kind) => {
      health.set(server, recordFailure(healthOf(server), clock.now(), kind));
    },
    recordSuccess: (server) => {
      if (health.has(server)) {
        health.set(server, recordSuccess(healthOf(server)));
      }
    },
    ejectedCount: () => [...health.values()].filter((item) => !isAvailable(item, clock.now())).length,
  };
}
