/** One request that crashes each server that runs it, and that its caller sends again and again. */
import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';
import { createManualClock, type ManualClock } from '@toucanbend/core';
import { paths, startTestGateway, type TestGateway } from './support/gateway.js';
import {
  answerTo,
  callAs,
  type CallerOptions,
  type CallerResult,
  type ReceivedRequest,
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

const SERVERS = 12;
/** Time between two calls, longer than the time within which crashes count as one. */
const CALL_INTERVAL_MS = 150;
/** Time from the start of a run to its crash. */
const RUN_MS = 60;
/** Longer than the delay of a decision. */
const DECIDED_MS = 600;
const CRASHING_BODY = 'crashes';
const PROMPT = { 'prompt-tokens': '2000', parts: 'workshop,festival' };

type Call = Pick<CallerOptions, 'path'> & Partial<CallerOptions>;

interface Deployment {
  readonly clock: ManualClock;
  readonly gateway: TestGateway;
  readonly received: () => readonly ReceivedRequest[];
  /** Sends a request with an id of its own. */
  call(call: Call): Promise<CallerResult>;
  /** Lets the next servers that run a request crash, whatever the request. */
  crashNext(count: number): void;
}

/** Starts servers that each end when they run a request with the crashing body, and answer all others. */
async function startDeployment(keepsIds = false): Promise<Deployment> {
  const clock = createManualClock();
  let crashesLeft = 0;
  const servers: ScriptedServer[] = [];
  for (let index = 0; index < SERVERS; index += 1) {
    const server = await startScriptedServer((socket, request) => {
      if (request.body !== CRASHING_BODY && crashesLeft === 0) {
        socket.end(answerTo(request, 'id: 1\ndata: vane\n\n'));
        return;
      }
      crashesLeft = Math.max(0, crashesLeft - 1);
      clock.advance(RUN_MS);
      socket.resetAndDestroy();
      gateway.restartServer(server.port, keepsIds);
    });
    servers.push(server);
  }
  const gateway = await startTestGateway(
    servers.map((server) => server.port),
    { clock },
  );
  open.push(gateway, ...servers);
  let calls = 0;
  return {
    clock,
    gateway,
    received: () => servers.flatMap(({ received }) => received),
    call: ({ headers, ...options }) => {
      calls += 1;
      clock.advance(CALL_INTERVAL_MS);
      const lesser = { 'request-id': `r${String(calls)}`, 'user-agent': `sdk ${String(calls)}` };
      const { result } = callAs({ port: gateway.port, ...options, headers: { ...headers, ...lesser } });
      return passTimeUntil(clock, result);
    },
    crashNext: (count) => {
      crashesLeft = count;
    },
  };
}

const reasonOf = ({ body }: CallerResult): string => String(JSON.parse(body).reason);

/** Sends a request until it has crashed three servers, and waits for the decision. */
async function crashThreeServers({ call, clock, received }: Deployment, crashing: Call): Promise<void> {
  for (let calls = 0; calls < 3 && received().length < 3; calls += 1) {
    await call(crashing);
  }
  clock.advance(DECIDED_MS);
}

describe('a request that crashes each server that runs it', () => {
  const kinds: Readonly<Record<string, Call>> = {
    'an idempotent call': { path: paths.repeatable, body: CRASHING_BODY },
    'a call that runs once': { path: paths.once, body: CRASHING_BODY },
    'a stream': { path: paths.stream, body: CRASHING_BODY, headers: PROMPT },
    'a body in chunks': {
      path: paths.repeatable,
      body: CRASHING_BODY,
      headers: { 'transfer-encoding': 'chunked' },
    },
  };
  for (const [name, crashing] of Object.entries(kinds)) {
    it(`reaches no further server after the third crash: ${name}`, async () => {
      const deployment = await startDeployment();
      await crashThreeServers(deployment, crashing);
      const before = deployment.received().length;
      const rejected = await deployment.call({ ...crashing, body: CRASHING_BODY });
      assert.equal(rejected.status, 503);
      assert.equal(reasonOf(rejected), 'quarantined');
      assert.equal(deployment.received().length, before);
    });
  }

  it('reaches no further server after the third crash, though its servers return under their ids and answer', async () => {
    const deployment = await startDeployment(true);
    const crashing = { path: paths.once, body: CRASHING_BODY };
    for (let crashes = 0; crashes < 3; crashes += 1) {
      assert.equal((await deployment.call(crashing)).status, 502);
      for (let calls = 0; calls < SERVERS; calls += 1) {
        const sound = { path: paths.repeatable, body: `sound ${String(crashes)} ${String(calls)}` };
        assert.equal((await deployment.call(sound)).status, 200);
      }
    }
    deployment.clock.advance(DECIDED_MS);
    assert.equal((await deployment.call(crashing)).status, 503);
  });

  it('is recognised by its body whatever the framing', async () => {
    const deployment = await startDeployment();
    await crashThreeServers(deployment, { path: paths.once, body: CRASHING_BODY });
    const headers = { 'transfer-encoding': 'chunked' };
    assert.equal((await deployment.call({ path: paths.once, body: CRASHING_BODY, headers })).status, 503);
  });

  it('keeps no other request from the servers', async () => {
    const deployment = await startDeployment();
    await crashThreeServers(deployment, { path: paths.stream, body: CRASHING_BODY, headers: PROMPT });
    const sound: readonly Call[] = [
      { path: paths.stream, body: 'sound', headers: PROMPT },
      { path: paths.repeatable, body: 'sound' },
      { path: paths.stream, method: 'PUT', body: 'sound' },
    ];
    for (const call of sound) {
      const result = await deployment.call(call);
      assert.equal(result.status, 200, `${call.path} ${result.body}`);
    }
  });

  it('is not sent to another server within the same attempt of its caller once it is quarantined', async () => {
    const deployment = await startDeployment();
    const crashing = { path: paths.repeatable, body: CRASHING_BODY };
    await deployment.call(crashing);
    assert.equal(deployment.received().length, 2);
    // Its second attempt waits for the decision.
    assert.equal((await deployment.call(crashing)).status, 502);
    assert.equal(deployment.received().length, 3);
    assert.equal((await deployment.call(crashing)).status, 503);
    assert.equal(deployment.received().length, 3);
  });
});

describe('a sound request that is sent often', () => {
  it('is served on while servers crash for other reasons', async () => {
    const deployment = await startDeployment();
    for (let crashes = 0; crashes < 8; crashes += 1) {
      deployment.crashNext(1);
      assert.equal((await deployment.call({ path: paths.repeatable, body: 'hot' })).status, 200);
      deployment.clock.advance(DECIDED_MS);
    }
  });

  it('is served on although it was lost in three crashes, if it was served between them', async () => {
    const deployment = await startDeployment();
    for (let crashes = 0; crashes < 3; crashes += 1) {
      deployment.crashNext(2);
      assert.equal((await deployment.call({ path: paths.repeatable, body: 'hot' })).status, 502);
      assert.equal((await deployment.call({ path: paths.repeatable, body: 'hot' })).status, 200);
    }
    deployment.clock.advance(DECIDED_MS);
    assert.equal((await deployment.call({ path: paths.repeatable, body: 'hot' })).status, 200);
  });
});
