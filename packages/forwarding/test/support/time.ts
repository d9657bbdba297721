/** Lets time pass on a manual clock while a test waits. */
import { type ManualClock } from '@toucanbend/core';

/**
 * Advances a clock, by one millisecond in each turn of the event loop, until a promise is settled.
 *
 * @param clock - the clock
 * @param awaited - the promise
 * @returns the value of the promise
 */
export async function passTimeUntil<Value>(clock: ManualClock, awaited: Promise<Value>): Promise<Value> {
  const state = { isSettled: false };
  const settled = awaited.finally(() => {
    state.isSettled = true;
  });
  while (!state.isSettled) {
    clock.advance(1);
    await new Promise<void>((resolve) => setImmediate(resolve));
  }
  return settled;
}
