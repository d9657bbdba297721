/** Requests of several entries while a server states in its answers that it leaves. */
import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';
import { createManualClock, type ManualClock } from '@toucanbend/core';
import { startFleet } from './support/fleet.js';
import { paths, type TestGateway } from './support/gateway.js';
import {
  answerTo,
  callAs,
  type CallerResult,
  type Script,
  type ScriptedServer,
  startScriptedServer,
} from './support/scripted-server.js';

const open: { close(): void }[] = [];

afterEach(() => {
  open.splice(0).forEach((item) => {
    item.close();
  });
});

const ENTRIES = 3;

interface Deployment {
  readonly clock: ManualClock;
  readonly fleet: readonly TestGateway[];
  readonly servers: readonly ScriptedServer[];
  call(entry: number, path: string): Promise<CallerResult>;
}

async function startDeployment(...scripts: readonly Script[]): Promise<Deployment> {
  const clock = createManualClock();
  const servers = await Promise.all(scripts.map(startScriptedServer));
  const fleet = await startFleet(
    ENTRIES,
    servers.map(({ port }) => port),
    { clock },
  );
  open.push(...fleet, ...servers);
  let calls = 0;
  const call = (entry: number, path: string): Promise<CallerResult> => {
    calls += 1;
    const headers = { 'request-id': `r${String(calls)}` };
    return callAs({ port: fleet[entry]?.port ?? 0, path, headers }).result;
  };
  return { clock, fleet, servers, call };
}

const serves: Script = (socket, request) => socket.end(answerTo(request, 'a vane'));
const leaves: Script = (socket, request) =>
  socket.end(answerTo(request, 'a vane', { headers: ['signature: vane-1', 'leaving: 1'] }));
const turnsAwayAndLeaves: Script = (socket, request) =>
  socket.end(answerTo(request, 'full', { status: 503, headers: ['not-run: 1', 'leaving: 1'] }));

describe('a server that states that it leaves', () => {
  for (const [name, script] of [
    ['a complete answer', leaves],
    ['a rejection', turnsAwayAndLeaves],
  ] as const) {
    it(`gets no further request from any entry after ${name}`, async () => {
      const { clock, servers, call } = await startDeployment(script, serves);
      for (let round = 0; round < 5; round += 1) {
        for (let entry = 0; entry < ENTRIES; entry += 1) {
          assert.equal((await call(entry, paths.once)).status, 200);
          clock.advance(1_000);
        }
      }
      assert.equal(servers[0]?.received.length, 1);
      assert.equal(servers[1]?.received.length, script === leaves ? 14 : 15);
    });
  }

  it('has its requests rejected at once if the service has no other', async () => {
    const { servers, call } = await startDeployment(leaves);
    assert.equal((await call(0, paths.once)).status, 200);
    const rejected = await call(1, paths.once);
    assert.deepEqual([rejected.status, JSON.parse(rejected.body).reason], [503, 'no_server']);
    assert.equal(servers[0]?.received.length, 1);
  });
});
