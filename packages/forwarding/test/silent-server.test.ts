/** Answers of sound servers that pause for longer than the inactivity timeout, while no other server can take over. */
import assert from 'node:assert/strict';
import { type Socket } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { createManualClock, type ManualClock } from '@toucanbend/core';
import { paths, startTestGateway, type TestGateway } from './support/gateway.js';
import {
  answerTo,
  callAs,
  type CallerResult,
  firstThen,
  type ReceivedRequest,
  type Script,
  type ScriptedServer,
  startScriptedServer,
} from './support/scripted-server.js';
import { passTimeUntil } from './support/time.js';

const open: { close(): void }[] = [];

afterEach(() => {
  open.splice(0).forEach((item) => {
    item.close();
  });
});

/** Longer than the inactivity timeout of the test routes before and after the first event, in milliseconds. */
const SILENCE_MS = 1_300;
/** Longer than the interval within which crashes count as one, in milliseconds. */
const CRASH_INTERVAL_MS = 110;
/** Longer than the delay of the decision to quarantine a part, in milliseconds. */
const DECIDED_MS = 550;
const TIMEOUT = { timeout: 20_000 };

const event = (id: number): string => `id: ${String(id)}\ndata: token ${String(id)}\n\n`;
const events = (from: number, to: number): string =>
  Array.from({ length: to - from + 1 }, (_, index) => event(from + index)).join('');

function writeChunk(socket: Socket, text: string): void {
  socket.write(`${text.length.toString(16)}\r\n${text}\r\n`);
}

function beginStream(socket: Socket, request: ReceivedRequest): void {
  const lines = [
    'HTTP/1.1 200 OK',
    `request-id: ${request.headers.get('request-id') ?? ''}`,
    'signature: vane-1',
    'content-type: text/event-stream',
    'transfer-encoding: chunked',
  ];
  socket.write(`${lines.join('\r\n')}\r\n\r\n`);
}

/** A server that stops in the middle of its answer until the test lets it continue. */
class PausingServer {
  readonly #before: Script;
  readonly #after: Script;
  #resume: () => void = () => undefined;
  isCancelled = false;

  constructor(before: Script, after: Script) {
    this.#before = before;
    this.#after = after;
  }

  readonly script: Script = (socket, request) => {
    socket.once('close', () => {
      this.isCancelled = true;
    });
    this.#before(socket, request);
    this.#resume = () => {
      this.#after(socket, request);
    };
  };

  resume(): void {
    this.#resume();
  }
}

const pausingStream = (): PausingServer =>
  new PausingServer(
    (socket, request) => {
      beginStream(socket, request);
      writeChunk(socket, events(1, 2));
    },
    (socket) => {
      writeChunk(socket, events(3, 4));
      socket.end('0\r\n\r\n');
    },
  );

const ignore: Script = () => undefined;
const rejectsNotRun: Script = (socket, request) =>
  socket.end(answerTo(request, 'full', { status: 503, headers: ['not-run: 1'] }));

async function until(isTrue: () => boolean): Promise<void> {
  while (!isTrue()) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}

/** Lets events that are under way arrive. */
async function nextTurns(): Promise<void> {
  for (let turn = 0; turn < 50; turn += 1) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}

interface PausedRequest {
  readonly clock: ManualClock;
  readonly servers: readonly ScriptedServer[];
  readonly gateway: TestGateway;
  readonly result: Promise<CallerResult>;
  /** Body that the caller has received so far. */
  body(): string;
  leave(): void;
}

interface PausedRequestOptions {
  readonly clock?: ManualClock;
  readonly serverCount?: number;
  readonly headers?: Record<string, string>;
}

/** Sends a request to two servers or more; the one that gets it first pauses, the others have another script. */
async function startPaused(
  path: string,
  pausing: PausingServer,
  other: Script,
  { clock = createManualClock(), serverCount = 2, headers = {} }: PausedRequestOptions = {},
): Promise<PausedRequest> {
  const script = firstThen(pausing.script, other);
  const servers = await Promise.all(Array.from({ length: serverCount }, () => startScriptedServer(script)));
  const gateway = await startTestGateway(
    servers.map(({ port }) => port),
    { clock },
  );
  open.push(gateway, ...servers);
  let body = '';
  const { result, leave } = callAs({ port: gateway.port, path, headers }, (received) => {
    body = received;
  });
  await until(() => servers.some(({ received }) => received.length > 0));
  return { clock, servers, gateway, result, body: () => body, leave };
}

const totalReceived = (servers: readonly ScriptedServer[]): number =>
  servers.reduce((sum, { received }) => sum + received.length, 0);

describe('a server that is silent for longer than the inactivity timeout', () => {
  it('completes its stream if the other server rejects the request', TIMEOUT, async () => {
    const pausing = pausingStream();
    const request = await startPaused(paths.stream, pausing, rejectsNotRun);
    await until(() => request.body() === events(1, 2));
    request.clock.advance(SILENCE_MS);
    await until(() => totalReceived(request.servers) === 2);
    await until(() => request.gateway.decisions.some(({ fields }) => fields.failure === 'not_run'));
    pausing.resume();
    const answer = await request.result;
    assert.equal(answer.body, events(1, 4));
    assert.equal(answer.isComplete, true);
  });

  it('completes its stream if it continues before the other server answers', TIMEOUT, async () => {
    const pausing = pausingStream();
    const other = new PausingServer(ignore, ignore);
    const request = await startPaused(paths.stream, pausing, other.script);
    await until(() => request.body() === events(1, 2));
    request.clock.advance(SILENCE_MS);
    await until(() => totalReceived(request.servers) === 2);
    pausing.resume();
    const answer = await request.result;
    assert.equal(answer.body, events(1, 4));
    assert.equal(answer.isComplete, true);
    await until(() => other.isCancelled);
  });

  it('is cancelled when the other server continues the stream', TIMEOUT, async () => {
    const pausing = pausingStream();
    const request = await startPaused(paths.stream, pausing, (socket, received) => {
      beginStream(socket, received);
      writeChunk(socket, events(3, 4));
      socket.end('0\r\n\r\n');
    });
    await until(() => request.body() === events(1, 2));
    request.clock.advance(SILENCE_MS);
    const answer = await request.result;
    assert.equal(answer.body, events(1, 4));
    assert.equal(answer.isComplete, true);
    await until(() => pausing.isCancelled);
  });

  it('leaves the stream incomplete if it closes the connection after all', TIMEOUT, async () => {
    const pausing = new PausingServer(pausingStream().script, (socket) => socket.resetAndDestroy());
    const request = await startPaused(paths.stream, pausing, rejectsNotRun);
    await until(() => request.body() === events(1, 2));
    request.clock.advance(SILENCE_MS);
    await until(() => request.gateway.decisions.some(({ fields }) => fields.failure === 'not_run'));
    pausing.resume();
    const answer = await request.result;
    assert.equal(answer.body, events(1, 2));
    assert.equal(answer.isComplete, false);
  });

  it('answers a call whose other server answers with an error', TIMEOUT, async () => {
    const pausing = new PausingServer(ignore, (socket, received) => socket.end(answerTo(received, 'vane')));
    const request = await startPaused(paths.repeatable, pausing, (socket, received) =>
      socket.end(answerTo(received, 'broken', { status: 500 })),
    );
    request.clock.advance(SILENCE_MS);
    await until(() => request.gateway.decisions.some(({ fields }) => fields.detail === 'status 500'));
    pausing.resume();
    const answer = await request.result;
    assert.deepEqual([answer.status, answer.body], [200, 'vane']);
  });

  it('is cancelled with the other server when the caller disconnects', TIMEOUT, async () => {
    const pausing = pausingStream();
    const other = new PausingServer(ignore, ignore);
    const request = await startPaused(paths.stream, pausing, other.script);
    await until(() => request.body() === events(1, 2));
    request.clock.advance(SILENCE_MS);
    await until(() => totalReceived(request.servers) === 2);
    request.leave();
    await until(() => pausing.isCancelled && other.isCancelled);
  });

  it('answers a call whose other server begins an answer and breaks it off', TIMEOUT, async () => {
    const pausing = new PausingServer(ignore, (socket, received) => socket.end(answerTo(received, 'vane')));
    const request = await startPaused(paths.repeatable, pausing, (socket, received) => {
      beginStream(socket, received);
      socket.end();
    });
    request.clock.advance(SILENCE_MS);
    await until(
      () => request.gateway.decisions.filter(({ fields }) => fields.failure === 'in_doubt').length === 2,
    );
    pausing.resume();
    const answer = await request.result;
    assert.deepEqual([answer.status, answer.body], [200, 'vane']);
  });

  it('completes its stream if the other server only repeats events and breaks off', TIMEOUT, async () => {
    const pausing = pausingStream();
    const request = await startPaused(paths.stream, pausing, (socket, received) => {
      beginStream(socket, received);
      writeChunk(socket, event(1));
      socket.end();
    });
    await until(() => request.body() === events(1, 2));
    request.clock.advance(SILENCE_MS);
    await until(
      () => request.gateway.decisions.filter(({ fields }) => fields.failure === 'in_doubt').length === 2,
    );
    pausing.resume();
    const answer = await request.result;
    assert.equal(answer.body, events(1, 4));
    assert.equal(answer.isComplete, true);
  });

  it('completes its stream if a part of its prompt is quarantined meanwhile', TIMEOUT, async () => {
    const pausing = new PausingServer(
      (socket, request) => {
        beginStream(socket, request);
        writeChunk(socket, event(1));
      },
      (socket) => {
        writeChunk(socket, events(2, 4));
        socket.end('0\r\n\r\n');
      },
    );
    const clock = createManualClock();
    const crash: Script = (socket, received) => {
      clock.advance(CRASH_INTERVAL_MS);
      beginStream(socket, received);
      setImmediate(() => socket.resetAndDestroy());
    };
    const headers = { parts: 'workshop,poison', 'prompt-tokens': '2000' };
    const request = await startPaused(paths.stream, pausing, crash, { clock, serverCount: 8, headers });
    await until(() => request.body() === event(1));
    const callWithPart = (id: string): Promise<CallerResult> => {
      const { port } = request.gateway;
      const call = callAs({ port, path: paths.stream, headers: { ...headers, 'request-id': id } });
      return passTimeUntil(clock, call.result);
    };
    await callWithPart('r2');
    await callWithPart('r3');
    clock.advance(DECIDED_MS);
    assert.equal((await callWithPart('r4')).status, 503, 'the part is quarantined');
    clock.advance(SILENCE_MS);
    await nextTurns();
    pausing.resume();
    const answer = await request.result;
    assert.equal(answer.body, events(1, 4));
    assert.equal(answer.isComplete, true);
  });
});
