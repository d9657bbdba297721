/** Requests of several entries while a server states in its answers that it leaves. */
import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';
import { type FleetDeployment, startFleetDeployment } from './support/fleet.js';
import { paths } from './support/gateway.js';
import { answerTo, type Script } from './support/scripted-server.js';

const open: { close(): void }[] = [];

afterEach(() => {
  open.splice(0).forEach((item) => {
    item.close();
  });
});

const ENTRIES = 3;

async function startDeployment(...scripts: readonly Script[]): Promise<FleetDeployment> {
  const deployment = await startFleetDeployment(ENTRIES, ...scripts);
  open.push(deployment);
  return deployment;
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
