/** When a draining entry ends. */
import assert from 'node:assert/strict';
import { it } from 'node:test';
import { createManualClock } from '@toucanbend/core';
import { type Logger } from '@toucanbend/observability';
import { drainRequests } from '../src/drain.js';

const GRACE_MS = 6_000;
const STEP_MS = 10;
const ignore = (): void => undefined;
const logger: Logger = { decision: ignore, info: ignore, warn: ignore, error: ignore, explain: () => [] };

/**
 * Returns when the drain ends, in milliseconds, with a number of connections that are in use at each time, and a wait until
 * the established connections are accepted.
 */
async function drainWith(busyAt: (elapsedMs: number) => number, acceptMs = 0): Promise<number> {
  const clock = createManualClock();
  const close = (): Promise<void> =>
    acceptMs === 0
      ? Promise.resolve()
      : new Promise((resolve) => {
          clock.after(acceptMs, resolve);
        });
  let isDone = false;
  const busyConnections = (): number => busyAt(clock.now());
  void drainRequests({ clock, logger, graceMs: GRACE_MS, busyConnections, close }).then(() => {
    isDone = true;
  });
  while (!isDone && clock.now() < GRACE_MS) {
    clock.advance(STEP_MS);
    await Promise.resolve();
  }
  return clock.now();
}

it('does not end while a request is in flight that arrived after the last one had ended', async () => {
  const untilMs = 4_000;
  for (let fromMs = 2_300; fromMs < 2_400; fromMs += STEP_MS) {
    const endedAtMs = await drainWith((elapsedMs) => (elapsedMs >= fromMs && elapsedMs < untilMs ? 1 : 0));
    assert.ok(endedAtMs <= fromMs || endedAtMs >= untilMs, `${String(fromMs)}: ${String(endedAtMs)}`);
  }
});

it('ends before the grace period whatever is in flight', async () => {
  const endedAtMs = await drainWith(() => 1);
  assert.ok(endedAtMs > GRACE_MS - 500 && endedAtMs < GRACE_MS, String(endedAtMs));
});

it('does not end before the established connections are accepted', async () => {
  const endedAtMs = await drainWith(() => 0, 1_000);
  assert.ok(endedAtMs >= 2_300 + 1_000, String(endedAtMs));
});
