/** Requests of an entry that a server has turned away for a time. */
import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';
import { createManualClock, type ManualClock } from '@toucanbend/core';
import { startFleet } from './support/fleet.js';
import { paths } from './support/gateway.js';
import {
  answerTo,
  callAs,
  type CallerResult,
  firstThen,
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

const BACK_OFF_MS = 2_000;

interface Deployment {
  readonly clock: ManualClock;
  readonly servers: readonly ScriptedServer[];
  call(entry: number): Promise<CallerResult>;
}

async function startDeployment(...scripts: readonly Script[]): Promise<Deployment> {
  const clock = createManualClock();
  const servers = await Promise.all(scripts.map(startScriptedServer));
  const ports = servers.map(({ port }) => port);
  const fleet = await startFleet(2, ports, { clock });
  open.push(...fleet, ...servers);
  let calls = 0;
  const call = (entry: number): Promise<CallerResult> => {
    calls += 1;
    const headers = { 'request-id': `r${String(calls)}` };
    return callAs({ port: fleet[entry]?.port ?? 0, path: paths.once, headers }).result;
  };
  return { clock, servers, call };
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
    assert.equal((await call(0)).status, 503);
    for (let leftMs = BACK_OFF_MS; leftMs > 0; leftMs -= 400) {
      const rejected = await call(0);
      assert.deepEqual([rejected.status, reasonOf(rejected)], [503, 'restricted']);
      assert.equal(rejected.headers['retry-after'], (leftMs / 1_000).toFixed(3));
      clock.advance(400);
    }
    assert.equal(received(), 1);
    assert.equal((await call(0)).status, 200);
    assert.equal(received(), 2);
  });

  it('still gets the requests of other entries', async () => {
    const { servers, call } = await startDeployment(turnsAwayFirst());
    assert.equal((await call(0)).status, 503);
    assert.equal((await call(1)).status, 200);
    assert.equal((await call(0)).status, 503);
    assert.equal(servers[0]?.received.length, 2);
  });

  it('has its first rejected caller told the same time', async () => {
    const { call } = await startDeployment(turnsAwayFirst());
    const rejected = await call(0);
    assert.equal(rejected.status, 503);
    assert.equal(rejected.headers['retry-after'], (BACK_OFF_MS / 1_000).toFixed(3));
  });
});
