/** Requests whose callers have left by the time that an entry reads them. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect } from 'node:net';
import { it } from 'node:test';
import { paths, startTestGateway } from './support/gateway.js';
import { answerTo, callAs, startScriptedServer } from './support/scripted-server.js';

const REQUEST = [
  `POST ${paths.repeatable} HTTP/1.1`,
  'host: vanes.example',
  'request-id: departed',
  'key: key-1',
  'content-length: 0',
];

it('a request whose caller closed its connection before the entry read it reaches no server', async () => {
  const server = await startScriptedServer((socket, request) => socket.end(answerTo(request, 'late')));
  const gateway = await startTestGateway([server.port]);
  const caller = connect(gateway.port, '127.0.0.1');
  await once(caller, 'connect');
  // Both the request and the close are in the receive buffer before the entry polls the connection.
  caller.write(`${REQUEST.join('\r\n')}\r\n\r\n`);
  caller.destroy();
  // The answer to a later caller shows that the request before it was handled.
  await callAs({ port: gateway.port, path: paths.repeatable }).result;
  const departed = gateway.decisions.filter(({ request }) => request === 'departed');
  gateway.close();
  server.close();
  assert.deepEqual(
    server.received.map(({ headers }) => headers.get('request-id')),
    ['r1'],
  );
  assert.deepEqual(
    departed.map(({ fields }) => fields.reason),
    ['caller_gone'],
  );
});
