/** Requests that a caller sends on one connection without waiting for the answer to the one before. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { paths, startTestGateway } from './support/gateway.js';
import { answerTo, type ReceivedRequest, startScriptedServer } from './support/scripted-server.js';

const open: { close(): void }[] = [];

afterEach(() => {
  open.splice(0).forEach((item) => {
    item.close();
  });
});

const TIMEOUT = { timeout: 10_000 };

const headOf = (id: string): string =>
  [
    `POST ${paths.once} HTTP/1.1`,
    'host: vanes.example',
    `request-id: ${id}`,
    'key: key-1',
    'content-length: 0',
    '',
    '',
  ].join('\r\n');

async function until(isTrue: () => boolean): Promise<void> {
  while (!isTrue() && open.length > 0) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}

/** Lets events that are under way arrive. */
async function nextTurns(): Promise<void> {
  for (let turn = 0; turn < 50; turn += 1) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}

interface PipelinedRequests {
  /** Ids of the requests that reached the server. */
  readonly reached: () => string[];
  /** Answers the first request, and then the second one if it has reached the server. */
  answer(options?: { isFramed?: boolean }): Promise<void>;
  startDraining(): void;
  /** Resolves with what the caller has read when its connection closes, or when both requests are answered. */
  readonly whenRead: Promise<string>;
}

/** Sends two requests at once; a server holds both until the test answers them. */
async function startPipelined(): Promise<PipelinedRequests> {
  const held = new Map<string, { socket: Socket; request: ReceivedRequest }>();
  const server = await startScriptedServer((socket, request) => {
    held.set(request.headers.get('request-id') ?? '', { socket, request });
  });
  const gateway = await startTestGateway([server.port]);
  const caller = connect(gateway.port, '127.0.0.1');
  caller.on('error', () => undefined);
  open.push(gateway, server, { close: () => caller.destroy() });
  await once(caller, 'connect');
  let text = '';
  let isClosed = false;
  caller.on('data', (chunk: Buffer) => (text += chunk.toString('latin1')));
  caller.on('close', () => (isClosed = true));
  const hasBoth = (): boolean => text.split('HTTP/1.1 ').length > 2;
  caller.write(headOf('r1') + headOf('r2'));
  await until(() => held.has('r1'));
  const answerOne = (id: string, options = {}): void => {
    const request = held.get(id);
    request?.socket.end(answerTo(request.request, `vane ${id}`, options));
  };
  return {
    reached: () => [...held.keys()],
    answer: async (options) => {
      answerOne('r1', options);
      await until(() => isClosed || hasBoth() || (text.includes('vane r1') && held.has('r2')));
      answerOne('r2');
    },
    startDraining: gateway.startDraining,
    whenRead: until(() => isClosed || hasBoth()).then(() => text),
  };
}

describe('a request that a caller sent before the answer to an earlier one', () => {
  it('is not left without an answer if the entry begins to drain', TIMEOUT, async () => {
    const requests = await startPipelined();
    await nextTurns();
    requests.startDraining();
    await requests.answer();
    const text = await requests.whenRead;
    assert.match(text, /vane r1/);
    assert.match(text, /HTTP\/1.1 .*HTTP\/1.1 /s, 'the second request was read whole and has no answer');
  });

  it('does not reach a server before the connection is known to stay open', TIMEOUT, async () => {
    const requests = await startPipelined();
    await nextTurns();
    await requests.answer({ isFramed: false });
    const text = await requests.whenRead;
    assert.match(text, /vane r1/);
    const isAnswered = /HTTP\/1.1 .*HTTP\/1.1 /s.test(text);
    assert.ok(
      isAnswered || !requests.reached().includes('r2'),
      'the second request reached a server and has no answer',
    );
  });
});
