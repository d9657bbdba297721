/** A request in flight on whose connection something follows that is not a request. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { catalogue, paths, startTestGateway } from './support/gateway.js';
import { answerTo, startScriptedServer } from './support/scripted-server.js';

const open: { close(): void }[] = [];

afterEach(() => {
  open.splice(0).forEach((item) => {
    item.close();
  });
});

const HEAD = [
  `POST ${paths.once} HTTP/1.1`,
  'host: vanes.example',
  'request-id: r1',
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

describe('a request that has reached a server', () => {
  for (const [name, next] of [
    ['a head that stays incomplete until the header timeout', HEAD.slice(0, 30)],
    ['bytes that are not a request', 'vane\r\n\r\n'],
  ] as const) {
    it(`is not answered by the error of what follows it: ${name}`, { timeout: 10_000 }, async () => {
      const answers: (() => void)[] = [];
      const server = await startScriptedServer((socket, request) => {
        answers.push(() => socket.end(answerTo(request, 'a vane')));
      });
      const gateway = await startTestGateway([server.port]);
      const limits = { ...catalogue.limits, headerTimeoutMs: 100 };
      gateway.callerPort.applyLimits({ ...catalogue, limits });
      const caller = connect(gateway.port, '127.0.0.1');
      caller.on('error', () => undefined);
      open.push(gateway, server, { close: () => caller.destroy() });
      let text = '';
      let isClosed = false;
      caller.on('data', (chunk: Buffer) => (text += chunk.toString('latin1')));
      caller.on('close', () => (isClosed = true));
      await once(caller, 'connect');
      caller.write(HEAD);
      await until(() => answers.length === 1);
      caller.write(next);
      // The entry checks the header timeout at intervals of half a second, by Node's own clock.
      const waited = new Promise((resolve) => setTimeout(resolve, 1_200));
      await Promise.race([waited, until(() => isClosed)]);
      answers[0]?.();
      await until(() => isClosed || text.includes('a vane'));
      assert.doesNotMatch(text, /^HTTP\/1.1 4/, 'the error promises that the first request has not run');
      assert.match(text, /a vane/);
    });
  }
});
