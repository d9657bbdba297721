/** Answers that look like another outcome than the one of the request: repeated rejections, late errors, partial heads. */
import assert from 'node:assert/strict';
import { type Socket } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { paths, startTestGateway } from './support/gateway.js';
import {
  answerTo,
  callAs,
  type CallerResult,
  firstThen,
  type ReceivedRequest,
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

interface Deployment {
  readonly servers: readonly ScriptedServer[];
  call(path: string): Promise<CallerResult>;
}

/** Starts two servers; whichever receives the first request answers it by one script, all others by the other. */
async function startPair(first: Script, others: Script): Promise<Deployment> {
  const script = firstThen(first, others);
  const servers = await Promise.all([startScriptedServer(script), startScriptedServer(script)]);
  const gateway = await startTestGateway(servers.map(({ port }) => port));
  open.push(gateway, ...servers);
  return { servers, call: (path) => callAs({ port: gateway.port, path }).result };
}

const receivedBy = ({ servers }: Deployment): number =>
  servers.reduce((sum, { received }) => sum + received.length, 0);

const succeeds: Script = (socket, request) => socket.end(answerTo(request, 'a vane'));
/** Returns a request as the server would have received it with another id, or without one. */
const withId = (request: ReceivedRequest, id: string): ReceivedRequest => ({
  ...request,
  headers: new Map([['request-id', id]]),
});
const rejection = { status: 503, headers: ['not-run: 1'] };

describe('a rejection of another request', () => {
  const rejections: Readonly<Record<string, Script>> = {
    'of an earlier request': (socket, request) =>
      socket.end(answerTo(withId(request, 'earlier'), 'full', rejection)),
    'without an id': (socket, request) => socket.end(answerTo(withId(request, ''), 'full', rejection)),
    'ahead of the answer': (socket, request) =>
      socket.end(answerTo(withId(request, 'earlier'), 'full', rejection) + answerTo(request, 'a vane')),
  };
  for (const [name, script] of Object.entries(rejections)) {
    it(`does not make a request that may run once run twice, nor reports it as not run (${name})`, async () => {
      const deployment = await startPair(script, succeeds);
      assert.equal((await deployment.call(paths.once)).status, 502);
      assert.equal(receivedBy(deployment), 1);
    });

    it(`lets a request that may be repeated be retried (${name})`, async () => {
      const deployment = await startPair(script, succeeds);
      const answer = await deployment.call(paths.repeatable);
      assert.deepEqual([answer.status, answer.body], [200, 'a vane']);
      assert.equal(receivedBy(deployment), 2);
    });
  }
});

const event = (id: number): string => `id: ${String(id)}\ndata: token ${String(id)}\n\n`;
const streamHead = (request: ReceivedRequest): string =>
  [
    'HTTP/1.1 200 OK',
    `request-id: ${request.headers.get('request-id') ?? ''}`,
    'signature: vane-1',
    'content-type: text/event-stream',
    'transfer-encoding: chunked',
    '\r\n',
  ].join('\r\n');

function writeChunk(socket: Socket, text: string, done?: () => void): void {
  socket.write(`${text.length.toString(16)}\r\n${text}\r\n`, done);
}

const beginsAndBreaksOff: Script = (socket, request) => {
  socket.write(streamHead(request));
  writeChunk(socket, event(1) + event(2), () => socket.resetAndDestroy());
};

describe('a stream that broke off, whose next server answers with an error', () => {
  const signed = ['signature: vane-2'];
  const errors: Readonly<Record<string, Script>> = {
    'an error': (socket, request) =>
      socket.end(answerTo(request, 'error\n\n', { status: 500, headers: signed })),
    'an error without a length': (socket, request) =>
      socket.end(answerTo(request, 'error\n\n', { status: 502, headers: signed, isFramed: false })),
    'an unsigned error': (socket, request) =>
      socket.end(answerTo(request, 'error\n\n', { status: 500, headers: [] })),
    'a client error': (socket, request) =>
      socket.end(answerTo(request, 'error\n\n', { status: 404, headers: signed })),
    'a redirect': (socket, request) =>
      socket.end(answerTo(request, 'error\n\n', { status: 302, headers: [...signed, 'location: /'] })),
    'a rejection': (socket, request) => socket.end(answerTo(request, 'error\n\n', rejection)),
    'an error of another request': (socket, request) =>
      socket.end(answerTo(withId(request, 'other'), 'error\n\n', { status: 500, headers: signed })),
    'an error that breaks off': (socket, request) =>
      socket.end(answerTo(request, 'error\n\n', { status: 500, headers: signed }).slice(0, -3)),
    'bytes that are no answer': (socket) => socket.end('error\r\n\r\n'),
    'a success without events': (socket, request) =>
      socket.end(answerTo(request, 'error', { headers: signed })),
  };
  for (const [name, script] of Object.entries(errors)) {
    it(`ends as incomplete with the events of the first server only (${name})`, async () => {
      const deployment = await startPair(beginsAndBreaksOff, script);
      const { status, headers, body, isComplete } = await deployment.call(paths.stream);
      assert.deepEqual([status, headers.signature, body], [200, 'vane-1', event(1) + event(2)]);
      assert.equal(isComplete, false);
      assert.equal(receivedBy(deployment), 2);
    });
  }
});

describe('an answer whose server stops in the middle of its head', () => {
  const heads: Readonly<Record<string, (request: ReceivedRequest) => string>> = {
    [paths.once]: (request) => answerTo(request, '', { headers: ['signature: vane-1'] }),
    [paths.stream]: streamHead,
  };
  for (const [path, headOf] of Object.entries(heads)) {
    for (const [ending, close] of [
      ['closes', (socket: Socket) => socket.end()],
      ['resets', (socket: Socket) => socket.resetAndDestroy()],
    ] as const) {
      it(`never looks like an answer, wherever the server ${ending} the connection (${path})`, async () => {
        let length = 0;
        let headLength = 1;
        const stops: Script = (socket, request) => {
          const head = headOf(request);
          headLength = head.length;
          socket.write(head.slice(0, length), 'latin1', () => close(socket));
        };
        const server = await startScriptedServer(stops);
        const gateway = await startTestGateway([server.port]);
        open.push(gateway, server);
        for (; length < headLength; length += 1) {
          const { status, headers } = await callAs({ port: gateway.port, path }).result;
          assert.deepEqual([length, status, headers.signature], [length, 502, undefined]);
        }
      });
    }
  }
});
