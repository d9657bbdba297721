/** Clients outside the limits: input is handled in pieces, few requests wait, and refusals can be read. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer } from 'node:http';
import { type AddressInfo, connect, type Socket } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { createBodyMemory } from '../src/body-memory.js';
import { createInputMemory } from '../src/input-memory.js';
import { nextPiece } from '../src/input-meter.js';
import { closeStalled } from '../src/stalled-connections.js';
import { catalogue, paths, startTestGateway, type TestGateway } from './support/gateway.js';
import { answerTo, type Script, startScriptedServer } from './support/scripted-server.js';

const open: { close(): void }[] = [];

afterEach(() => {
  open.splice(0).forEach((item) => {
    item.close();
  });
});

const TIMEOUT = { timeout: 20_000 };

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

async function until(isTrue: () => boolean): Promise<void> {
  while (!isTrue() && open.length > 0) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}

interface Fixture {
  readonly gateway: TestGateway;
  readonly caller: Socket;
  readonly received: () => string;
  readonly bodies: string[];
}

async function start(script: Script): Promise<Fixture> {
  const bodies: string[] = [];
  const server = await startScriptedServer((socket, request) => {
    bodies.push(request.body);
    script(socket, request);
  });
  const gateway = await startTestGateway([server.port]);
  const caller = connect(gateway.port, '127.0.0.1');
  caller.on('error', () => undefined);
  let text = '';
  caller.on('data', (chunk: Buffer) => (text += chunk.toString('latin1')));
  open.push(gateway, server, { close: () => caller.destroy() });
  await once(caller, 'connect');
  return { gateway, caller, received: () => text, bodies };
}

const answers: Script = (socket, request) => socket.end(answerTo(request, 'a vane'));
const statuses = (text: string): string[] =>
  [...text.matchAll(/HTTP\/1\.1 (\d+)/g)].map((match) => match[1] ?? '');

describe('the input of a connection', () => {
  const inHead = { bodyBytesLeft: 0 };

  it('is handled one head at a time, and a body of known length as it arrives', () => {
    const heads = Buffer.from('GET / HTTP/1.1\r\n\r\n'.repeat(3_000));
    assert.deepEqual(nextPiece(heads, inHead), { length: 18, endsTurn: false });
    assert.deepEqual(nextPiece(heads, { bodyBytesLeft: 20_000 }), { length: 20_000, endsTurn: false });
    assert.equal(nextPiece(Buffer.alloc(60_000, 'x'), inHead).length, 16 * 1024);
  });

  it('leaves the turn to other connections after some chunks of one byte', () => {
    const chunks = Buffer.from('1\r\nx\r\n'.repeat(10_000));
    assert.deepEqual(nextPiece(chunks, inHead), { length: 128 * 6, endsTurn: true });
  });

  it('is bounded for all connections together', () => {
    const memory = createInputMemory();
    memory.add(16 * 1024 * 1024);
    assert.equal(memory.isExceeded(), false);
    memory.add(1);
    assert.equal(memory.isExceeded(), true);
    memory.addWaiting(1_024);
    assert.equal(memory.hasRoomToWait(), false);
  });
});

describe('requests sent ahead', () => {
  it('wait in the connection, and are answered in order', TIMEOUT, async () => {
    const { gateway, caller, received, bodies } = await start(answers);
    const count = 60;
    let mostInFlight = 0;
    const ids = Array.from({ length: count }, (_, index) => `r${String(index)}`);
    caller.write(ids.map((id) => headOf(id, 'content-length: 4') + id.padEnd(4)).join(''));
    await until(() => {
      mostInFlight = Math.max(mostInFlight, gateway.callerPort.inFlight());
      return statuses(received()).length === count;
    });
    assert.deepEqual(
      bodies.map((body) => body.trim()),
      ids,
    );
    assert.ok(mostInFlight <= 8, `${String(mostInFlight)} requests were read at once`);
  });
});

describe('a body', () => {
  it('in chunks of one byte is served', TIMEOUT, async () => {
    const { caller, received, bodies } = await start(answers);
    const { maxBodyBytes } = catalogue.limits;
    caller.write(
      headOf('r1', 'transfer-encoding: chunked') + '1\r\nv\r\n'.repeat(maxBodyBytes) + '0\r\n\r\n',
    );
    await until(() => statuses(received()).length === 1);
    assert.deepEqual(statuses(received()), ['200']);
    assert.equal(bodies[0], 'v'.repeat(maxBodyBytes));
  });

  it(
    'that is announced over the limit is refused before it arrives, and the connection closed',
    TIMEOUT,
    async () => {
      const { caller, received, bodies } = await start(answers);
      const whenClosed = once(caller, 'close');
      caller.write(headOf('r1', 'content-length: 4000000000') + 'v'.repeat(100_000));
      await whenClosed;
      assert.deepEqual(statuses(received()), ['413']);
      assert.match(received(), /connection: close/i);
      assert.equal(bodies.length, 0);
    },
  );

  it('is refused if the process has no memory for it, unless it is short', () => {
    const memory = createBodyMemory();
    assert.equal(memory.open().tryTake(24 * 1024 * 1024), true);
    const account = memory.open();
    assert.equal(account.tryTake(16 * 1024), true);
    assert.equal(account.tryTake(1), false);
  });

  it('longer than the memory is accepted while there is no other', () => {
    assert.equal(
      createBodyMemory()
        .open()
        .tryTake(40 * 1024 * 1024),
      true,
    );
  });
});

describe('a connection whose client does not read', () => {
  it('is closed after some time', TIMEOUT, async () => {
    const server = createServer((_, response) => response.end(Buffer.alloc(32 * 1024 * 1024)));
    closeStalled(server, () => undefined, 200);
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const caller = connect((server.address() as AddressInfo).port, '127.0.0.1');
    caller.on('error', () => undefined);
    open.push({ close: () => caller.destroy() }, { close: () => server.close() });
    const [accepted] = (await once(server, 'connection')) as [Socket];
    caller.pause();
    caller.write('GET / HTTP/1.1\r\nhost: x\r\n\r\n');
    await once(accepted, 'close');
  });
});
