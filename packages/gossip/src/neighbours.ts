/** Chooses the neighbours of a node: a bounded number, computed alike by all nodes with the same host list. */
import { type Host } from '@toucanbend/hosts';
import murmurhash from 'murmurhash';

/** Nodes in each data centre that watch the store and dial other data centres. */
export const WATCHERS_PER_DATA_CENTRE = 2;

/** Returns the hosts of a data centre in ring order: by hash of their names. */
function ringMembers(hosts: readonly Host[], dataCentre: string): Host[] {
  return hosts
    .filter((host) => host.dataCentre === dataCentre)
    .sort(
      (left, right) =>
        murmurhash.v3(left.name) - murmurhash.v3(right.name) || left.name.localeCompare(right.name),
    );
}

/**
 * Returns whether a node watches the store for its data centre.
 *
 * @param hosts - the host list, over all data centres
 * @param name - name of the node
 * @param dataCentre - data centre of the node
 * @returns whether the node is among the first of its ring, or the list has no host in its data centre
 */
export function isWatcher(hosts: readonly Host[], name: string, dataCentre: string): boolean {
  const watchers = ringMembers(hosts, dataCentre).slice(0, WATCHERS_PER_DATA_CENTRE);
  return watchers.length === 0 || watchers.some((host) => host.name === name);
}

/** Returns the hosts at distances 1, 2, 4, … after a node on its ring. */
function successors(ring: readonly Host[], name: string): Host[] {
  const index = ring.findIndex((host) => host.name === name);
  const result: Host[] = [];
  for (let step = 1; step < ring.length; step *= 2) {
    const host = ring[(index + step) % ring.length];
    if (host !== undefined && host.name !== name) {
      result.push(host);
    }
  }
  return result;
}

/**
 * Returns a node's neighbours: hosts of its ring at distances 1, 2, 4, …, and for a watcher one watcher in
 * each other data centre.
 *
 * @param hosts - the host list, over all data centres
 * @param name - name of the node
 * @param dataCentre - data centre of the node
 * @returns the hosts that the node dials
 */
export function neighboursOf(hosts: readonly Host[], name: string, dataCentre: string): Host[] {
  const ring = ringMembers(hosts, dataCentre);
  const localNeighbours = successors(ring, name);
  const index = ring.slice(0, WATCHERS_PER_DATA_CENTRE).findIndex((host) => host.name === name);
  if (index < 0) {
    return localNeighbours;
  }
  const otherDataCentres = [...new Set(hosts.map((host) => host.dataCentre))].filter(
    (other) => other !== dataCentre,
  );
  const remoteNeighbours = otherDataCentres.flatMap((other) => {
    const watchers = ringMembers(hosts, other).slice(0, WATCHERS_PER_DATA_CENTRE);
    return watchers[index % Math.max(1, watchers.length)] ?? [];
  });
  return [...localNeighbours, ...remoteNeighbours];
}
