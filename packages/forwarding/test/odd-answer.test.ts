/** Unusual heads of servers' answers and of callers' requests. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { paths, startTestGateway } from './support/gateway.js';
import { callAs, startScriptedServer } from './support/scripted-server.js';

const open: { close(): void }[] = [];

afterEach(() => {
  open.splice(0).forEach((item) => {
    item.close();
  });
});

const LENGTH = 'content-length: 0';
const oddAnswers: Readonly<Record<string, readonly string[]>> = {
  'a status below 100': ['HTTP/1.1 099 Odd', LENGTH],
  'the status 000': ['HTTP/1.1 000 Odd', LENGTH],
  'the status 999': ['HTTP/1.1 999 Odd', LENGTH],
  'a status of four digits': ['HTTP/1.1 2000 Odd', LENGTH],
  'a switch of protocols': ['HTTP/1.1 101 Switching', 'connection: upgrade', 'upgrade: h2c'],
  'an interim response only': ['HTTP/1.1 103 Early Hints'],
  'control characters in a header': ['HTTP/1.1 200 OK', 'odd: a\u0001b', LENGTH],
  'bytes beyond ASCII in a header': ['HTTP/1.1 200 OK', 'odd: \u00e9\u00ff', LENGTH],
  'a header with an odd name': ['HTTP/1.1 200 OK', '__proto__: 1', 'constructor: 2', LENGTH],
  'an empty header name': ['HTTP/1.1 200 OK', ': 1', LENGTH],
  'a folded header': ['HTTP/1.1 200 OK', 'odd: a', ' b', LENGTH],
  'two lengths': ['HTTP/1.1 200 OK', 'content-length: 1', LENGTH],
  'a length and chunks': ['HTTP/1.1 200 OK', 'transfer-encoding: chunked', LENGTH, '', '0', '', ''],
  'an unknown transfer coding': ['HTTP/1.1 200 OK', 'transfer-encoding: odd'],
  trailers: [
    'HTTP/1.1 200 OK',
    'trailer: odd',
    'transfer-encoding: chunked',
    '',
    '1',
    'v',
    '0',
    'odd: 1',
    '',
    '',
  ],
  'a body where none is allowed': ['HTTP/1.1 204 No Content', 'content-length: 4', '', 'vane'],
  'a body where the status has none': ['HTTP/1.1 304 Not Modified', 'content-length: 4', '', 'vane'],
  'no status line': ['vane'],
  'another version of HTTP': ['HTTP/2.0 200 OK', LENGTH],
  'a reason with control characters': ['HTTP/1.1 200 O\u0007K', LENGTH],
};

describe('a request whose server answers with', () => {
  for (const [name, [line = '', ...lines]] of Object.entries(oddAnswers)) {
    for (const path of [paths.once, paths.stream]) {
      it(`${name} gets an answer on ${path}, and so does the next one`, async () => {
        const server = await startScriptedServer((socket, request) => {
          const id = `request-id: ${request.headers.get('request-id') ?? ''}`;
          socket.end(`${[line, id, 'signature: vane-1', ...lines].join('\r\n')}\r\n\r\n`, 'latin1');
        });
        const gateway = await startTestGateway([server.port]);
        open.push(server, gateway);
        for (const id of ['r1', 'r2']) {
          const headers = { 'request-id': id };
          const answer = await callAs({ port: gateway.port, path, headers }).result;
          assert.ok(answer.status >= 200, `status ${String(answer.status)}`);
          assert.equal(answer.isComplete, true);
        }
      });
    }
  }
});

const oddRequests: Readonly<Record<string, readonly string[]>> = {
  'an absolute target': [`POST http://vanes.example${paths.once} HTTP/1.1`, 'host: vanes.example'],
  'the target of a server': ['OPTIONS * HTTP/1.1', 'host: vanes.example'],
  'no host': [`POST ${paths.once} HTTP/1.1`],
  'two hosts': [`POST ${paths.once} HTTP/1.1`, 'host: vanes.example', 'host: other.example'],
  'bytes beyond ASCII': [`POST ${paths.once}\u00e9 HTTP/1.1`, 'host: vanes.example', 'odd: \u00e9\u00ff'],
  'an upgrade': [`POST ${paths.once} HTTP/1.1`, 'host: vanes.example', 'connection: upgrade', 'upgrade: h2c'],
  'an expectation': [`POST ${paths.once} HTTP/1.1`, 'host: vanes.example', 'expect: odd'],
  'odd names': [`POST ${paths.once} HTTP/1.1`, 'host: vanes.example', '__proto__: 1', 'constructor: 2'],
  'a connection header that names others': [
    `POST ${paths.once} HTTP/1.1`,
    'host: vanes.example',
    'connection: close, content-length, host',
  ],
  'a timeout beyond all numbers': [`POST ${paths.once} HTTP/1.1`, 'host: vanes.example', 'timeout: 1e309'],
  'a timeout that is none': [`POST ${paths.once} HTTP/1.1`, 'host: vanes.example', 'timeout: soon'],
};

describe('a request with', () => {
  for (const [name, lines] of Object.entries(oddRequests)) {
    it(`${name} gets an answer`, async () => {
      const server = await startScriptedServer((socket, request) => {
        const id = `request-id: ${request.headers.get('request-id') ?? ''}`;
        socket.end(['HTTP/1.1 200 OK', id, 'signature: vane-1', LENGTH, '', ''].join('\r\n'));
      });
      const gateway = await startTestGateway([server.port]);
      open.push(server, gateway);
      const caller = connect(gateway.port, '127.0.0.1');
      open.push({ close: () => caller.destroy() });
      caller.write(`${[...lines, 'request-id: r1', 'key: key-1', LENGTH].join('\r\n')}\r\n\r\n`, 'latin1');
      const [chunk] = (await once(caller, 'data')) as [Buffer];
      assert.match(chunk.toString('latin1'), /^HTTP\/1\.1 [2-5]\d\d /);
    });
  }
});
