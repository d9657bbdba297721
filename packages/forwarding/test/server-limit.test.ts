/** Requests of several entries to servers that state a rate limit. */
import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';
import { createManualClock, type ManualClock } from '@toucanbend/core';
import { paths, type TestGateway } from './support/gateway.js';
import { startFleet } from './support/fleet.js';
import {
  answerTo,
  callAs,
  type CallerResult,
  type Script,
  startScriptedServer,
} from './support/scripted-server.js';

const open: { close(): void }[] = [];

afterEach(() => {
  open.splice(0).forEach((item) => {
    item.close();
  });
});

const ENTRIES = 3;
const STEP_MS = 100;
const STEPS = 120;
const WINDOW_MS = 4_000;
/** Time after a server first states its limit from which the limit is checked, in milliseconds. */
const GRACE_MS = 3_000;
const LIMIT_PER_SECOND = 1;
/** The most requests that the platform accepts within a window. */
const MAX_IN_WINDOW = 1.5 * LIMIT_PER_SECOND * (WINDOW_MS / 1_000) + 5;

interface LimitedFleet {
  /** Times at which requests reached the server that states a limit. */
  readonly arrivals: readonly number[];
  readonly answers: readonly CallerResult[];
  readonly checkedSeconds: number;
}

/** Longer than a request to the tested route waits for a server. */
const WAIT_MS = 50;

/** Advances the clock each time a request waits for a server, until all requests are answered. */
async function passWaits(
  clock: ManualClock,
  fleet: readonly TestGateway[],
  whenAnswered: Promise<unknown>,
): Promise<void> {
  const waits = (): number =>
    fleet.flatMap(({ decisions }) => decisions).filter(({ fields }) => fields.decided === 'wait').length;
  let passed = waits();
  let isAnswered = false;
  void whenAnswered.then(() => {
    isAnswered = true;
  });
  for (; !isAnswered; await new Promise((resolve) => setImmediate(resolve))) {
    if (waits() > passed) {
      passed = waits();
      clock.advance(WAIT_MS);
    }
  }
}

/** Sends requests of several entries at once, ten times a second, to a server with a limit and to others without. */
async function callLimitedServer(unlimitedServers: number): Promise<LimitedFleet> {
  const clock = createManualClock();
  const startMs = clock.now();
  const arrivals: number[] = [];
  const limited: Script = (socket, request) => {
    arrivals.push(clock.now());
    const headers = ['signature: vane-1', `limit: ${String(LIMIT_PER_SECOND)}`];
    socket.end(answerTo(request, 'a vane', { headers }));
  };
  const unlimited: Script = (socket, request) => socket.end(answerTo(request, 'a vane'));
  const scripts = [limited, ...Array.from({ length: unlimitedServers }, () => unlimited)];
  const servers = await Promise.all(scripts.map(startScriptedServer));
  const ports = servers.map(({ port }) => port);
  const fleet = await startFleet(ENTRIES, ports, { clock });
  open.push(...servers, ...fleet);
  const answers: CallerResult[] = [];
  for (let step = 0; step < STEPS; step += 1) {
    const calls = fleet.map(({ port }, index) => {
      const headers = { 'request-id': `r${String(step)}-${String(index)}` };
      return callAs({ port, path: paths.repeatable, headers }).result;
    });
    const whenAnswered = Promise.all(calls);
    await passWaits(clock, fleet, whenAnswered);
    answers.push(...(await whenAnswered));
    clock.advance(STEP_MS);
  }
  return {
    arrivals: arrivals.filter((atMs) => atMs >= startMs + GRACE_MS),
    answers,
    checkedSeconds: (STEPS * STEP_MS - GRACE_MS) / 1_000,
  };
}

function assertWithinLimit({ arrivals }: LimitedFleet): void {
  for (const fromMs of arrivals) {
    const inWindow = arrivals.filter((atMs) => atMs >= fromMs && atMs < fromMs + WINDOW_MS).length;
    assert.ok(
      inWindow <= MAX_IN_WINDOW,
      `${String(inWindow)} requests in ${String(WINDOW_MS)} ms from ${String(fromMs)} ms`,
    );
  }
}

describe('a server that states a rate limit', () => {
  it('gets no more requests from all entries together than it accepts, and as many as it accepts', async () => {
    const fleet = await callLimitedServer(0);
    assertWithinLimit(fleet);
    const accepted = LIMIT_PER_SECOND * fleet.checkedSeconds;
    assert.ok(
      fleet.arrivals.length >= 0.8 * accepted,
      `${String(fleet.arrivals.length)} requests are most of the ${String(accepted)} that the server accepts`,
    );
    const rejected = fleet.answers.filter(({ status }) => status !== 200);
    assert.ok(rejected.length > 0);
    for (const { status, body, headers } of rejected) {
      assert.deepEqual([status, JSON.parse(body).reason], [503, 'restricted']);
      const retryAfterMs = Number(headers['retry-after']) * 1_000;
      assert.ok(retryAfterMs > 0 && retryAfterMs <= 3_000, `retry after ${String(retryAfterMs)} ms`);
    }
  });

  it('has its other requests served by servers without a limit', async () => {
    const fleet = await callLimitedServer(1);
    assertWithinLimit(fleet);
    assert.ok(fleet.answers.every(({ status }) => status === 200));
  });
});
