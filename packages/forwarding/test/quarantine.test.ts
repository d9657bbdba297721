/** Requests with a part of their prompts that crashes the servers. */
import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';
import { createManualClock, type ManualClock } from '@toucanbend/core';
import { paths, startTestGateway, type TestGateway } from './support/gateway.js';
import {
  answerTo,
  callAs,
  type CallerResult,
  type Script,
  type ScriptedServer,
  startScriptedServer,
} from './support/scripted-server.js';
import { passTimeUntil } from './support/time.js';

const open: { close(): void }[] = [];

afterEach(() => {
  open.splice(0).forEach((item) => {
    item.close();
  });
});

const CRASH_INTERVAL_MS = 200;
/** Longer than the delay of a decision, shorter than the caller's timeout. */
const DECIDED_MS = 600;
const SERVERS = 6;
const EVENTS = 4;

interface Deployment {
  readonly clock: ManualClock;
  readonly gateway: TestGateway;
  /** Requests with the poison part that reached a server. */
  poisonRequests(): number;
  call(parts: string): Promise<CallerResult>;
}

const HEAD = ['HTTP/1.1 200 OK', 'signature: vane-1', 'content-type: text/event-stream', 'connection: close'];
const event = (id: number): string => `id: ${String(id)}\ndata: vane\n\n`;

/**
 * Starts servers that crash when they begin an answer to a prompt with the part `poison`, and serve all others. The
 * second request fails with the status 500 in place of a crash if `failsOnce` is set.
 */
async function startDeployment(eventsBeforeCrash: number, failsOnce = false): Promise<Deployment> {
  const clock = createManualClock();
  let received = 0;
  const answer: Script = (socket, request) => {
    received += 1;
    if (failsOnce && received === 2) {
      socket.end(answerTo(request, 'broken', { status: 500 }));
      return;
    }
    const isPoison = request.headers.get('parts')?.split(',').includes('poison') === true;
    const head = [...HEAD, `request-id: ${request.headers.get('request-id') ?? ''}`].join('\r\n');
    const count = isPoison ? eventsBeforeCrash : EVENTS;
    const events = Array.from({ length: count }, (_, index) => event(index + 1)).join('');
    clock.advance(CRASH_INTERVAL_MS);
    socket.write(`${head}\r\n\r\n${events}`, () => {
      if (isPoison) {
        socket.resetAndDestroy();
      } else {
        socket.end();
      }
    });
  };
  const servers: ScriptedServer[] = await Promise.all(
    Array.from({ length: SERVERS }, () => startScriptedServer(answer)),
  );
  const gateway = await startTestGateway(
    servers.map((server) => server.port),
    { clock },
  );
  open.push(gateway, ...servers);
  let calls = 0;
  return {
    clock,
    gateway,
    poisonRequests: () =>
      servers
        .flatMap(({ received }) => received)
        .filter(({ headers }) => headers.get('parts')?.includes('poison') === true).length,
    call: (parts) => {
      calls += 1;
      const headers = { parts, 'prompt-tokens': '2000', 'request-id': `r${String(calls)}` };
      // No two requests are alike.
      const body = `prompt ${String(calls)}`;
      return passTimeUntil(clock, callAs({ port: gateway.port, path: paths.stream, headers, body }).result);
    },
  };
}

async function crashUntilDecided(deployment: Deployment): Promise<void> {
  await deployment.call('workshop,poison');
  await deployment.call('workshop,poison');
  deployment.clock.advance(DECIDED_MS);
}

describe('a part of prompts that crashes each server that begins an answer', () => {
  for (const eventsBeforeCrash of [0, 1, 2, 5]) {
    it(`reaches no further server after a few crashes, ${String(eventsBeforeCrash)} events into the answer`, async () => {
      const deployment = await startDeployment(eventsBeforeCrash);
      await crashUntilDecided(deployment);
      const before = deployment.poisonRequests();
      const rejected = await deployment.call('poison,festival');
      assert.equal(rejected.status, 503);
      assert.equal(rejected.headers['retry-after'], '600.000');
      assert.equal(JSON.parse(rejected.body).reason, 'quarantined');
      assert.equal(deployment.poisonRequests(), before);
    });
  }

  it('is not taken for a sound one because a server failed without a crash', async () => {
    const deployment = await startDeployment(0, true);
    await deployment.call('workshop,poison');
    await crashUntilDecided(deployment);
    assert.equal((await deployment.call('workshop,poison')).status, 503);
  });

  it('does not keep sound prompts with the same other parts from the servers', async () => {
    const deployment = await startDeployment(0);
    await crashUntilDecided(deployment);
    const sound = await deployment.call('workshop,festival');
    assert.equal(sound.status, 200);
    assert.ok(
      sound.body.endsWith(event(EVENTS)),
      `the whole answer arrives, not ${JSON.stringify(sound.body)}`,
    );
  });
});
