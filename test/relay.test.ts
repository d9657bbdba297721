/** The fake network: a connection that lost data passes no later data on, as TCP never delivers a stream with a gap. */
import assert from 'node:assert/strict';
import { createServer, request, type ServerResponse } from 'node:http';
import { type AddressInfo } from 'node:net';
import { test } from 'node:test';
import { freePorts } from '../fakes/ports.js';
import { RelayFault, startRelays } from '../fakes/relay.js';

const ROUTE = 'engine';
/** Turns of the event loop in which data that was written on loopback is read. */
const TURNS = 50;

async function passTurns(): Promise<void> {
  for (let turn = 0; turn < TURNS; turn += 1) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}

/** Sends a request and resolves once the first chunk of the answer has arrived, to all chunks so far. */
function openStream(port: number): Promise<readonly string[]> {
  return new Promise((resolve, reject) => {
    const received: string[] = [];
    const outgoing = request({ host: '127.0.0.1', port, agent: false }, (message) => {
      message.setEncoding('utf8');
      message.on('data', (text: string) => {
        received.push(text);
        resolve(received);
      });
      message.on('error', () => undefined);
    });
    outgoing.on('error', reject);
    outgoing.end();
  });
}

test('an answer with a part that the network dropped does not end as complete', async () => {
  const responses: ServerResponse[] = [];
  const server = createServer((_request, response) => {
    responses.push(response);
    response.write('first');
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const [port = 0] = await freePorts(1);
  const relays = startRelays([{ name: ROUTE, port, target: (server.address() as AddressInfo).port }]);
  try {
    const received = await openStream(port);
    relays.order({ name: ROUTE, fault: RelayFault.Blackhole });
    responses[0]?.write('second');
    await passTurns();
    relays.order({ name: ROUTE, fault: RelayFault.None });
    responses[0]?.end('third');
    assert.deepEqual(await openStream(port), ['first']);
    await passTurns();
    assert.ok(!received.includes('third'), `received ${received.join()}`);
  } finally {
    relays.close();
    server.closeAllConnections();
    server.close();
  }
});
