/** Requests of several entries to servers that state a rate limit. */
import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';
import { createManualClock } from '@toucanbend/core';
import { paths } from './support/gateway.js';
import { startFleet } from './support/fleet.js';
import { answerTo, callAs, type Script, startScriptedServer } from './support/scripted-server.js';

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

describe('a server that states a rate limit', () => {
  it('gets no more requests from all entries together than it accepts, and as many as it accepts', async () => {
    const clock = createManualClock();
    const arrivals: number[] = [];
    const limited: Script = (socket, request) => {
      arrivals.push(clock.now());
      const headers = ['signature: vane-1', `limit: ${String(LIMIT_PER_SECOND)}`];
      socket.end(answerTo(request, 'a vane', { headers }));
    };
    const servers = await Promise.all([
      startScriptedServer(limited),
      startScriptedServer((socket, request) => socket.end(answerTo(request, 'a vane'))),
    ]);
    const ports = servers.map(({ port }) => port);
    const fleet = await startFleet(ENTRIES, ports, { clock });
    open.push(...servers, ...fleet);
    const startMs = clock.now();
    for (let step = 0; step < STEPS; step += 1) {
      const answers = await Promise.all(
        fleet.map(({ port }, index) => {
          const headers = { 'request-id': `r${String(step)}-${String(index)}` };
          return callAs({ port, path: paths.repeatable, headers }).result;
        }),
      );
      assert.deepEqual(
        answers.map(({ status }) => status),
        [200, 200, 200],
      );
      clock.advance(STEP_MS);
    }
    const checked = arrivals.filter((atMs) => atMs >= startMs + GRACE_MS);
    for (const fromMs of checked) {
      const inWindow = checked.filter((atMs) => atMs >= fromMs && atMs < fromMs + WINDOW_MS).length;
      assert.ok(
        inWindow <= MAX_IN_WINDOW,
        `${String(inWindow)} requests in ${String(WINDOW_MS)} ms from ${String(fromMs)} ms`,
      );
    }
    const seconds = (STEPS * STEP_MS - GRACE_MS) / 1_000;
    assert.ok(
      checked.length >= 0.8 * LIMIT_PER_SECOND * seconds,
      `${String(checked.length)} requests in ${String(seconds)} s are most of what the server accepts`,
    );
  });
});
