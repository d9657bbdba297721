/** When a draining entry ends. */
import assert from 'node:assert/strict';
import { it } from 'node:test';
import { createManualClock } from '@toucanbend/core';
import { type Logger } from '@toucanbend/observability';
import { answersUntil, drainRequests } from '../src/drain.js';
import { endsListening } from '../src/listening-end.js';

const GRACE_MS = 6_000;
const STEP_MS = 10;
const ignore = (): void => undefined;
const logger: Logger = { decision: ignore, info: ignore, warn: ignore, error: ignore, explain: () => [] };

interface DrainEnd {
  readonly closedAtMs: number;
  readonly endedAtMs: number;
}

/**
 * Returns when a drain closes the port and ends, in milliseconds, with a number of connections that are in use, and of those
 * accepted so far, at each time, and a wait until the established connections are accepted.
 */
async function drain(
  busyAt: (elapsedMs: number) => number,
  acceptedBy: (elapsedMs: number) => number,
  acceptMs = 0,
): Promise<DrainEnd> {
  const clock = createManualClock();
  let closedAtMs = Number.POSITIVE_INFINITY;
  const close = (): Promise<void> => {
    closedAtMs = clock.now();
    return acceptMs === 0
      ? Promise.resolve()
      : new Promise((resolve) => {
          clock.after(acceptMs, resolve);
        });
  };
  let isDone = false;
  const busyConnections = (): number => busyAt(clock.now());
  const acceptedConnections = (): number => acceptedBy(clock.now());
  const options = { clock, logger, graceMs: GRACE_MS, busyConnections, acceptedConnections, close };
  void drainRequests(options).then(() => {
    isDone = true;
  });
  while (!isDone && clock.now() < GRACE_MS) {
    clock.advance(STEP_MS);
    await Promise.resolve();
  }
  return { closedAtMs, endedAtMs: clock.now() };
}

const drainWith = async (busyAt: (elapsedMs: number) => number, acceptMs = 0): Promise<number> =>
  (await drain(busyAt, () => 0, acceptMs)).endedAtMs;

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

it('accepts connections while the balancer still sends them since too few entries are ready', async () => {
  const connectionsEndAtMs = 3_500;
  const { closedAtMs } = await drain(
    () => 0,
    (elapsedMs) => Math.floor(Math.min(elapsedMs, connectionsEndAtMs) / 400),
  );
  assert.ok(closedAtMs > connectionsEndAtMs && closedAtMs < connectionsEndAtMs + 1_000, String(closedAtMs));
});

it('closes the port in time to answer the last requests if connections arrive without end', async () => {
  const arrivals = (elapsedMs: number): number => Math.floor(elapsedMs / 100);
  const idle = await drain(() => 0, arrivals);
  assert.ok(idle.closedAtMs >= 4_000 && idle.endedAtMs < 4_200, JSON.stringify(idle));
  const busy = await drain(() => 1, arrivals);
  assert.ok(busy.closedAtMs >= 4_000 && busy.closedAtMs < 4_600, JSON.stringify(busy));
});

it('accepts connections while it completes earlier requests', async () => {
  const completedAtMs = 3_600;
  const { closedAtMs } = await drain(
    (elapsedMs) => (elapsedMs < completedAtMs ? 1 : 0),
    () => 0,
  );
  assert.ok(closedAtMs >= completedAtMs && closedAtMs < completedAtMs + 100, String(closedAtMs));
});

// Guards against work that is broken off earlier where the grace period is shorter than the margins were made for.
it('spends no more than a sixth of a short grace period on margins', () => {
  for (let graceMs = 250; graceMs <= 30_000; graceMs += 250) {
    const leftMs = graceMs - answersUntil(0, graceMs);
    assert.ok(leftMs > 0 && leftMs < graceMs / 6, `${String(graceMs)}: ${String(leftMs)}`);
  }
});

// Guards against connections that are accepted by a process that ends before it can answer.
it('closes the port before the requests are abandoned, however short the grace period is', () => {
  for (let graceMs = 250; graceMs <= 30_000; graceMs += 250) {
    const elapsedMs = answersUntil(0, graceMs);
    assert.ok(
      endsListening({ elapsedMs, graceMs, sinceConnectionMs: 0, busyConnections: 1 }),
      String(graceMs),
    );
  }
});
