/** Requests and answers that the HTTP parser accepts, but that cannot be sent on as they are. */
import assert from 'node:assert/strict';
import { connect } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { paths, startTestGateway } from './support/gateway.js';
import { answerTo, callAs, firstThen, type Script, startScriptedServer } from './support/scripted-server.js';

const open: { close(): void }[] = [];

afterEach(() => {
  open.splice(0).forEach((item) => {
    item.close();
  });
});

const succeeds: Script = (socket, request) => socket.end(answerTo(request, 'a vane'));

describe('an answer with an invalid status', () => {
  for (const status of ['000', '099']) {
    const odd: Script = (socket, request) =>
      socket.end(answerTo(request, 'odd').replace('HTTP/1.1 200', `HTTP/1.1 ${status}`));

    it(`lets a request that may be repeated be retried (${status})`, async () => {
      const script = firstThen(odd, succeeds);
      const servers = await Promise.all([startScriptedServer(script), startScriptedServer(script)]);
      const gateway = await startTestGateway(servers.map(({ port }) => port));
      open.push(gateway, ...servers);
      const answer = await callAs({ port: gateway.port, path: paths.repeatable }).result;
      assert.deepEqual([answer.status, answer.body], [200, 'a vane']);
    });

    it(`leaves a request that may run once in doubt (${status})`, async () => {
      const server = await startScriptedServer(odd);
      const gateway = await startTestGateway([server.port]);
      open.push(gateway, server);
      const answer = await callAs({ port: gateway.port, path: paths.once }).result;
      assert.equal(answer.status, 502);
      assert.equal(server.received.length, 1);
    });
  }
});

describe('a request with a path that no request can carry', () => {
  for (const [name, odd] of [
    ['a tab', '\t'],
    ['a form feed', '\f'],
  ] as const) {
    it(`is rejected as invalid (${name})`, async () => {
      const server = await startScriptedServer(succeeds);
      const gateway = await startTestGateway([server.port]);
      open.push(gateway, server);
      const socket = connect(gateway.port, '127.0.0.1');
      socket.write(
        `GET ${paths.once}a${odd}b HTTP/1.1\r\nHost: vanes.example\r\nkey: key-1\r\nrequest-id: r\r\nConnection: close\r\n\r\n`,
      );
      let answer = '';
      for await (const chunk of socket) {
        answer += String(chunk);
      }
      assert.match(answer, /^HTTP\/1\.1 400 /);
      assert.equal(server.received.length, 0);
    });
  }
});
