/**
 * Callers that leave, send wrong bytes or stop inside a body, or leave inside their next request. Guards against keeping
 * their connections, and what had arrived on them, for good.
 */
import assert from 'node:assert/strict';
import { connect, type Socket } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { createManualClock, type ManualClock } from '@toucanbend/core';
import { paths, startTestGateway, type TestGateway } from './support/gateway.js';
import { answerTo, type Script, startScriptedServer } from './support/scripted-server.js';

const open: { close(): void }[] = [];

afterEach(() => {
  open.splice(0).forEach((item) => {
    item.close();
  });
});

const headOf = (id: string, ...framing: readonly string[]): string =>
  [
    `POST ${paths.once} HTTP/1.1`,
    'host: vanes.example',
    `request-id: ${id}`,
    'key: key-1',
    ...framing,
    '',
    '',
  ].join('\r\n');
const WITH_LENGTH = headOf('r1', 'content-length: 500');
const IN_CHUNKS = headOf('r1', 'transfer-encoding: chunked');
const HALF = 'v'.repeat(250);
const answers: Script = (socket, request) => socket.end(answerTo(request, 'a vane'));

interface Fixture {
  readonly gateway: TestGateway;
  readonly clock: ManualClock;
  readonly caller: Socket;
  readonly received: () => string;
  /** Number of requests that have reached a server. */
  readonly served: () => number;
}

async function start(script: Script = answers): Promise<Fixture> {
  const clock = createManualClock();
  const server = await startScriptedServer(script);
  const gateway = await startTestGateway([server.port], { clock });
  const caller = connect({ port: gateway.port, host: '127.0.0.1', allowHalfOpen: true });
  caller.on('error', () => undefined);
  let text = '';
  caller.on('data', (chunk: Buffer) => {
    text += chunk.toString('latin1');
  });
  open.push(gateway, server, { close: () => caller.destroy() });
  return { gateway, clock, caller, received: () => text, served: () => server.received.length };
}

async function until(isTrue: () => boolean): Promise<void> {
  while (!isTrue() && open.length > 0) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}

const isFree =
  ({ gateway: { callerPort } }: Fixture) =>
  (): boolean =>
    callerPort.inFlight() === 0 && callerPort.busyConnections() === 0;

describe('a caller that leaves inside a body', () => {
  const bodies = {
    'with a length': WITH_LENGTH + HALF,
    'in chunks': `${IN_CHUNKS}fa\r\n${HALF}\r\nfa\r\nvvv`,
  };
  const ways: Readonly<Record<string, (caller: Socket) => void>> = {
    'ends its connection in order': (caller) => {
      caller.end();
    },
    'closes its connection': (caller) => {
      caller.destroy();
    },
    'resets its connection': (caller) => {
      caller.resetAndDestroy();
    },
  };
  for (const [framing, text] of Object.entries(bodies)) {
    for (const [name, leave] of Object.entries(ways)) {
      it(`frees its connection if it ${name}, ${framing}`, { timeout: 10_000 }, async () => {
        const fixture = await start();
        fixture.caller.write(text);
        await until(() => fixture.gateway.callerPort.inFlight() === 1);
        leave(fixture.caller);
        await until(isFree(fixture));
        assert.equal(fixture.served(), 0);
      });
    }
  }
});

describe('a caller that stays', () => {
  it('gets 400 for bytes in its body that are no chunk', { timeout: 10_000 }, async () => {
    const fixture = await start();
    fixture.caller.write(`${IN_CHUNKS}4\r\nvane\r\n`);
    await until(() => fixture.gateway.callerPort.inFlight() === 1);
    fixture.caller.write('no chunk\r\n');
    await until(isFree(fixture));
    await until(() => fixture.received().includes('\r\n\r\n'));
    assert.match(fixture.received(), /^HTTP\/1\.1 400 /);
    assert.equal(fixture.served(), 0);
  });

  it(
    'is rejected when the time that it waits has passed before its body is complete',
    { timeout: 10_000 },
    async () => {
      const fixture = await start();
      fixture.caller.write(headOf('r1', 'content-length: 500', 'timeout: 3000') + HALF);
      await until(() => fixture.gateway.callerPort.inFlight() === 1);
      fixture.clock.advance(2_900);
      assert.equal(fixture.gateway.callerPort.inFlight(), 1);
      fixture.clock.advance(200);
      await until(isFree(fixture));
      assert.match(fixture.received(), /^HTTP\/1\.1 503 /);
      assert.equal(fixture.served(), 0);
    },
  );

  it('gets the answer to the request before one whose body is broken', { timeout: 10_000 }, async () => {
    let answer = (): void => undefined;
    const fixture = await start((socket, request) => {
      answer = () => socket.end(answerTo(request, 'a vane'));
    });
    fixture.caller.write(headOf('r1', 'content-length: 0'));
    await until(() => fixture.served() === 1);
    fixture.caller.write(`${headOf('r2', 'transfer-encoding: chunked')}no chunk\r\n`);
    await until(() => fixture.gateway.callerPort.inFlight() === 2);
    answer();
    await until(isFree(fixture));
    await until(() => fixture.received().includes('a vane'));
    assert.match(fixture.received(), /^HTTP\/1\.1 200 /);
    assert.equal(fixture.served(), 1);
  });
});

describe('a caller that leaves inside its next request', () => {
  const nexts = {
    'in its head': 'POST /once/ HTT',
    'in its body': headOf('r2', 'content-length: 500') + HALF,
  };
  for (const [name, next] of Object.entries(nexts)) {
    it(
      `frees its connection, ${name}, while the request before is in flight`,
      { timeout: 10_000 },
      async () => {
        const fixture = await start(() => undefined);
        fixture.caller.write(headOf('r1', 'content-length: 0'));
        await until(() => fixture.served() === 1);
        fixture.caller.end(next);
        await until(isFree(fixture));
        assert.equal(fixture.served(), 1);
      },
    );
  }
});
