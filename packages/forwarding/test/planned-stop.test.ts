/** Requests in all states while the port for callers closes before the process ends. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { paths, startTestGateway, type TestGateway, type TestGatewayOptions } from './support/gateway.js';
import {
  answerTo,
  type Script,
  type ScriptedServer,
  startScriptedServer,
} from './support/scripted-server.js';

const open: { close(): void }[] = [];

afterEach(() => {
  open.splice(0).forEach((item) => {
    item.close();
  });
});

interface TestDeployment {
  readonly gateway: TestGateway;
  readonly server: ScriptedServer;
}

async function startDeployment(script: Script, options: TestGatewayOptions = {}): Promise<TestDeployment> {
  const server = await startScriptedServer(script);
  const gateway = await startTestGateway([server.port], options);
  open.push(gateway, server);
  return { gateway, server };
}

const headOf = (path: string, length = 0): string =>
  [
    `POST ${path} HTTP/1.1`,
    'host: vanes.example',
    'request-id: r1',
    'key: key-1',
    `content-length: ${String(length)}`,
    '',
    '',
  ].join('\r\n');

async function connectTo(gateway: TestGateway): Promise<Socket> {
  const caller = connect(gateway.port, '127.0.0.1');
  caller.on('error', () => undefined);
  open.push({ close: () => caller.destroy() });
  await once(caller, 'connect');
  return caller;
}

/** What a caller reads from its connection. */
interface Reader {
  text(): string;
  isClosed(): boolean;
}

function startReading(caller: Socket): Reader {
  const chunks: Buffer[] = [];
  let isClosed = false;
  caller.on('data', (chunk: Buffer) => chunks.push(chunk));
  caller.on('close', () => {
    isClosed = true;
  });
  caller.resume();
  return { text: () => Buffer.concat(chunks).toString('latin1'), isClosed: () => isClosed };
}

const bodyOf = (text: string): string => text.slice(text.indexOf('\r\n\r\n') + 4);

async function until(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}

/** Length of an answer that exceeds what the sockets of a connection buffer, in bytes. */
const LARGE_ANSWER_BYTES = 8_000_000;

describe('the port for callers, when it stops listening', () => {
  it('delivers the rest of an answer that its caller reads slowly', async () => {
    const large = 'v'.repeat(LARGE_ANSWER_BYTES);
    const { gateway } = await startDeployment((socket, request) => socket.end(answerTo(request, large)));
    const caller = await connectTo(gateway);
    caller.pause();
    caller.write(headOf(paths.once));
    await until(() => gateway.decisions.some(({ fields }) => fields.reason === 'answered'));
    gateway.callerPort.stopListening();
    const reader = startReading(caller);
    await until(() => reader.isClosed() || caller.bytesRead > LARGE_ANSWER_BYTES);
    await until(() => reader.isClosed() || bodyOf(reader.text()).length >= LARGE_ANSWER_BYTES);
    assert.equal(bodyOf(reader.text()).length, LARGE_ANSWER_BYTES);
  });
});
