/** Requests in all states while the port for callers closes before the process ends. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { createManualClock, type ManualClock } from '@toucanbend/core';
import {
  catalogue,
  paths,
  startTestGateway,
  type TestGateway,
  type TestGatewayOptions,
} from './support/gateway.js';
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

interface TestDeployment {
  readonly gateway: TestGateway;
  readonly server: ScriptedServer;
}

async function startDeployment(script: Script, options: TestGatewayOptions = {}): Promise<TestDeployment> {
  const server = await startScriptedServer(script);
  const gateway = await startTestGateway([server.port], options);
  open.push(gateway, server);
  return { gateway, server };
}

const headOf = (path: string, length = 0): string =>
  [
    `POST ${path} HTTP/1.1`,
    'host: vanes.example',
    'request-id: r1',
    'key: key-1',
    `content-length: ${String(length)}`,
    '',
    '',
  ].join('\r\n');

async function connectTo(gateway: TestGateway): Promise<Socket> {
  const caller = connect(gateway.port, '127.0.0.1');
  caller.on('error', () => undefined);
  open.push({ close: () => caller.destroy() });
  await once(caller, 'connect');
  return caller;
}

/** What a caller reads from its connection. */
interface Reader {
  text(): string;
  isClosed(): boolean;
}

function startReading(caller: Socket): Reader {
  const chunks: Buffer[] = [];
  let isClosed = false;
  caller.on('data', (chunk: Buffer) => chunks.push(chunk));
  caller.on('close', () => {
    isClosed = true;
  });
  caller.resume();
  return { text: () => Buffer.concat(chunks).toString('latin1'), isClosed: () => isClosed };
}

const bodyOf = (text: string): string => text.slice(text.indexOf('\r\n\r\n') + 4);

async function until(condition: () => boolean): Promise<void> {
  while (!condition() && open.length > 0) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}

/** Has a port stop listening, and waits until it has closed the connections that it closes. */
async function stopListening({ callerPort }: TestGateway): Promise<void> {
  void callerPort.stopListening();
  for (let turn = 0; turn < 10; turn += 1) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}

/** Length of an answer that exceeds what the sockets of a connection buffer, in bytes. */
const LARGE_ANSWER_BYTES = 8_000_000;

describe('the port for callers, when it stops listening', () => {
  it('delivers the rest of an answer that its caller reads slowly', async () => {
    const large = 'v'.repeat(LARGE_ANSWER_BYTES);
    const { gateway } = await startDeployment((socket, request) => socket.end(answerTo(request, large)));
    const caller = await connectTo(gateway);
    caller.pause();
    caller.write(headOf(paths.once));
    await until(() => gateway.decisions.some(({ fields }) => fields.reason === 'answered'));
    await stopListening(gateway);
    // The process doesn't end while it holds a part of the answer.
    assert.equal(gateway.callerPort.busyConnections(), 1);
    const reader = startReading(caller);
    await until(() => reader.isClosed() || caller.bytesRead > LARGE_ANSWER_BYTES);
    await until(() => reader.isClosed() || bodyOf(reader.text()).length >= LARGE_ANSWER_BYTES);
    assert.equal(bodyOf(reader.text()).length, LARGE_ANSWER_BYTES);
    await until(() => gateway.callerPort.busyConnections() === 0);
  });
});

/** Part of the head of a request. */
const HALF_HEAD = headOf(paths.once).slice(0, 40);

describe('a connection of a caller, when the port stops listening', () => {
  for (const [name, isUsed, text] of [
    ['without a first request', false, ''],
    ['with part of the head of its first request', false, HALF_HEAD],
    ['with part of the head of a later request', true, HALF_HEAD],
  ] as const) {
    it(`is in use ${name}, and the request is rejected as not run`, async () => {
      const { gateway } = await startDeployment((socket, request) => socket.end(answerTo(request, 'a vane')));
      const { callerPort } = gateway;
      const caller = await connectTo(gateway);
      const reader = startReading(caller);
      if (isUsed) {
        caller.write(headOf(paths.once));
        await until(() => reader.text().endsWith('a vane') && callerPort.busyConnections() === 0);
      }
      caller.write(text);
      await until(() => callerPort.busyConnections() === 1);
      gateway.stopAccepting();
      await stopListening(gateway);
      caller.write(headOf(paths.once).slice(text.length));
      await until(() => reader.isClosed() || reader.text().includes(' 503 '));
      assert.match(reader.text(), /HTTP\/1.1 503 .*retry-after: 0\.020/is);
    });
  }

  it('is not closed if its next request has arrived but has not been read', async () => {
    const { gateway } = await startDeployment((socket, request) => socket.end(answerTo(request, 'a vane')));
    const caller = await connectTo(gateway);
    const reader = startReading(caller);
    caller.write(headOf(paths.once));
    await until(() => reader.text().endsWith('a vane') && gateway.callerPort.busyConnections() === 0);
    caller.write(headOf(paths.once));
    gateway.stopAccepting();
    void gateway.callerPort.stopListening();
    await until(() => reader.isClosed() || reader.text().includes(' 503 '));
    assert.match(reader.text(), /HTTP\/1.1 503 .*retry-after: 0\.020/is);
  });

  it('is accepted if it was established before', async () => {
    const { gateway } = await startDeployment((socket, request) => socket.end(answerTo(request, 'a vane')));
    const caller = connect(gateway.port, '127.0.0.1');
    caller.on('error', () => undefined);
    open.push({ close: () => caller.destroy() });
    const reader = startReading(caller);
    caller.write(headOf(paths.once));
    // The connection is established in the next tick, and accepted when the event loop polls.
    await new Promise<void>((resolve) => {
      process.nextTick(resolve);
    });
    gateway.stopAccepting();
    void gateway.callerPort.stopListening();
    await until(() => reader.isClosed() || reader.text().includes(' 503 '));
    assert.match(reader.text(), /HTTP\/1.1 503 .*retry-after: 0\.020/is);
  });

  it('is accepted if it was established before, also where many were', async () => {
    const { gateway } = await startDeployment((socket, request) => socket.end(answerTo(request, 'a vane')));
    const readers = Array.from({ length: 20 }, () => {
      const caller = connect(gateway.port, '127.0.0.1');
      caller.on('error', () => undefined);
      open.push({ close: () => caller.destroy() });
      caller.write(headOf(paths.once));
      return startReading(caller);
    });
    await new Promise<void>((resolve) => {
      process.nextTick(resolve);
    });
    gateway.stopAccepting();
    void gateway.callerPort.stopListening();
    await until(() => readers.every((reader) => reader.isClosed() || reader.text().includes(' 503 ')));
    const rejected = readers.filter((reader) => reader.text().includes(' 503 '));
    assert.equal(rejected.length, readers.length);
  });

  it('is closed if it is kept open without a request', async () => {
    const { gateway } = await startDeployment((socket, request) => socket.end(answerTo(request, 'a vane')));
    const caller = await connectTo(gateway);
    const reader = startReading(caller);
    caller.write(headOf(paths.once));
    await until(() => reader.text().endsWith('a vane') && gateway.callerPort.busyConnections() === 0);
    void gateway.callerPort.stopListening();
    await until(reader.isClosed);
    assert.ok(reader.isClosed());
  });
});

/** Time from the start of a planned stop to the end of its requests, in milliseconds. */
const STOP_MS = 2_000;

interface StoppableDeployment extends TestDeployment {
  readonly clock: ManualClock;
  call(path: string, headers?: Readonly<Record<string, string>>): Promise<CallerResult>;
  /** Starts a planned stop that abandons the requests without an answer after a time. */
  startDraining(leftMs?: number): void;
  /** Advances the clock, and runs the timers that are set meanwhile for no later time until the action is done. */
  passTime<Value>(byMs: number, action: Promise<Value>): Promise<Value>;
}

async function startStoppable(
  script: Script,
  options: TestGatewayOptions = {},
): Promise<StoppableDeployment> {
  const clock = createManualClock();
  const deployment = await startDeployment(script, { ...options, clock });
  const { gateway } = deployment;
  return {
    ...deployment,
    clock,
    call: (path, headers = {}) => callAs({ port: gateway.port, path, headers }).result,
    startDraining: (leftMs = STOP_MS) => {
      gateway.startDraining(clock.now() + leftMs);
    },
    passTime: async (byMs, action) => {
      let isDone = false;
      const done = action.finally(() => {
        isDone = true;
      });
      clock.advance(byMs);
      await until(() => {
        clock.advance(0);
        return isDone;
      });
      return done;
    },
  };
}

const reasonOf = ({ body }: CallerResult): unknown => JSON.parse(body).reason;
const isSilent: Script = () => undefined;
const EVENT = 'id: 1\ndata: token 1\n\n';
const beginsStream: Script = (socket, request) => {
  socket.write(answerTo(request, `${EVENT}id: 2`).slice(0, -'id: 2'.length));
};

describe('a request that is in flight at the end of a planned stop', () => {
  it('is answered as one that may have run if it was sent to a server', async () => {
    const { server, call, startDraining, passTime } = await startStoppable(isSilent);
    const whenAnswered = call(paths.once);
    await until(() => server.received.length === 1);
    startDraining();
    const answer = await passTime(STOP_MS, whenAnswered);
    assert.deepEqual([answer.status, reasonOf(answer)], [502, 'leaving']);
    assert.deepEqual([answer.isComplete, answer.headers['retry-after']], [true, undefined]);
  });

  it('ends at its deadline if that is earlier', async () => {
    const { server, call, startDraining, passTime } = await startStoppable(isSilent);
    const whenAnswered = call(paths.once, { timeout: String(STOP_MS / 2) });
    await until(() => server.received.length === 1);
    startDraining();
    assert.equal((await passTime(STOP_MS / 2, whenAnswered)).status, 504);
  });

  it('is not ended as complete if it is a stream that has begun', async () => {
    const { gateway, startDraining, passTime } = await startStoppable(beginsStream);
    let body = '';
    const { result } = callAs({ port: gateway.port, path: paths.stream }, (text) => (body = text));
    await until(() => body.includes('token 1'));
    startDraining();
    const answer = await passTime(STOP_MS, result);
    assert.deepEqual([answer.status, answer.isComplete], [200, false]);
  });

  it('does not look complete if it is a stream that has begun and that has neither a length nor chunks', async () => {
    const { gateway, startDraining, passTime } = await startStoppable((socket, request) => {
      socket.write(answerTo(request, EVENT, { isFramed: false }));
    });
    const caller = await connectTo(gateway);
    const reader = startReading(caller);
    caller.write(headOf(paths.stream));
    await until(() => reader.text().includes('token 1'));
    startDraining();
    await passTime(STOP_MS, once(caller, 'close'));
    assert.match(reader.text(), /^transfer-encoding: chunked\r$/im);
    assert.ok(!reader.text().endsWith('0\r\n\r\n'), reader.text());
  });

  it('is rejected as not run if its body is still on the way', async () => {
    const { gateway, server, clock, startDraining } = await startStoppable(isSilent);
    const caller = await connectTo(gateway);
    const reader = startReading(caller);
    caller.write(`${headOf(paths.once, 9)}half`);
    await until(() => gateway.callerPort.inFlight() === 1);
    startDraining();
    clock.advance(STOP_MS);
    await until(reader.isClosed);
    assert.match(reader.text(), /^HTTP\/1.1 503 .*retry-after: 0\.020/is);
    assert.equal(server.received.length, 0);
  });
});

describe('a request that waits for a server when a planned stop begins', () => {
  it('is rejected at once as not run, with a retry delay', async () => {
    const turnsAwayFirst = firstThen((socket, request) => {
      const headers = ['not-run: 1', 'back-off-ms: 1000'];
      socket.end(answerTo(request, 'full', { status: 503, headers }));
    }, isSilent);
    const routes = catalogue.routes.map((route) => ({ ...route, targetMs: 20_000 }));
    const deployment = await startStoppable(turnsAwayFirst, { initialCatalogue: { ...catalogue, routes } });
    const { gateway, server, call, startDraining } = deployment;
    assert.equal((await call(paths.once)).status, 503);
    const whenAnswered = call(paths.once);
    await until(() => gateway.decisions.some(({ fields }) => fields.decided === 'wait'));
    startDraining();
    const answer = await whenAnswered;
    assert.equal(answer.status, 503);
    assert.ok(Number(answer.headers['retry-after']) > 0);
    assert.equal(server.received.length, 1);
  });
});

/** Duration of a server's only call, and the least mean that is expected of its calls after it, in milliseconds. */
const CALL_MS = 3_000;
const EXPECTED_CALL_MS = 0.1 * CALL_MS;

describe('a request that arrives while the entry drains', () => {
  it('is rejected at once if its answer is expected after the end of the planned stop', async () => {
    const answers: (() => void)[] = [];
    const answersWhenTold: Script = (socket, request) => {
      answers.push(() => socket.end(answerTo(request, 'a vane')));
    };
    const { clock, server, call, startDraining } = await startStoppable(answersWhenTold);
    const first = call(paths.once);
    await until(() => answers.length === 1);
    clock.advance(CALL_MS);
    answers[0]?.();
    assert.equal((await first).status, 200);
    startDraining(EXPECTED_CALL_MS / 2);
    const answer = await Promise.race([call(paths.once), until(() => server.received.length > 1)]);
    assert.equal(server.received.length, 1);
    assert.ok(answer !== undefined);
    assert.deepEqual([answer.status, reasonOf(answer)], [503, 'leaving']);
    assert.equal(answer.headers['retry-after'], '0.020');
  });
});

/** Time that is too short for an answer whose server pauses once, and long enough for one that arrives at once, in milliseconds. */
const SHORT_REST_MS = 1_200;
const LONG_REST_MS = 3_000;

/** Guards against answers that are broken off since their sound servers paused late in the grace period. */
describe('a request that is sent near the end of a planned stop', () => {
  for (const [name, path] of Object.entries(paths)) {
    for (const unusedFromMs of [0, Number.POSITIVE_INFINITY]) {
      const when = unusedFromMs === 0 ? 'after the balancer has noticed the stop' : 'before that';
      it(`is rejected as not run if a pause of its server would break it off: ${name}, ${when}`, async () => {
        const deployment = await startStoppable((socket, request) => socket.end(answerTo(request, EVENT)));
        const { gateway, server, clock, call } = deployment;
        gateway.startDraining(clock.now() + LONG_REST_MS, unusedFromMs);
        assert.equal((await call(path)).status, 200);
        clock.advance(LONG_REST_MS - SHORT_REST_MS);
        const answer = await Promise.race([call(path), until(() => server.received.length > 1)]);
        assert.deepEqual([answer?.status, answer?.headers['retry-after']], [503, '0.020']);
        assert.equal(server.received.length, 1);
      });
    }
  }

  it('is rejected if it waited at a server that turned it away meanwhile', async () => {
    let turnAway = (): void => undefined;
    const turnsAwayWhenTold: Script = (socket, request) => {
      const turnedAway = answerTo(request, 'full', { status: 503, headers: ['not-run: 1'] });
      turnAway = () => socket.end(turnedAway);
    };
    const { gateway, server, clock, call } = await startStoppable(turnsAwayWhenTold);
    gateway.startDraining(clock.now() + LONG_REST_MS, 0);
    const whenAnswered = call(paths.once);
    await until(() => server.received.length === 1);
    clock.advance(LONG_REST_MS - SHORT_REST_MS);
    turnAway();
    assert.equal((await whenAnswered).status, 503);
  });

  it('is continued at another server if its answer has begun', async () => {
    const second = EVENT.replaceAll('1', '2');
    let breakOff = (): void => undefined;
    const begins: Script = (socket, request) => {
      socket.write(answerTo(request, EVENT + second).slice(0, -second.length));
      breakOff = () => socket.resetAndDestroy();
    };
    const script = firstThen(begins, (socket, request) => socket.end(answerTo(request, second)));
    const servers = [await startScriptedServer(script), await startScriptedServer(script)];
    const clock = createManualClock();
    const gateway = await startTestGateway(
      servers.map(({ port }) => port),
      { clock },
    );
    open.push(gateway, ...servers);
    let body = '';
    const { result } = callAs({ port: gateway.port, path: paths.stream }, (text) => (body = text));
    await until(() => body.includes('token 1'));
    gateway.startDraining(clock.now() + SHORT_REST_MS, 0);
    breakOff();
    assert.equal((await result).body, EVENT + second);
  });
});
