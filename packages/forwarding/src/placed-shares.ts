/** Notes where the work of a request lies, in the load book and at the other entries. */
import { type JobShare, NewsKind } from '@toucanbend/placement';
import { type Service } from '@toucanbend/registry';
import { type ForwardingContext } from './context.js';

/**
 * Notes work that is sent to servers.
 *
 * @param context - the load book and the other entries
 * @param engine - parameters of the servers; undefined for plain services
 * @param shares - the work at each server
 */
export function placeShares(
  context: Pick<ForwardingContext, 'book' | 'clock' | 'planner' | 'tell'>,
  engine: Service['engine'],
  shares: readonly JobShare[],
): void {
  const { book, clock, planner, tell } = context;
  const atMs = clock.now();
  for (const { server, job } of shares) {
    book.placed(planner.entry, server.id, engine, job, atMs);
    tell({ kind: NewsKind.Placed, server: server.id, job, atMs });
  }
}

/**
 * Notes that work has ended.
 *
 * @param context - the load book and the other entries
 * @param shares - the work at each server
 */
export function removeShares(
  context: Pick<ForwardingContext, 'book' | 'tell'>,
  shares: readonly JobShare[],
): void {
  for (const { server, job } of shares) {
    context.book.ended(server.id, job.id);
    context.tell({ kind: NewsKind.Ended, server: server.id, jobId: job.id });
  }
}
