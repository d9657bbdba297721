/** A watch whose response has no end of a line must not be kept; its connection is closed, and it is opened again. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer } from 'node:http';
import { type AddressInfo } from 'node:net';
import { it } from 'node:test';
import { createManualClock } from '@toucanbend/core';
import { HttpKeyValueStore } from '@toucanbend/store';
import { writeForever } from '../../../fakes/endless.js';

it(
  'a watch whose response has no end of a line is closed and opened again',
  { timeout: 10_000 },
  async () => {
    let watches = 0;
    let resolveClosed = (): void => undefined;
    const whenClosed = new Promise<void>((resolve) => {
      resolveClosed = resolve;
    });
    const server = createServer((_request, response) => {
      watches += 1;
      if (watches === 1) {
        response.on('close', resolveClosed);
        writeForever(response, 'copper vane ');
      } else {
        const kv = { key: Buffer.from('k').toString('base64'), value: '', mod_revision: 7 };
        response.write(`${JSON.stringify({ result: { events: [{ kv }] } })}\n`);
      }
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const clock = createManualClock();
    const store = new HttpKeyValueStore(`127.0.0.1:${String((server.address() as AddressInfo).port)}`, clock);
    const revision = await new Promise<number>((resolve) => {
      const stop = store.watch('k', ({ modRevision }) => {
        stop();
        resolve(modRevision);
      });
      void whenClosed.then(function pass() {
        clock.advance(100);
        if (watches === 1) {
          setImmediate(pass);
        }
      });
    });
    assert.equal(revision, 7);
    server.close();
    server.closeAllConnections();
  },
);
