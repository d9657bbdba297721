/**
 * Cost of a server that is used at a reduced pace.
 *
 * Handles a server that joins loaded ones: it counts as if it had fewer slots, so that the others get the requests that they
 * can take. The cost is bounded and only compares servers, so that no request waits or is rejected because of it.
 */

/** Cost of a server of the lowest pace whose slots at that pace are taken, as a share of value: that of the last slot of others. */
const PACE_COST = 0.2;

/**
 * Returns the cost of using a server.
 *
 * An idle server costs nothing more, since only its answers show its pace.
 *
 * @param share - share of its slots that its pace allows, in (0, 1]
 * @param running - number of requests that take a slot
 * @param slots - number of its slots
 * @returns the cost as a share of value, or of what stands for the value; 0 at full pace
 */
export function paceCost(share: number, running: number, slots: number): number {
  const occupancy = Math.min(1, running / Math.max(1, slots * share));
  return share >= 1 ? 0 : PACE_COST * (1 - share) * occupancy ** 2;
}
