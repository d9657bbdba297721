/**
 * Answers that are under way when the process of the entry ends: the operating system closes the connections of callers in
 * order, and no answer that is cut by that may look complete.
 */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { paths, startTestGateway } from './support/gateway.js';
import { type ReceivedRequest, type Script, startScriptedServer } from './support/scripted-server.js';

const open: { close(): void }[] = [];

afterEach(() => {
  open.splice(0).forEach((item) => {
    item.close();
  });
});

const event = (id: number): string => `id: ${String(id)}\ndata: token ${String(id)}\n\n`;
const WHOLE = [1, 2, 3].map(event).join('');
const LONG_BODY = 'copper vane '.repeat(500_000);

function head(request: ReceivedRequest, ...lines: readonly string[]): string {
  const id = `request-id: ${request.headers.get('request-id') ?? ''}`;
  return ['HTTP/1.1 200 OK', id, 'signature: vane-1', ...lines, '', ''].join('\r\n');
}

const chunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;

/** How a server begins a stream, by the framing of its answer. */
const beginnings: Readonly<Record<string, (request: ReceivedRequest) => string>> = {
  'neither a length nor chunks': (request) => head(request) + event(1) + event(2),
  chunks: (request) => head(request, 'transfer-encoding: chunked') + chunk(event(1) + event(2)),
  'a length': (request) => head(request, `content-length: ${String(WHOLE.length)}`) + event(1) + event(2),
};

interface RawCaller {
  readonly socket: Socket;
  received(): string;
}

async function startRequest(
  script: Script,
  path: string,
  version: string,
): Promise<RawCaller & { endEntry(): void }> {
  const server = await startScriptedServer(script);
  const gateway = await startTestGateway([server.port]);
  const socket = connect(gateway.port, '127.0.0.1');
  open.push(gateway, server, { close: () => socket.destroy() });
  let text = '';
  socket.on('error', () => undefined);
  socket.on('data', (data: Buffer) => {
    text += data.toString('latin1');
  });
  const lines = [`POST ${path} HTTP/${version}`, 'host: vanes.example', 'key: key-1', 'request-id: r1'];
  socket.write([...lines, 'content-length: 0', '', ''].join('\r\n'));
  return { socket, received: () => text, endEntry: gateway.callerPort.close.bind(gateway.callerPort) };
}

async function until(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await new Promise<void>((resolve) => setImmediate(resolve));
  }
}

/** Whether an answer that ended with its connection is complete by its own framing (RFC 9112, section 6.3). */
function looksComplete(answer: string): boolean {
  const [headText = '', body = ''] = answer.split(/\r\n\r\n(.*)/s);
  const length = /^content-length: (\d+)$/im.exec(headText)?.[1];
  if (/^transfer-encoding: chunked$/im.test(headText)) {
    return body.endsWith('0\r\n\r\n');
  }
  return headText.startsWith('HTTP/1.1 200') && (length === undefined || body.length === Number(length));
}

describe('a stream that is under way when the process of the entry ends', () => {
  for (const [name, begin] of Object.entries(beginnings)) {
    it(`does not look complete to the caller, if the server sends ${name}`, async () => {
      const caller = await startRequest(
        (socket, request) => socket.write(begin(request)),
        paths.stream,
        '1.1',
      );
      await until(() => caller.received().includes('token 2'));
      caller.endEntry();
      await once(caller.socket, 'close');
      assert.ok(!looksComplete(caller.received()), caller.received());
    });

    it(`does not look complete to a caller that speaks HTTP/1.0, if the server sends ${name}`, async () => {
      let isBegun = false;
      const script: Script = (socket, request) =>
        socket.write(begin(request), () => {
          isBegun = true;
        });
      const caller = await startRequest(script, paths.stream, '1.0');
      await until(() => isBegun);
      for (let turn = 0; turn < 50; turn += 1) {
        await new Promise<void>((resolve) => setImmediate(resolve));
      }
      caller.endEntry();
      await once(caller.socket, 'close');
      assert.ok(!looksComplete(caller.received()), caller.received());
    });
  }
});

describe('a whole answer without a length that is under way when the process of the entry ends', () => {
  for (const version of ['1.0', '1.1']) {
    it(`does not look complete to a caller that speaks HTTP/${version} and has read a part of it`, async () => {
      let isSent = false;
      const script: Script = (socket, request) => {
        socket.end(head(request) + LONG_BODY, () => {
          isSent = true;
        });
      };
      const caller = await startRequest(script, paths.once, version);
      await until(() => isSent);
      await until(() => caller.received().length > 0);
      caller.socket.pause();
      caller.endEntry();
      caller.socket.resume();
      await once(caller.socket, 'close');
      assert.ok(caller.received().length < LONG_BODY.length, 'the answer was cut');
      assert.ok(!looksComplete(caller.received()), caller.received().slice(0, 200));
    });
  }
});

describe('an answer to a caller that speaks HTTP/1.0', () => {
  it('arrives whole, with its length, if the server sends a stream without one', async () => {
    const script: Script = (socket, request) => socket.end(head(request) + WHOLE);
    const caller = await startRequest(script, paths.stream, '1.0');
    await once(caller.socket, 'close');
    const [headText, body] = caller.received().split(/\r\n\r\n(.*)/s);
    assert.match(headText ?? '', /^HTTP\/1\.1 200 /);
    assert.match(headText ?? '', new RegExp(`^content-length: ${String(WHOLE.length)}$`, 'im'));
    assert.equal(body, WHOLE);
  });

  it('is an error if the stream breaks off and does not go on', async () => {
    const script: Script = (socket, request) =>
      socket.write(head(request) + event(1), () => socket.resetAndDestroy());
    const caller = await startRequest(script, paths.stream, '1.0');
    await once(caller.socket, 'close');
    assert.match(caller.received(), /^HTTP\/1\.1 502 /);
  });
});
