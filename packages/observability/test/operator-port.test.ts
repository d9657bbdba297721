/** Requests at the operator port that must not end the process. */
import assert from 'node:assert/strict';
import { type Server } from 'node:http';
import { type AddressInfo, connect } from 'node:net';
import { afterEach, it } from 'node:test';
import { openOperatorPort, type OperatorPortOptions } from '@toucanbend/observability';
import { silentLogger } from '../../../fakes/silent-logger.js';

const servers: Server[] = [];

afterEach(() => {
  servers.splice(0).forEach((server) => {
    server.close();
    server.closeAllConnections();
  });
});

async function start(options: Partial<OperatorPortOptions> = {}): Promise<string> {
  const server = await openOperatorPort({
    host: '127.0.0.1',
    port: 0,
    metrics: { text: () => Promise.resolve('metrics') },
    logger: { ...silentLogger, explain: (requestId: string) => [{ requestId }] as never },
    isReady: () => true,
    status: () => ({}),
    ...options,
  });
  servers.push(server);
  return `http://127.0.0.1:${String((server.address() as AddressInfo).port)}`;
}

it('an id that is not percent-encoded is answered with 400, and the next request is served', async () => {
  const address = await start();
  for (const id of ['%', '%ff', 'a%2']) {
    assert.equal((await fetch(`${address}/explain/${id}`)).status, 400, id);
  }
  assert.equal(await (await fetch(`${address}/explain/a%20b`)).text(), '[{"requestId":"a b"}]\n');
});

it('a request whose answer cannot be made ends alone', async () => {
  const address = await start({ metrics: { text: () => Promise.reject(new Error('no metrics')) } });
  await assert.rejects(fetch(`${address}/metrics`));
  assert.equal((await fetch(`${address}/health`)).status, 200);
});

it('answers to requests that come at once leave turns of the event loop to other work between them', async () => {
  let turn = 0;
  let isOpen = true;
  const countTurns = (): void => {
    turn += 1;
    if (isOpen) {
      setImmediate(countTurns);
    }
  };
  const answeredIn: number[] = [];
  const text = (): Promise<string> => {
    answeredIn.push(turn);
    return Promise.resolve('metrics');
  };
  const address = new URL(await start({ metrics: { text } }));
  const clients = Array.from({ length: 5 }, () => connect(Number(address.port), '127.0.0.1'));
  countTurns();
  clients.forEach((client) => client.write('GET /metrics HTTP/1.1\r\nhost: x\r\n\r\n'.repeat(8)));
  while (answeredIn.length < 40) {
    await new Promise((resolve) => setImmediate(resolve));
  }
  isOpen = false;
  clients.forEach((client) => client.destroy());
  assert.equal(new Set(answeredIn).size, 40);
});
