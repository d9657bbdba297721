/** Requests at an entry that is short of processor time. */
import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';
import { createManualClock, type ManualClock } from '@toucanbend/core';
import { isOverloaded } from '../src/overload.js';
import { paths, startTestGateway } from './support/gateway.js';
import { answerTo, callAs, type CallerResult, startScriptedServer } from './support/scripted-server.js';

const open: { close(): void }[] = [];

afterEach(() => {
  open.splice(0).forEach((item) => {
    item.close();
  });
});

/** A clock that advances with each reading, as time passes for a process that is slow at everything it does. */
function createSlowClock(stepMs: number): ManualClock {
  const clock = createManualClock();
  return {
    ...clock,
    now: () => {
      clock.advance(stepMs);
      return clock.now();
    },
  };
}

async function callSlowEntry(stepMs: number): Promise<{ result: CallerResult; received: number }> {
  const server = await startScriptedServer((socket, request) => socket.end(answerTo(request, 'a vane')));
  const gateway = await startTestGateway([server.port], { clock: createSlowClock(stepMs) });
  open.push(gateway, server);
  const result = await callAs({ port: gateway.port, path: paths.repeatable }).result;
  return { result, received: server.received.length };
}

describe('a request at an entry that is behind with its input', () => {
  it('is rejected at once, so that its caller retries at another entry', async () => {
    const { result, received } = await callSlowEntry(100);
    assert.equal(result.status, 503);
    assert.equal(result.headers['retry-after'], '0.020');
    assert.equal(JSON.parse(result.body).reason, 'overloaded');
    assert.equal(received, 0);
  });

  it('is forwarded if the delay leaves most of its target', async () => {
    const { result, received } = await callSlowEntry(1);
    assert.equal(result.status, 200);
    assert.equal(received, 1);
  });

  it('is rejected the sooner, the shorter its target is', () => {
    const delays = [10, 70, 400];
    assert.deepEqual(
      delays.map((delayMs) => isOverloaded(delayMs, 250)),
      [false, true, true],
    );
    assert.deepEqual(
      delays.map((delayMs) => isOverloaded(delayMs, 1_500)),
      [false, false, true],
    );
  });
});
