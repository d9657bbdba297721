/** Records the placed work of a request in the load tracker, and broadcasts it to the other entries. */
import { type JobShare, LoadUpdateKind } from '@toucanbend/placement';
import { type Service } from '@toucanbend/registry';
import { type ForwardingContext } from './context.js';

/**
 * Records work that is about to be sent to servers.
 *
 * @param context - the load tracker, the restrictions of the servers and the broadcast to the other entries
 * @param engine - engine parameters of the servers; undefined for plain services
 * @param shares - the part of the work at each server
 */
export function recordPlacedShares(
  context: Pick<ForwardingContext, 'loadTracker' | 'restrictions' | 'clock' | 'planner' | 'broadcast'>,
  engine: Service['engine'],
  shares: readonly JobShare[],
): void {
  const { loadTracker, restrictions, clock, planner, broadcast } = context;
  const atMs = clock.now();
  for (const { server, job } of shares) {
    loadTracker.placed(planner.entry, server.id, engine, job, atMs);
    restrictions.countOwnRequest(server.id, atMs);
    broadcast({ kind: LoadUpdateKind.Placed, server: server.id, job, atMs });
  }
}

/**
 * Records that work has ended.
 *
 * @param context - the load tracker and the broadcast to the other entries
 * @param shares - the part of the work at each server
 */
export function recordEndedShares(
  context: Pick<ForwardingContext, 'loadTracker' | 'broadcast'>,
  shares: readonly JobShare[],
): void {
  for (const { server, job } of shares) {
    context.loadTracker.ended(server.id, job.id);
    context.broadcast({ kind: LoadUpdateKind.Ended, server: server.id, jobId: job.id });
  }
}
