/**
 * Callers that read their answers slowly. The entry must not keep what they have not read, and must not take their pauses
 * for those of a server.
 */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { createManualClock } from '@toucanbend/core';
import { DecisionKind } from '@toucanbend/observability';
import { paths, startTestGateway } from './support/gateway.js';
import {
  answerTo,
  callAs,
  type ReceivedRequest,
  type Script,
  startScriptedServer,
} from './support/scripted-server.js';

const open: { close(): void }[] = [];

afterEach(() => {
  open.splice(0).forEach((item) => {
    item.close();
  });
});

const EVENTS = 2_048;
const EVENT_BYTES = 16_384;
/** What the operating system holds for two connections at most, and the entry besides. */
const MAX_HELD_BYTES = (EVENTS * EVENT_BYTES) / 2;
/** Turns of the event loop without progress after which the server is taken to be blocked. */
const QUIET_TURNS = 500;

function eventText(id: number): string {
  const start = `id: ${String(id)}\ndata: `;
  return `${start}${'v'.repeat(EVENT_BYTES - start.length - 2)}\n\n`;
}

/** How a server marks the end of its stream. */
interface Framing {
  readonly headers: readonly string[];
  readonly wrap: (event: string) => string;
  readonly end: string;
}

const asItIs = (event: string): string => event;
const framings: Readonly<Record<string, Framing>> = {
  'a length': { headers: [`content-length: ${String(EVENTS * EVENT_BYTES)}`], wrap: asItIs, end: '' },
  chunks: {
    headers: ['transfer-encoding: chunked'],
    wrap: (event) => `${event.length.toString(16)}\r\n${event}\r\n`,
    end: '0\r\n\r\n',
  },
  'the end of its connection': { headers: [], wrap: asItIs, end: '' },
};

interface LongStream {
  readonly script: Script;
  /** Number of bytes that the connection has accepted. */
  sentBytes(): number;
}

/** Sends a stream of many events as fast as its connection accepts them. */
function createLongStream({ headers, wrap, end }: Framing): LongStream {
  let connection: Socket | undefined;
  const script = (socket: Socket, request: ReceivedRequest): void => {
    connection = socket;
    const lines = ['HTTP/1.1 200 OK', `request-id: ${request.headers.get('request-id') ?? ''}`];
    socket.write([...lines, 'signature: vane-1', ...headers, '', ''].join('\r\n'));
    let next = 1;
    const write = (): void => {
      while (next <= EVENTS && !socket.writableNeedDrain) {
        socket.write(wrap(eventText(next)));
        next += 1;
      }
      if (next > EVENTS) {
        socket.end(end);
      } else {
        socket.once('drain', write);
      }
    };
    write();
  };
  return {
    script,
    sentBytes: () => (connection === undefined ? 0 : connection.bytesWritten - connection.writableLength),
  };
}

const nextTurn = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));

async function untilBlocked(stream: LongStream): Promise<void> {
  let sentBytes = 0;
  for (let quietTurns = 0; quietTurns < QUIET_TURNS || sentBytes === 0; quietTurns += 1) {
    await nextTurn();
    if (stream.sentBytes() !== sentBytes) {
      sentBytes = stream.sentBytes();
      quietTurns = 0;
    }
  }
}

describe('a caller that does not read its stream', () => {
  for (const [name, framing] of Object.entries(framings)) {
    it(`holds back the server, without a second attempt, and gets the whole stream when it reads (${name})`, async () => {
      const clock = createManualClock();
      const stream = createLongStream(framing);
      const servers = await Promise.all([
        startScriptedServer(stream.script),
        startScriptedServer(stream.script),
      ]);
      const gateway = await startTestGateway(
        servers.map(({ port }) => port),
        { clock },
      );
      const caller = connect(gateway.port, '127.0.0.1');
      open.push(gateway, ...servers, { close: () => caller.destroy() });
      const head = [`POST ${paths.stream} HTTP/1.1`, 'host: vanes.example', 'key: key-1', 'request-id: r1'];
      caller.write([...head, 'connection: close', 'content-length: 0', '', ''].join('\r\n'));
      await untilBlocked(stream);
      assert.ok(stream.sentBytes() < MAX_HELD_BYTES, `${String(stream.sentBytes())} bytes were accepted`);
      clock.advance(2_000);
      await untilBlocked(stream);
      assert.equal(servers.flatMap(({ received }) => received).length, 1);
      let received = '';
      caller.on('data', (chunk: Buffer) => {
        received += chunk.toString('latin1');
      });
      await once(caller, 'end');
      const ids = [...received.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
      assert.deepEqual(
        ids,
        Array.from({ length: EVENTS }, (_, index) => index + 1),
      );
      assert.ok(received.endsWith('\r\n0\r\n\r\n'), 'the answer is complete');
    });
  }
});

const CALLERS = 9;
const WHOLE_BYTES = 7 * 1024 * 1024;

describe('callers that do not read their whole answers', () => {
  it('leave room for the short answers of others, and for long ones when they have gone', async () => {
    const script: Script = (socket, request) => {
      const body = request.body === 'short' ? 'copper vane' : 'v'.repeat(WHOLE_BYTES);
      socket.end(answerTo(request, body));
    };
    const servers = await Promise.all([1, 2, 3].map(() => startScriptedServer(script)));
    const gateway = await startTestGateway(servers.map(({ port }) => port));
    open.push(gateway, ...servers);
    const callers = Array.from({ length: CALLERS }, (_, index) => {
      const caller = connect(gateway.port, '127.0.0.1');
      open.push({ close: () => caller.destroy() });
      caller.on('error', () => undefined);
      const id = `request-id: r${String(index)}`;
      const head = [`POST ${paths.once} HTTP/1.1`, 'host: vanes.example', 'key: key-1', id];
      caller.write([...head, 'content-length: 0', '', ''].join('\r\n'));
      return caller;
    });
    const ends = (): unknown[] =>
      gateway.decisions
        .filter(({ decision }) => decision === DecisionKind.Answer)
        .map(({ fields }) => fields.reason);
    while (ends().length < CALLERS) {
      await nextTurn();
    }
    const failed = ends().filter((reason) => reason !== 'answered').length;
    assert.ok(failed > 0 && failed < CALLERS, `${String(failed)} of the long answers found no room`);
    const short = await callAs({ port: gateway.port, path: paths.once, body: 'short' }).result;
    assert.deepEqual([short.status, short.body], [200, 'copper vane']);
    callers.forEach((caller) => caller.destroy());
    while (gateway.callerPort.inFlight() > 0) {
      await nextTurn();
    }
    const long = await callAs({ port: gateway.port, path: paths.once }).result;
    assert.deepEqual([long.status, long.body.length], [200, WHOLE_BYTES]);
  });
});
