/** Requests in all states beside each kind of change of the catalogue. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { createManualClock, type ManualClock } from '@toucanbend/core';
import { type Catalogue, type Route } from '@toucanbend/registry';
import { catalogue, paths, startTestGateway, type TestGateway } from './support/gateway.js';
import {
  answerTo,
  firstThen,
  type ReceivedRequest,
  type Script,
  startScriptedServer,
} from './support/scripted-server.js';

const open: { close(): void }[] = [];

afterEach(() => {
  open.splice(0).forEach((item) => {
    item.close();
  });
});

/** The catalogue before each change, with targets that let requests wait for a server. */
const before: Catalogue = {
  ...catalogue,
  routes: catalogue.routes.map((route) => ({ ...route, targetMs: 20_000, timeoutMs: 30_000 })),
};

const withRoutes = (change: (route: Route) => Partial<Route>): Catalogue => ({
  ...before,
  routes: before.routes.map((route) => ({ ...route, ...change(route) })),
});

const otherService = { name: 'other', maxConnections: 10, engine: undefined };
const manyRoutes = Array.from({ length: 600 }, (_, index) => ({
  ...(before.routes[0] as Route),
  name: `route-${String(index)}`,
  pathPrefix: `/route-${String(index)}/`,
}));

const changes: Readonly<Record<string, Catalogue>> = {
  'the routes move to a service without servers': {
    ...withRoutes(() => ({ targets: [{ service: 'other', weight: 1 }] })),
    services: [...before.services, otherService],
  },
  'the weights of the routes change': {
    ...withRoutes(() => ({
      targets: [
        { service: 'vanes', weight: 1 },
        { service: 'other', weight: 99 },
      ],
    })),
    services: [...before.services, otherService],
  },
  'the timeouts become shorter': withRoutes(() => ({ timeoutMs: 1_000, targetMs: 10, targetPauseMs: 1 })),
  'the timeouts become longer': withRoutes(() => ({ timeoutMs: 90_000, targetMs: 60_000 })),
  'the ranks and attempts change': withRoutes(() => ({ rank: 7, attempts: 1 })),
  'the key is replaced': { ...before, accounts: [{ name: 'workshop', keys: ['key-2'], rank: undefined }] },
  'the account is replaced': { ...before, accounts: [{ name: 'other', keys: ['key-1'], rank: 3 }] },
  'all accounts are removed': { ...before, accounts: [] },
  'the routes become public': withRoutes(() => ({ isPublic: true })),
  'the limits become shorter': {
    ...before,
    limits: { maxHeaderBytes: 1_024, maxBodyBytes: 4, headerTimeoutMs: 100, idleTimeoutMs: 100 },
  },
  'the limits become longer': {
    ...before,
    limits: { maxHeaderBytes: 65_536, maxBodyBytes: 9_000, headerTimeoutMs: 30_000, idleTimeoutMs: 60_000 },
  },
  'the parameters of the service change': {
    ...before,
    services: [{ name: 'vanes', maxConnections: 1, engine: undefined }],
  },
  'the routes are removed': { ...before, routes: [] },
  'the service is removed': { ...before, services: [] },
  'hundreds of routes are added': { ...before, routes: [...before.routes, ...manyRoutes] },
};

interface Caller {
  readonly socket: Socket;
  /** Resolves with the next answer on the connection, or with what has arrived when it closes. */
  nextAnswer(): Promise<string>;
}

/** Returns the first answer in a text and the rest; undefined if it is not complete. */
function splitAnswer(text: string): readonly [string, string] | undefined {
  const head = text.indexOf('\r\n\r\n') + 4;
  if (head < 4) {
    return undefined;
  }
  const length = /content-length: (\d+)/i.exec(text.slice(0, head))?.[1];
  const isChunked = /transfer-encoding: chunked/i.test(text.slice(0, head));
  const last = isChunked ? text.indexOf('0\r\n\r\n', head) + 5 : head + Number(length ?? 0);
  return (isChunked && last < head + 5) || text.length < last
    ? undefined
    : [text.slice(0, last), text.slice(last)];
}

async function connectTo(gateway: TestGateway): Promise<Caller> {
  const socket = connect(gateway.port, '127.0.0.1');
  open.push({ close: () => socket.destroy() });
  let text = '';
  socket.on('error', () => undefined);
  socket.setEncoding('latin1').on('data', (chunk: string) => (text += chunk));
  await once(socket, 'connect');
  return {
    socket,
    nextAnswer: async () => {
      for (;;) {
        const split = splitAnswer(text);
        if (split !== undefined) {
          text = split[1];
          return split[0];
        }
        if (socket.closed) {
          return `closed after: ${text}`;
        }
        await new Promise((resolve) => setImmediate(resolve));
      }
    },
  };
}

function headOf(path: string, id: string, length = 0): string {
  const lines = [`POST ${path} HTTP/1.1`, 'host: vanes.example', `request-id: ${id}`, 'key: key-1'];
  return [...lines, `content-length: ${String(length)}`, '', ''].join('\r\n');
}

async function until(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}

interface Deployment {
  readonly gateway: TestGateway;
  readonly clock: ManualClock;
  apply(change: Catalogue): void;
}

async function startDeployment(script: Script): Promise<Deployment> {
  const clock = createManualClock();
  const server = await startScriptedServer(script);
  const gateway = await startTestGateway([server.port], { clock, initialCatalogue: before });
  gateway.callerPort.applyLimits(before);
  open.push(server, gateway);
  return {
    gateway,
    clock,
    apply: (change) => {
      gateway.setCatalogue(change);
      gateway.callerPort.applyLimits(change);
    },
  };
}

/** Runs the timers for the present time until an answer has arrived. */
async function advanceUntilAnswered(clock: ManualClock, answer: Promise<string>): Promise<string> {
  let isDone = false;
  const done = answer.finally(() => {
    isDone = true;
  });
  await until(() => {
    clock.advance(10);
    return isDone;
  });
  return done;
}

const FIRST_EVENT = 'id: 1\ndata: token 1\n\n';
const LAST_EVENT = 'id: 2\ndata: token 2\n\n';

/** Holds the answers of requests whose ids begin with `held` until they are released; answers others at once. */
function createHoldingScript(): { script: Script; held: Map<string, () => void> } {
  const held = new Map<string, () => void>();
  const answer = (request: ReceivedRequest): string => answerTo(request, `${FIRST_EVENT}${LAST_EVENT}`);
  const script: Script = (socket, request) => {
    const id = request.headers.get('request-id') ?? '';
    const text = answer(request);
    const isStream = request.path === paths.stream;
    const sent = id.startsWith('held') ? (isStream ? text.length - LAST_EVENT.length : 0) : text.length;
    socket.write(text.slice(0, sent));
    held.set(id, () => socket.write(text.slice(sent)));
  };
  return { script, held };
}

const isAnswer = (text: string): boolean => /^HTTP\/1\.1 [2-5]\d\d /.test(text);

for (const [name, change] of Object.entries(changes)) {
  describe(`when ${name}`, () => {
    it('a request whose head is half read gets an answer', async () => {
      const { gateway, apply } = await startDeployment(createHoldingScript().script);
      const { socket, nextAnswer } = await connectTo(gateway);
      const head = headOf(paths.once, 'r1');
      socket.write(head.slice(0, 40));
      await until(() => gateway.callerPort.busyConnections() === 1);
      apply(change);
      socket.write(head.slice(40));
      assert.ok(isAnswer(await nextAnswer()));
    });

    it('a request whose body is half read gets an answer', async () => {
      const { gateway, apply } = await startDeployment(createHoldingScript().script);
      const { socket, nextAnswer } = await connectTo(gateway);
      socket.write(`${headOf(paths.once, 'r1', 8)}half`);
      await until(() => gateway.callerPort.inFlight() === 1);
      apply(change);
      socket.write('half');
      assert.ok(isAnswer(await nextAnswer()));
    });

    it('a request that waits for a server gets an answer', async () => {
      const turnsAwayFirst = firstThen((socket, request) => {
        const headers = ['not-run: 1', 'back-off-ms: 1000'];
        socket.end(answerTo(request, 'full', { status: 503, headers }));
      }, createHoldingScript().script);
      const { gateway, clock, apply } = await startDeployment(turnsAwayFirst);
      const { socket, nextAnswer } = await connectTo(gateway);
      socket.write(headOf(paths.once, 'r1'));
      assert.match(await nextAnswer(), / 503 /);
      socket.write(headOf(paths.once, 'r2'));
      await until(() => gateway.decisions.some(({ fields }) => fields.decided === 'wait'));
      apply(change);
      const answer = await advanceUntilAnswered(clock, nextAnswer());
      assert.ok(isAnswer(answer), answer);
    });

    for (const path of [paths.once, paths.repeatable, paths.stream]) {
      it(`a request on ${path} that a server has begun to answer gets the whole answer`, async () => {
        const { script, held } = createHoldingScript();
        const { gateway, apply } = await startDeployment(script);
        const { socket, nextAnswer } = await connectTo(gateway);
        socket.write(headOf(path, 'held-1'));
        await until(() => held.has('held-1'));
        apply(change);
        held.get('held-1')?.();
        const answer = await nextAnswer();
        assert.match(answer, /^HTTP\/1\.1 200 /);
        assert.ok(answer.includes('token 1') && answer.includes('token 2'), answer);
      });
    }

    it('a connection that was kept open takes another request', async () => {
      const { gateway, apply } = await startDeployment(createHoldingScript().script);
      const { socket, nextAnswer } = await connectTo(gateway);
      socket.write(headOf(paths.once, 'r1'));
      assert.match(await nextAnswer(), /^HTTP\/1\.1 200 /);
      apply(change);
      socket.write(headOf(paths.once, 'r2'));
      assert.ok(isAnswer(await nextAnswer()));
    });
  });
}
