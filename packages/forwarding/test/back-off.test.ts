/** Requests of an entry that a server has turned away for a time. */
import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';
import { type FleetDeployment, startFleetDeployment } from './support/fleet.js';
import { paths } from './support/gateway.js';
import { answerTo, type CallerResult, firstThen, type Script } from './support/scripted-server.js';

const open: { close(): void }[] = [];

afterEach(() => {
  open.splice(0).forEach((item) => {
    item.close();
  });
});

const ENTRIES = 2;
const BACK_OFF_MS = 2_000;

async function startDeployment(...scripts: readonly Script[]): Promise<FleetDeployment> {
  const deployment = await startFleetDeployment(ENTRIES, ...scripts);
  open.push(deployment);
  return deployment;
}

/** Turns away the first request, and serves all others. */
const turnsAwayFirst = (): Script =>
  firstThen(
    (socket, request) => {
      const headers = ['not-run: 1', `back-off-ms: ${String(BACK_OFF_MS)}`];
      socket.end(answerTo(request, 'full', { status: 503, headers }));
    },
    (socket, request) => socket.end(answerTo(request, 'a vane')),
  );

const reasonOf = ({ body }: CallerResult): unknown => JSON.parse(body).reason;

describe('a server that turns an entry away for a time', () => {
  it('gets no request from this entry until the time has passed, and from others as before', async () => {
    const { clock, servers, call } = await startDeployment(turnsAwayFirst());
    const received = (): number | undefined => servers[0]?.received.length;
    assert.equal((await call(0, paths.once)).status, 503);
    for (let leftMs = BACK_OFF_MS; leftMs > 0; leftMs -= 400) {
      const rejected = await call(0, paths.once);
      assert.deepEqual([rejected.status, reasonOf(rejected)], [503, 'restricted']);
      assert.equal(rejected.headers['retry-after'], (leftMs / 1_000).toFixed(3));
      clock.advance(400);
    }
    assert.equal(received(), 1);
    assert.equal((await call(0, paths.once)).status, 200);
    assert.equal(received(), 2);
  });

  it('still gets the requests of other entries', async () => {
    const { servers, call } = await startDeployment(turnsAwayFirst());
    assert.equal((await call(0, paths.once)).status, 503);
    assert.equal((await call(1, paths.once)).status, 200);
    assert.equal((await call(0, paths.once)).status, 503);
    assert.equal(servers[0]?.received.length, 2);
  });

  it('has its first rejected caller told the same time', async () => {
    const { call } = await startDeployment(turnsAwayFirst());
    const rejected = await call(0, paths.once);
    assert.equal(rejected.status, 503);
    assert.equal(rejected.headers['retry-after'], (BACK_OFF_MS / 1_000).toFixed(3));
  });
});
