/** Requests of several entries to a cold server, which is beside a warm one. */
import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';
import { createManualClock } from '@toucanbend/core';
import { type ColdOptions, RestrictionUpdateKind } from '@toucanbend/restrictions';
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
const STEPS = 40;
const SECOND_MS = 1_000;
const PER_SECOND = 2;
const MAX_IN_SECOND = 1.5 * PER_SECOND + 5;

/** Sends requests of several entries at once, ten times a second, to a cold server and to others that are warm. */
async function callColdServer(
  warmServers: number,
): Promise<{ readonly most: number; readonly arrivals: number; readonly statuses: ReadonlySet<number> }> {
  const clock = createManualClock();
  const names = Array.from({ length: ENTRIES }, (_, index) => `entry-${String(index + 1)}`);
  const cold: ColdOptions = {
    bound: { overshoot: 1.5, slack: 5 },
    perSecondOf: () => PER_SECOND,
    entries: () => names,
  };
  const arrivals: number[] = [];
  const coldScript: Script = (socket, request) => {
    arrivals.push(clock.now());
    socket.end(answerTo(request, 'a vane'));
  };
  const warmScript: Script = (socket, request) => socket.end(answerTo(request, 'a vane'));
  const scripts = [coldScript, ...Array.from({ length: warmServers }, () => warmScript)];
  const servers = await Promise.all(scripts.map(startScriptedServer));
  const ports = servers.map(({ port }) => port);
  const fleet = await startFleet(ENTRIES, ports, { clock, cold });
  open.push(...servers, ...fleet);
  clock.advance(10_000);
  fleet.forEach(({ receiveRestriction }) => {
    receiveRestriction({
      kind: RestrictionUpdateKind.Cold,
      server: 's0',
      bornAtMs: 0,
      service: 'vanes',
      position: { era: 1, revision: 1 },
      untilMs: clock.now() + STEPS * STEP_MS,
      isUnused: true,
    });
  });
  const statuses = new Set<number>();
  for (let step = 0; step < STEPS; step += 1) {
    const calls = fleet.map(({ port }, index) => {
      const headers = { 'request-id': `r${String(step)}-${String(index)}` };
      return callAs({ port, path: paths.repeatable, headers }).result;
    });
    (await Promise.all(calls)).forEach(({ status }) => statuses.add(status));
    clock.advance(STEP_MS);
  }
  const inSecond = (fromMs: number): number =>
    arrivals.filter((atMs) => atMs >= fromMs && atMs < fromMs + SECOND_MS).length;
  return { most: Math.max(...arrivals.map(inSecond)), arrivals: arrivals.length, statuses };
}

describe('a cold server', () => {
  it('gets as many requests as its rate and no more than its bound, and the others are rejected', async () => {
    const { most, arrivals, statuses } = await callColdServer(0);
    assert.ok(most <= MAX_IN_SECOND, `${String(most)} requests in a second`);
    assert.ok(arrivals >= (PER_SECOND * STEPS * STEP_MS) / SECOND_MS, `${String(arrivals)} in all`);
    assert.deepEqual(statuses, new Set([200, 503]));
  });

  it('leaves the requests that it may not get to a warm one', async () => {
    const { most, statuses } = await callColdServer(1);
    assert.ok(most <= MAX_IN_SECOND, `${String(most)} requests in a second`);
    assert.deepEqual(statuses, new Set([200]));
  });
});
