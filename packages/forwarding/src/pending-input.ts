/**
 * Lets a process read the input that has already arrived before it acts on a request.
 *
 * Guards against an entry that is short of processor time: it reads a request long after the caller sent it, and the close
 * of the caller's connection, which may have arrived as well, only afterwards.
 */
import { type Clock } from '@toucanbend/core';

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
