/** Forwarded requests as callers and backend servers observe them, including all kinds of server failures. */
import assert from 'node:assert/strict';
import { type Socket } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { createManualClock } from '@toucanbend/core';
import { catalogue, paths, startTestGateway, type TestGateway } from './support/gateway.js';
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

const open: { close(): void }[] = [];

afterEach(() => {
  open.splice(0).forEach((item) => {
    item.close();
  });
});

interface TestDeployment {
  readonly gateway: TestGateway;
  readonly servers: readonly ScriptedServer[];
  call(path: string, body?: string): Promise<CallerResult>;
}

async function startDeployment(...scripts: readonly Script[]): Promise<TestDeployment> {
  const servers = await Promise.all(scripts.map(startScriptedServer));
  const gateway = await startTestGateway(servers.map((server) => server.port));
  open.push(gateway, ...servers);
  const call = (path: string, body = ''): Promise<CallerResult> =>
    callAs({ port: gateway.port, path, body }).result;
  return { gateway, servers, call };
}

const totalReceived = (deployment: TestDeployment): number =>
  deployment.servers.reduce((sum, server) => sum + server.received.length, 0);

const succeeds: Script = (socket, request) => socket.end(answerTo(request, 'two copper vanes'));
const rejectsNotRun: Script = (socket, request) =>
  socket.end(answerTo(request, 'full', { status: 503, headers: ['not-run: 1'] }));
const resetsConnection: Script = (socket) => socket.resetAndDestroy();
const omitsSignature: Script = (socket, request) => socket.end(answerTo(request, 'bytes', { headers: [] }));
const truncatesAnswer: Script = (socket, request) =>
  socket.end(answerTo(request, 'two copper vanes').slice(0, -4));
const answersOtherRequest: Script = (socket, request) => {
  const other = { ...request, headers: new Map([['request-id', 'another']]) };
  socket.end(answerTo(other, 'of another caller'));
};
const failed: Script = (socket, request) => socket.end(answerTo(request, 'broken', { status: 500 }));

/** Starts two servers; whichever receives the first request answers it by the faulty script. */
function startWithFaultyFirst(faulty: Script, healthy: Script = succeeds): Promise<TestDeployment> {
  const shared = firstThen(faulty, healthy);
  return startDeployment(shared, shared);
}

const event = (id: number): string => `id: ${String(id)}\ndata: token ${String(id)}\n\n`;
const events = (from: number, to: number): string =>
  Array.from({ length: to - from + 1 }, (_, index) => event(from + index)).join('');

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

function writeChunk(socket: Socket, text: string): void {
  socket.write(`${text.length.toString(16)}\r\n${text}\r\n`);
}

/** Streams the events that follow the request's `last-event-id`, up to `last`. */
function streamTo(last: number): Script {
  return (socket, request) => {
    beginStream(socket, request);
    writeChunk(socket, events(Number(request.headers.get('last-event-id') ?? 0) + 1, last));
    socket.end('0\r\n\r\n');
  };
}

describe('a forwarded request', () => {
  it('keeps its method, path, query and body, and the caller receives the server’s answer unchanged', async () => {
    const deployment = await startDeployment(succeeds);
    const answer = await deployment.call(`${paths.once}a?b=1`, 'a long letter');
    const [received] = deployment.servers[0]?.received ?? [];
    assert.equal(answer.status, 200);
    assert.equal(answer.body, 'two copper vanes');
    assert.equal(answer.headers.signature, 'vane-1');
    assert.equal(received?.path, `${paths.once}a?b=1`);
    assert.equal(received?.body, 'a long letter');
    assert.equal(received?.headers.get('account'), 'workshop');
    assert.equal(received?.headers.get('for-server'), 's0');
    assert.equal(received?.headers.has('key'), false);
  });

  it('grants the server no more time than the timeouts of the caller and the route', async () => {
    const deployment = await startDeployment(succeeds);
    const { port } = deployment.gateway;
    await callAs({ port, path: paths.once, headers: { timeout: '900' } }).result;
    await callAs({ port, path: paths.once, headers: { timeout: '9000' } }).result;
    const left = deployment.servers[0]?.received.map((request) => Number(request.headers.get('time-left')));
    assert.ok(left?.[0] !== undefined && left[0] <= 900);
    assert.ok(left[1] !== undefined && left[1] <= 4_000);
  });

  it('carries the account of its key, not one that the caller sent', async () => {
    const deployment = await startDeployment(succeeds);
    const headers = { account: 'another' };
    await callAs({ port: deployment.gateway.port, path: paths.once, headers }).result;
    assert.equal(deployment.servers[0]?.received[0]?.headers.get('account'), 'workshop');
  });

  it('is rejected for an unknown key, an unknown route or a long body without contacting a server', async () => {
    const deployment = await startDeployment(succeeds);
    const { port } = deployment.gateway;
    assert.equal((await callAs({ port, path: paths.once, headers: { key: 'x' } }).result).status, 401);
    assert.equal((await deployment.call('/nowhere/')).status, 404);
    assert.equal((await deployment.call(paths.once, 'x'.repeat(1_001))).status, 413);
    assert.equal(totalReceived(deployment), 0);
  });

  it('is rejected as not run, with a retry delay, while no catalogue is known', async () => {
    const server = await startScriptedServer(succeeds);
    const gateway = await startTestGateway([server.port], { initialCatalogue: null });
    open.push(server, gateway);
    const answer = await callAs({ port: gateway.port, path: paths.once }).result;
    assert.equal(answer.status, 503);
    assert.ok(Number(answer.headers['retry-after']) > 0);
    assert.equal(server.received.length, 0);
  });

  it('is answered with `connection: close` while the entry drains', async () => {
    const deployment = await startDeployment(succeeds);
    deployment.gateway.startDraining();
    assert.equal((await deployment.call(paths.once)).headers.connection, 'close');
  });
});

describe('an entry that no longer accepts requests', () => {
  it('rejects requests on persistent connections as not run, with a retry delay', async () => {
    const deployment = await startDeployment(succeeds);
    deployment.gateway.startDraining();
    deployment.gateway.stopAccepting();
    const answer = await deployment.call(paths.once);
    assert.equal(answer.status, 503);
    assert.ok(Number(answer.headers['retry-after']) > 0);
    assert.equal(answer.headers.connection, 'close');
    assert.equal(totalReceived(deployment), 0);
  });
});

describe('requests that may run at most once', () => {
  it('are sent to another server after one that did not run them', async () => {
    const deployment = await startWithFaultyFirst(rejectsNotRun);
    assert.equal((await deployment.call(paths.once)).status, 200);
    assert.equal(totalReceived(deployment), 2);
  });

  it('end with 503 and a retry delay if no server ran them', async () => {
    const deployment = await startDeployment(rejectsNotRun, rejectsNotRun);
    const answer = await deployment.call(paths.once);
    assert.equal(answer.status, 503);
    assert.ok(Number(answer.headers['retry-after']) > 0);
  });

  for (const [name, faulty] of Object.entries({
    resetsConnection,
    omitsSignature,
    truncatesAnswer,
    answersOtherRequest,
  })) {
    it(`are neither retried nor reported as not run after an attempt in doubt (${name})`, async () => {
      const deployment = await startWithFaultyFirst(faulty);
      assert.equal((await deployment.call(paths.once)).status, 502);
      assert.equal(totalReceived(deployment), 1);
    });
  }

  it('are answered with the server’s own error response', async () => {
    const deployment = await startWithFaultyFirst(failed);
    const answer = await deployment.call(paths.once);
    assert.equal(answer.status, 500);
    assert.equal(answer.headers.signature, 'vane-1');
    assert.equal(totalReceived(deployment), 1);
  });

  it('are sent to another server if the connection was not established', async () => {
    const gone = await startScriptedServer(succeeds);
    gone.close();
    const server = await startScriptedServer(succeeds);
    const gateway = await startTestGateway([gone.port, server.port]);
    open.push(server, gateway);
    assert.equal((await callAs({ port: gateway.port, path: paths.once }).result).status, 200);
    assert.equal(server.received.length, 1);
  });
});

describe('requests that may be repeated', () => {
  for (const [name, faulty] of Object.entries({
    resetsConnection,
    omitsSignature,
    truncatesAnswer,
    answersOtherRequest,
    failed,
  })) {
    it(`are served by another server after a failure (${name})`, async () => {
      const deployment = await startWithFaultyFirst(faulty);
      const answer = await deployment.call(paths.repeatable);
      assert.equal(answer.status, 200);
      assert.equal(answer.body, 'two copper vanes');
      assert.equal(totalReceived(deployment), 2);
    });
  }

  it('are sent to no more servers than their route allows', async () => {
    const deployment = await startDeployment(resetsConnection, resetsConnection, resetsConnection);
    assert.equal((await deployment.call(paths.repeatable)).status, 502);
    assert.equal(totalReceived(deployment), 2);
  });

  it('end with a server’s own error response if no attempt succeeded', async () => {
    const deployment = await startDeployment(failed, failed);
    const answer = await deployment.call(paths.repeatable);
    assert.equal(answer.status, 500);
    assert.equal(answer.body, 'broken');
  });
});

describe('malformed or unframed answers', () => {
  it('drops bytes after a complete answer', async () => {
    const deployment = await startDeployment((socket, request) =>
      socket.end(`${answerTo(request, 'whole')}HTTP/1.1 200 OK\r\nsignature: x\r\n\r\nmore`),
    );
    const answer = await deployment.call(paths.once);
    assert.equal(answer.status, 200);
    assert.equal(answer.body, 'whole');
  });

  it('forwards a whole answer that has no length with its length', async () => {
    const deployment = await startDeployment((socket, request) =>
      socket.end(answerTo(request, 'to the end', { isFramed: false })),
    );
    const answer = await deployment.call(paths.once);
    assert.equal(answer.body, 'to the end');
    assert.equal(answer.headers['content-length'], '10');
    assert.equal(answer.headers['transfer-encoding'], undefined);
    assert.equal(answer.isComplete, true);
  });

  it('does not forward bytes that are not an HTTP answer', async () => {
    const deployment = await startDeployment((socket) => socket.end('\u0000\u0001 no answer at all\r\n\r\n'));
    assert.equal((await deployment.call(paths.once)).status, 502);
  });
});

describe('streams', () => {
  it('are forwarded completely', async () => {
    const deployment = await startDeployment(streamTo(5));
    const answer = await deployment.call(paths.stream);
    assert.equal(answer.body, events(1, 5));
    assert.equal(answer.isComplete, true);
  });

  it('resume at another server after the last complete event, under the head of the first answer', async () => {
    const interruptsStream: Script = (socket, request) => {
      beginStream(socket, request);
      writeChunk(socket, `${events(1, 3)}id: 4\ndata: tok`);
      setImmediate(() => socket.resetAndDestroy());
    };
    const deployment = await startWithFaultyFirst(interruptsStream, streamTo(6));
    const answer = await deployment.call(paths.stream);
    assert.equal(answer.body, events(1, 6));
    assert.equal(answer.isComplete, true);
    assert.equal(
      deployment.servers
        .flatMap((server) => server.received)
        .at(-1)
        ?.headers.get('last-event-id'),
      '3',
    );
  });

  it('do not end as complete if they were interrupted', async () => {
    const interruptsStream: Script = (socket, request) => {
      beginStream(socket, request);
      writeChunk(socket, events(1, 2));
      setImmediate(() => socket.resetAndDestroy());
    };
    const deployment = await startDeployment(interruptsStream);
    const answer = await deployment.call(paths.stream);
    assert.equal(answer.isComplete, false);
  });

  it('repeat no event that a second server sends again', async () => {
    const interruptsStream: Script = (socket, request) => {
      beginStream(socket, request);
      writeChunk(socket, events(1, 3));
      setImmediate(() => socket.resetAndDestroy());
    };
    const ignoresLastEventId: Script = (socket, request) => {
      beginStream(socket, request);
      writeChunk(socket, events(1, 5));
      socket.end('0\r\n\r\n');
    };
    const deployment = await startWithFaultyFirst(interruptsStream, ignoresLastEventId);
    assert.equal((await deployment.call(paths.stream)).body, events(1, 5));
  });

  it('are cancelled at the server when the caller disconnects', { timeout: 20_000 }, async () => {
    const endless: Script = (socket, request) => {
      beginStream(socket, request);
      writeChunk(socket, events(1, 2));
    };
    const deployment = await startDeployment(endless);
    const { leave, result } = callAs({ port: deployment.gateway.port, path: paths.stream }, () => {
      leave();
    });
    await result;
    await deployment.servers[0]?.whenEnded(1);
    assert.equal(totalReceived(deployment), 1);
  });
});

describe('deadlines and inactivity', () => {
  it(
    'ends a request in doubt with 504 at its deadline, since a server has received it',
    { timeout: 20_000 },
    async () => {
      const server = await startScriptedServer(() => undefined);
      const clock = createManualClock();
      const gateway = await startTestGateway([server.port], { clock });
      open.push(server, gateway);
      const { result } = callAs({ port: gateway.port, path: paths.once, headers: { timeout: '700' } });
      while (server.received.length === 0) {
        await new Promise((resolve) => setImmediate(resolve));
      }
      clock.advance(701);
      assert.equal((await result).status, 504);
    },
  );

  it('keeps waiting for an unresponsive server while no other server is available', async () => {
    let answer = (): void => undefined;
    const server = await startScriptedServer((socket, request) => {
      beginStream(socket, request);
      answer = () => {
        writeChunk(socket, events(1, 2));
        socket.end('0\r\n\r\n');
      };
    });
    const clock = createManualClock();
    const gateway = await startTestGateway([server.port], { clock });
    open.push(server, gateway);
    const { result } = callAs({ port: gateway.port, path: paths.stream });
    while (server.received.length === 0) {
      await new Promise((resolve) => setImmediate(resolve));
    }
    clock.advance(3_500);
    answer();
    assert.equal((await result).body, events(1, 2));
  });
});

describe('an entry that has just started', () => {
  it('serves a request that arrived before its first configuration', async () => {
    const server = await startScriptedServer(succeeds);
    const gateway = await startTestGateway([server.port], {
      initialCatalogue: null,
      waitsForCatalogue: true,
    });
    open.push(server, gateway);
    const { result } = callAs({ port: gateway.port, path: paths.repeatable, body: '' });
    assert.equal(server.received.length, 0);
    gateway.setCatalogue(catalogue);
    assert.equal((await result).status, 200);
  });
});

describe('an exception in the process of one request', () => {
  it('ends that request, and no other, as one that may have run', async () => {
    const deployment = await startDeployment(succeeds);
    const port = deployment.gateway.port;
    const faulty = await callAs({ port, path: paths.once, body: '', headers: { 'injected-fault': '1' } })
      .result;
    assert.equal(faulty.status, 502);
    assert.equal((await deployment.call(paths.once)).status, 200);
    const ends = deployment.gateway.decisions.filter((line) => line.fields.reason === 'internal_fault');
    assert.equal(ends.length, 1);
  });
});

describe('an exception while a request is read', () => {
  it('ends that request as not run, and no other', async () => {
    const deployment = await startDeployment(succeeds);
    const { port } = deployment.gateway;
    const headers = { 'injected-head-fault': '1' };
    const faulty = await callAs({ port, path: paths.once, headers }).result;
    assert.deepEqual([faulty.status, JSON.parse(faulty.body).reason], [503, 'internal_fault']);
    assert.equal((await deployment.call(paths.once)).status, 200);
  });
});
