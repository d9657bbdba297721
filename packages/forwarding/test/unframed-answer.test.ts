/** Answers that come with neither a length nor chunks and end with their connection. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { paths, startTestGateway } from './support/gateway.js';
import {
  answerTo,
  callAs,
  type CallerResult,
  firstThen,
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

/** Starts two servers; whichever receives the first request answers it by one script, the other requests by another. */
async function callWithFaultyFirst(faulty: Script, healthy: Script, path: string): Promise<CallerResult> {
  const shared = firstThen(faulty, healthy);
  const servers = await Promise.all([startScriptedServer(shared), startScriptedServer(shared)]);
  const gateway = await startTestGateway(servers.map((server) => server.port));
  open.push(gateway, ...servers);
  return callAs({ port: gateway.port, path }).result;
}

const event = (id: number): string => `id: ${String(id)}\ndata: token ${String(id)}\n\n`;

function unframedAnswer(request: ReceivedRequest, body: string): string {
  const lines = [
    'HTTP/1.1 200 OK',
    `request-id: ${request.headers.get('request-id') ?? ''}`,
    'signature: vane-1',
  ];
  return `${lines.join('\r\n')}\r\n\r\n${body}`;
}

const endsAfter =
  (body: string): Script =>
  (socket, request) =>
    socket.end(unframedAnswer(request, body));

const resetsAfter =
  (body: string): Script =>
  (socket, request) =>
    socket.write(unframedAnswer(request, body), () => socket.resetAndDestroy());

/** Streams the events after the request's `last-event-id`. */
const resumesUpTo =
  (last: number): Script =>
  (socket, request) => {
    const first = Number(request.headers.get('last-event-id') ?? 0) + 1;
    const events = Array.from({ length: last - first + 1 }, (_, index) => event(first + index));
    socket.end(unframedAnswer(request, events.join('')));
  };

describe('an answer without a length', () => {
  it('is complete when its connection ends', async () => {
    const whole = endsAfter('two copper vanes');
    const answer = await callWithFaultyFirst(whole, whole, paths.once);
    assert.deepEqual([answer.status, answer.body], [200, 'two copper vanes']);
  });

  it('differs from one with a length, which is complete although its connection is reset afterwards', async () => {
    const resetsAfterwards: Script = (socket, request) =>
      socket.write(answerTo(request, 'two copper vanes'), () => socket.resetAndDestroy());
    const answer = await callWithFaultyFirst(resetsAfterwards, resetsAfterwards, paths.once);
    assert.deepEqual([answer.status, answer.body], [200, 'two copper vanes']);
  });

  it('does not reach the caller as a success if its connection is reset', async () => {
    const answer = await callWithFaultyFirst(
      resetsAfter('two cop'),
      endsAfter('two copper vanes'),
      paths.once,
    );
    assert.equal(answer.status, 502);
  });

  it('is requested from another server if its connection is reset and the request may be repeated', async () => {
    const path = paths.repeatable;
    const answer = await callWithFaultyFirst(resetsAfter('two cop'), endsAfter('two copper vanes'), path);
    assert.deepEqual([answer.status, answer.body], [200, 'two copper vanes']);
  });
});

describe('a stream without a length', () => {
  const whole = [1, 2, 3].map(event).join('');

  it('is complete when its connection ends after an event', async () => {
    const answer = await callWithFaultyFirst(endsAfter(whole), endsAfter(whole), paths.stream);
    assert.deepEqual([answer.status, answer.body], [200, whole]);
  });

  it('goes on at another server if its connection is reset after an event', async () => {
    const answer = await callWithFaultyFirst(resetsAfter(event(1)), resumesUpTo(3), paths.stream);
    assert.equal(answer.body, whole);
  });

  it('goes on at another server if its connection ends inside an event', async () => {
    const answer = await callWithFaultyFirst(endsAfter(`${event(1)}id: 2\nda`), resumesUpTo(3), paths.stream);
    assert.equal(answer.body, whole);
  });

  it('is requested from another server if its connection ends before the first event', async () => {
    const answer = await callWithFaultyFirst(endsAfter(''), resumesUpTo(3), paths.stream);
    assert.equal(answer.body, whole);
  });
});

describe('a stream to a caller that speaks HTTP/1.0', () => {
  it('ends with an error if it breaks off, since the caller cannot tell its end from that of a whole one', async () => {
    const server = await startScriptedServer((socket, request) => {
      const cutOff = answerTo(request, event(1) + event(2)).slice(0, -event(2).length);
      socket.write(cutOff, () => socket.resetAndDestroy());
    });
    const gateway = await startTestGateway([server.port]);
    const caller = connect(gateway.port, '127.0.0.1');
    open.push(gateway, server, { close: () => caller.destroy() });
    let received = '';
    caller.on('data', (data: Buffer) => {
      received += data.toString('latin1');
    });
    const head = [`POST ${paths.stream} HTTP/1.0`, 'host: vanes.example', 'key: key-1', 'request-id: r1'];
    caller.write([...head, 'content-length: 0', '', ''].join('\r\n'));
    await once(caller, 'end');
    assert.match(received, /^HTTP\/1\.1 502 /);
    assert.ok(!received.includes('token'), received);
  });
});
