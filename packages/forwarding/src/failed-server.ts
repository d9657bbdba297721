/** Records which server a failed attempt is due to, so that no other attempt meets it again. */
import { type Helper, LoadUpdateKind } from '@toucanbend/placement';
import { type BackendServer } from '@toucanbend/registry';
import { AttemptFailure, type AttemptFault } from './attempt.js';
import { type ForwardingContext } from './context.js';

function findHelper(helpers: readonly Helper[], address: string | undefined): BackendServer | undefined {
  return helpers.find(({ server }) => `${server.host}:${String(server.port)}` === address)?.server;
}

/**
 * Records the failure of a server in the load tracker and broadcasts it, unless the server itself only rejected the
 * request. A helper that an answer names is at fault in place of the server that answers.
 *
 * @param context - the load tracker, the paces, the clock and the broadcast to the other entries
 * @param server - the server that got the request
 * @param helpers - the servers that were to prefill parts of the prompt
 * @param fault - why the attempt failed
 * @param sentAtMs - when the attempt was sent, in milliseconds
 * @returns the server at fault, to which the request must not be sent again
 */
export function recordFailedServer(
  context: Pick<ForwardingContext, 'loadTracker' | 'clock' | 'broadcast' | 'paces'>,
  server: BackendServer,
  helpers: readonly Helper[],
  fault: AttemptFault,
  sentAtMs: number,
): BackendServer {
  const faultyHelper = findHelper(helpers, fault.faultyAddress);
  const failed = faultyHelper ?? server;
  if (faultyHelper !== undefined || fault.failure !== AttemptFailure.NotRun) {
    context.loadTracker.failed(failed.id, context.clock.now());
    context.broadcast({ kind: LoadUpdateKind.Failed, server: failed.id });
    context.paces?.failed(failed, sentAtMs);
  } else {
    context.paces?.refused(failed, sentAtMs);
  }
  return failed;
}
