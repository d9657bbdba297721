/** A stream whose memory the engines list as unused for a time, as they do for a request that they have preempted. */
import assert from 'node:assert/strict';
import { connect, type Socket } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { MemoryOrder } from '@toucanbend/forwarding';
import { type Catalogue } from '@toucanbend/registry';
import { RestrictionUpdateKind } from '@toucanbend/restrictions';
import { smallEngine } from '../../../fakes/engine-parameters.js';
import { bounds, TestEngines } from './support/engines.js';
import { catalogue, paths, startTestGateway, type TestGateway } from './support/gateway.js';
import {
  answerTo,
  callAs,
  type CallerResult,
  firstThen,
  type Script,
  startScriptedServer,
} from './support/scripted-server.js';

const open: { close(): void }[] = [];

afterEach(() => {
  open.splice(0).forEach((item) => {
    item.close();
  });
});

const ENGINE_COUNT = 4;
const DEADLINE_MS = 15_000;
/** More tokens than the memory of one engine holds. */
const PROMPT_TOKENS = 1.5 * smallEngine.memoryTokens;
/** Longer than an engine must list memory as unused until the entry releases it, in milliseconds. */
const UNUSED_MS = 2_000;

const engines: Catalogue = {
  ...catalogue,
  routes: catalogue.routes.map((route) => ({ ...route, targetMs: 6_000, timeoutMs: DEADLINE_MS })),
  services: [{ name: 'vanes', maxConnections: 10, engine: smallEngine }],
};

/** Turns of the event loop without progress after which a connection is taken to be blocked. */
const QUIET_TURNS = 500;

const event = (id: number): string => `id: ${String(id)}\ndata: token ${String(id)}\n\n`;
const rejectsNotRun: Script = (socket, request) =>
  socket.end(answerTo(request, 'full', { status: 503, headers: ['not-run: 1'] }));

async function until(isTrue: () => boolean): Promise<void> {
  while (!isTrue() && open.length > 0) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}

/** Waits until a number of bytes is not 0 and no longer changes. */
async function untilSteady(read: () => number): Promise<void> {
  let last = 0;
  for (let quietTurns = 0; quietTurns < QUIET_TURNS || last === 0; quietTurns += 1) {
    await new Promise((resolve) => setImmediate(resolve));
    if (read() !== last) {
      last = read();
      quietTurns = 0;
    }
  }
}

interface IdleStream {
  readonly memory: TestEngines;
  readonly gateway: TestGateway;
  readonly result: Promise<CallerResult>;
  /** Has the first server write an event, and waits until the caller has it. */
  writeEvent(id: number): Promise<void>;
  /** Has the first server end its answer. */
  end(): void;
}

/** Starts a stream whose first server has written one event; all other servers reject the request. */
async function startStream(eventCount: number): Promise<IdleStream> {
  const all = Array.from({ length: eventCount }, (_, index) => event(index + 1)).join('');
  let first: Socket | undefined;
  const begins: Script = (socket, request) => {
    first = socket;
    socket.write(answerTo(request, all).slice(0, event(1).length - all.length));
  };
  const script = firstThen(begins, rejectsNotRun);
  const servers = await Promise.all(Array.from({ length: ENGINE_COUNT }, () => startScriptedServer(script)));
  const memory = new TestEngines();
  const gateway = await startTestGateway(
    servers.map(({ port }) => port),
    { initialCatalogue: engines, clock: memory.clock, memory },
  );
  open.push(gateway, ...servers);
  const headers = { 'prompt-tokens': String(PROMPT_TOKENS), timeout: String(DEADLINE_MS) };
  let body = '';
  let isEnded = false;
  const { result } = callAs({ port: gateway.port, path: paths.stream, headers }, (text) => (body = text));
  void result.then(() => (isEnded = true));
  await until(() => body === event(1));
  return {
    memory,
    gateway,
    result,
    writeEvent: async (id) => {
      first?.write(event(id));
      await until(() => isEnded || body.endsWith(event(id)));
    },
    end: () => {
      first?.end();
    },
  };
}

async function listAsUsedThenUnused(memory: TestEngines): Promise<void> {
  memory.use('r1-1', true);
  await memory.advance(UNUSED_MS);
  memory.use('r1-1', false);
  await memory.advance(UNUSED_MS);
}

describe('a stream whose memory the engines list as unused', () => {
  it('goes on at its server if no other server continues it', { timeout: 20_000 }, async () => {
    const { memory, result, writeEvent, end } = await startStream(2);
    await listAsUsedThenUnused(memory);
    await memory.advance(0);
    await writeEvent(2);
    end();
    const answer = await result;
    assert.equal(answer.body, event(1) + event(2));
    assert.equal(answer.isComplete, true);
  });

  it('goes on at its server if that sends further events', { timeout: 20_000 }, async () => {
    const eventCount = 6;
    const { memory, gateway, result, writeEvent, end } = await startStream(eventCount);
    const setLimits = (perSecond: number | undefined): void => {
      const nowMs = memory.clock.now();
      for (let index = 0; index < ENGINE_COUNT; index += 1) {
        gateway.receiveRestriction({
          kind: RestrictionUpdateKind.Limit,
          server: `s${String(index)}`,
          bornAtMs: 0,
          perSecond,
          statedAtMs: nowMs,
          usedUntilMs: nowMs + DEADLINE_MS,
        });
      }
    };
    // No server can replace the first one before it sends further events.
    setLimits(1);
    await listAsUsedThenUnused(memory);
    await writeEvent(2);
    setLimits(undefined);
    for (let id = 3; id <= eventCount; id += 1) {
      await memory.advance(200);
      await writeEvent(id);
    }
    end();
    const answer = await result;
    assert.equal(answer.body, Array.from({ length: eventCount }, (_, index) => event(index + 1)).join(''));
    assert.equal(answer.isComplete, true);
  });

  it(
    'has its memory renewed while it sends events, also if the engines do not list it',
    { timeout: 20_000 },
    async () => {
      const eventCount = 30;
      const { memory, writeEvent, end, result } = await startStream(eventCount);
      memory.use('r1-1', true);
      const servers = Array.from({ length: ENGINE_COUNT }, (_, index) => `s${String(index)}`);
      const reservedAt = servers.filter((server) => memory.count(server, MemoryOrder.Reserve) === 1);
      assert.ok(reservedAt.length > 0);
      servers.forEach((server) => {
        memory.stopAnswering(server);
      });
      for (let id = 2; id <= eventCount; id += 1) {
        await memory.advance(200);
        await writeEvent(id);
      }
      const renewedAt = servers.filter((server) => memory.count(server, MemoryOrder.Reserve) > 1);
      assert.deepEqual(renewedAt, reservedAt);
      end();
      assert.equal((await result).isComplete, true);
    },
  );

  it('has it freed in time if the last events have waited at the entry for a slow caller', async () => {
    const eventCount = 2_048;
    const events = Array.from({ length: eventCount }, (_, index) =>
      event(index + 1).replace('token', 'v'.repeat(16_384)),
    );
    const sentBytesOf = (socket: Socket): number => socket.bytesWritten - socket.writableLength;
    let first: Socket | undefined;
    /** Sends all events but the last one, as fast as the entry reads them. */
    const sendsAllButTheEnd: Script = (socket, request) => {
      first = socket;
      const answer = answerTo(request, events.join(''));
      socket.write(answer.slice(0, answer.indexOf('\r\n\r\n') + 4));
      let next = 0;
      const write = (): void => {
        while (next < eventCount - 1 && !socket.writableNeedDrain) {
          socket.write(events[next] ?? '');
          next += 1;
        }
        if (next < eventCount - 1) {
          socket.once('drain', write);
        }
      };
      write();
    };
    const script = firstThen(sendsAllButTheEnd, rejectsNotRun);
    const servers = await Promise.all(
      Array.from({ length: ENGINE_COUNT }, () => startScriptedServer(script)),
    );
    const memory = new TestEngines();
    const gateway = await startTestGateway(
      servers.map(({ port }) => port),
      { initialCatalogue: engines, clock: memory.clock, memory },
    );
    const caller = connect(gateway.port, '127.0.0.1');
    open.push(gateway, ...servers, { close: () => caller.destroy() });
    const lines = [
      `POST ${paths.stream} HTTP/1.1`,
      'host: vanes.example',
      'key: key-1',
      'request-id: r1',
      `prompt-tokens: ${String(PROMPT_TOKENS)}`,
      `answer-tokens: ${String(4 * eventCount)}`,
      `timeout: ${String(DEADLINE_MS)}`,
      'content-length: 0',
    ];
    caller.write([...lines, '', ''].join('\r\n'));
    await untilSteady(() => (first === undefined ? 0 : sentBytesOf(first)));
    memory.use('r1-1', false);
    for (let index = 0; index < ENGINE_COUNT; index += 1) {
      memory.stopAnswering(`s${String(index)}`);
    }
    const endAtMs = memory.clock.now();
    await memory.advance(2_500);
    const lastSent = `id: ${String(eventCount - 1)}\n`;
    await new Promise<void>((resolve) => {
      let tail = '';
      caller.on('data', (chunk: Buffer) => {
        tail = (tail + chunk.toString('latin1')).slice(-2 * 16_384);
        if (tail.includes(lastSent)) {
          resolve();
        }
      });
    });
    await memory.advance(DEADLINE_MS);
    assert.equal(memory.longestHoldAfter('r1-1', endAtMs + bounds.maxReleaseDelayMs), 0);
  });
});
