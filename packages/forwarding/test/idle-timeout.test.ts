/** Requests that arrive on a kept connection about when its idle timeout expires. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect } from 'node:net';
import { afterEach, it } from 'node:test';
import { catalogue, paths, startTestGateway } from './support/gateway.js';
import { answerTo, startScriptedServer } from './support/scripted-server.js';

const open: { close(): void }[] = [];

afterEach(() => {
  open.splice(0).forEach((item) => {
    item.close();
  });
});

const IDLE_TIMEOUT_MS = 1_000;
/** Time that Node adds to the timeout, so that callers close their connections first, in milliseconds. */
const NODE_MARGIN_MS = 1_000;

/** Blocks the event loop, as a process does that gets no processor time. */
function block(forMs: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, forMs);
}

it('a request that arrived before the idle timeout is answered if the entry reads it only afterwards', async () => {
  const server = await startScriptedServer((socket, request) => socket.end(answerTo(request, 'a vane')));
  const gateway = await startTestGateway([server.port]);
  const { limits } = catalogue;
  gateway.callerPort.applyLimits({ ...catalogue, limits: { ...limits, idleTimeoutMs: IDLE_TIMEOUT_MS } });
  const caller = connect(gateway.port, '127.0.0.1');
  open.push(gateway, server, { close: () => caller.destroy() });
  const head = [`POST ${paths.once} HTTP/1.1`, 'host: vanes.example', 'key: key-1', 'content-length: 0'];
  const send = (id: string): void => {
    caller.write([...head, `request-id: ${id}`, '', ''].join('\r\n'));
  };
  const nextAnswer = (): Promise<string> =>
    Promise.race([
      once(caller, 'data').then(([chunk]) => String(chunk)),
      once(caller, 'close').then(() => 'closed'),
    ]).catch((error: unknown) => String(error));
  send('r1');
  assert.match(await nextAnswer(), /^HTTP\/1\.1 200 /);
  send('r2');
  block(IDLE_TIMEOUT_MS + NODE_MARGIN_MS + 100);
  assert.match(await nextAnswer(), /^HTTP\/1\.1 200 /);
});

it('a connection without a request is closed after the idle timeout', async () => {
  const server = await startScriptedServer((socket, request) => socket.end(answerTo(request, 'a vane')));
  const gateway = await startTestGateway([server.port]);
  const { limits } = catalogue;
  gateway.callerPort.applyLimits({ ...catalogue, limits: { ...limits, idleTimeoutMs: 100 } });
  const caller = connect(gateway.port, '127.0.0.1');
  open.push(gateway, server, { close: () => caller.destroy() });
  const head = [`POST ${paths.once} HTTP/1.1`, 'host: vanes.example', 'key: key-1', 'content-length: 0'];
  caller.write([...head, 'request-id: r1', '', ''].join('\r\n'));
  caller.resume();
  await once(caller, 'close');
});
