/**
 * Lets a process read the input that has already arrived before it acts on a request.
 *
 * Guards against an entry that is short of processor time: it reads a request long after the caller sent it, and the close
 * of the caller's connection, which may have arrived as well, only afterwards.
 */
import { type Server } from 'node:net';
import { type Clock } from '@toucanbend/core';

/** Length of the queue of connections that Node requests of the operating system. */
const BACKLOG = 511;

function nextCheckPhase(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

/**
 * Waits until the event loop has polled all connections once.
 *
 * @param clock - measures the wait
 * @returns how long that took, in milliseconds: the delay with which this process handles its input
 */
export async function readPendingInput(clock: Clock): Promise<number> {
  const startedAtMs = clock.now();
  // The first check phase follows the poll phase that is running, the second one a poll that begins after this call.
  await nextCheckPhase();
  await nextCheckPhase();
  return clock.now() - startedAtMs;
}

/**
 * Waits until a server has accepted the connections that the operating system has queued for it. Node accepts only one of
 * them in each turn of its event loop, and resets the rest when the server is closed.
 *
 * @param server - the server, which listens
 * @param clock - measures the wait
 */
export async function acceptPendingConnections(server: Server, clock: Clock): Promise<void> {
  let accepted = 0;
  const count = (): void => {
    accepted += 1;
  };
  server.on('connection', count);
  let before: number;
  // Connections that arrive later may come without end, so that no more than a full queue is accepted.
  do {
    before = accepted;
    await readPendingInput(clock);
  } while (accepted > before && accepted < BACKLOG);
  server.off('connection', count);
}
