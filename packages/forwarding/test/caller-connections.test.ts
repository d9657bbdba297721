/** What the record of connections keeps of the requests on a connection that stays open. */
import assert from 'node:assert/strict';
import { EventEmitter } from 'node:events';
import { type IncomingMessage, type ServerResponse } from 'node:http';
import { type Socket } from 'node:net';
import { it } from 'node:test';
import { createManualClock } from '@toucanbend/core';
import { createCallerConnections } from '../src/caller-connections.js';

it('keeps no listener on a connection for a request that has ended', async () => {
  const connections = createCallerConnections(createManualClock());
  const socket = new EventEmitter() as Socket;
  connections.accepted(socket);
  const listenersBefore = socket.listenerCount('close');
  for (let requests = 0; requests < 50; requests += 1) {
    const response = new EventEmitter() as ServerResponse;
    await connections.received({ socket } as IncomingMessage, response).whenEarlierEnded;
    response.emit('close');
  }
  await Promise.resolve();
  assert.equal(socket.listenerCount('close'), listenersBefore);
  assert.equal(connections.requestCount(), 0);
});
