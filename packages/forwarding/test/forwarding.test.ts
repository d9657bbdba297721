/** What callers and backend servers see of forwarded requests, when servers fail in every way. */
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
} from './support/stand-in.js';

const open: { close(): void }[] = [];

afterEach(() => {
  open.splice(0).forEach((item) => {
    item.close();
  });
});

interface Fleet {
  readonly gateway: TestGateway;
  readonly servers: readonly ScriptedServer[];
  call(path: string, body?: string): Promise<CallerResult>;
}

async function startFleet(...scripts: readonly Script[]): Promise<Fleet> {
  const servers = await Promise.all(scripts.map(startScriptedServer));
  const gateway = await startTestGateway(servers.map((server) => server.port));
  open.push(gateway, ...servers);
  const call = (path: string, body = ''): Promise<CallerResult> =>
    callAs({ port: gateway.port, path, body }).result;
  return { gateway, servers, call };
}

const totalReceived = (fleet: Fleet): number =>
  fleet.servers.reduce((sum, server) => sum + server.received.length, 0);

const well: Script = (socket, request) => socket.end(answerTo(request, 'two copper vanes'));
const full: Script = (socket, request) =>
  socket.end(answerTo(request, 'full', { status: 503, headers: ['not-run: 1'] }));
const silentReset: Script = (socket) => socket.resetAndDestroy();
const unsigned: Script = (socket, request) => socket.end(answerTo(request, 'bytes', { headers: [] }));
const cutShort: Script = (socket, request) => socket.end(answerTo(request, 'two copper vanes').slice(0, -4));
const otherRequest: Script = (socket, request) => {
  const other = { ...request, headers: new Map([['request-id', 'another']]) };
  socket.end(answerTo(other, 'of another caller'));
};
const failed: Script = (socket, request) => socket.end(answerTo(request, 'broken', { status: 500 }));

/** A fleet of two servers of which whichever is asked first behaves badly. */
function startWithBadFirst(bad: Script, good: Script = well): Promise<Fleet> {
  const shared = firstThen(bad, good);
  return startFleet(shared, shared);
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

/** Streams events up to a last one, after the last that the request names. */
function streamTo(last: number): Script {
  return (socket, request) => {
    beginStream(socket, request);
    writeChunk(socket, events(Number(request.headers.get('last-event-id') ?? 0) + 1, last));
    socket.end('0\r\n\r\n');
  };
}

describe('what is forwarded', () => {
  it('passes method, path, query, body and the server’s answer on unchanged', async () => {
    const fleet = await startFleet(well);
    const answer = await fleet.call(`${paths.once}a?b=1`, 'a long letter');
    const [received] = fleet.servers[0]?.received ?? [];
    assert.equal(answer.status, 200);
    assert.equal(answer.body, 'two copper vanes');
    assert.equal(answer.headers.signature, 'vane-1');
    assert.equal(received?.path, `${paths.once}a?b=1`);
    assert.equal(received?.body, 'a long letter');
    assert.equal(received?.headers.get('account'), 'workshop');
    assert.equal(received?.headers.get('for-server'), 's0');
    assert.equal(received?.headers.has('key'), false);
  });

  it('gives the server no more time than the caller and the route leave', async () => {
    const fleet = await startFleet(well);
    const { port } = fleet.gateway;
    await callAs({ port, path: paths.once, headers: { patience: '900' } }).result;
    await callAs({ port, path: paths.once, headers: { patience: '9000' } }).result;
    const left = fleet.servers[0]?.received.map((request) => Number(request.headers.get('time-left')));
    assert.ok(left?.[0] !== undefined && left[0] <= 900);
    assert.ok(left[1] !== undefined && left[1] <= 4_000);
  });

  it('sets the account itself, whatever the caller says', async () => {
    const fleet = await startFleet(well);
    const headers = { account: 'another' };
    await callAs({ port: fleet.gateway.port, path: paths.once, headers }).result;
    assert.equal(fleet.servers[0]?.received[0]?.headers.get('account'), 'workshop');
  });

  it('rejects unknown keys, unknown routes and long bodies without asking a server', async () => {
    const fleet = await startFleet(well);
    const { port } = fleet.gateway;
    assert.equal((await callAs({ port, path: paths.once, headers: { key: 'x' } }).result).status, 401);
    assert.equal((await fleet.call('/nowhere/')).status, 404);
    assert.equal((await fleet.call(paths.once, 'x'.repeat(1_001))).status, 413);
    assert.equal(totalReceived(fleet), 0);
  });

  it('says that nothing has run, and when to come back, while no catalogue is known', async () => {
    const server = await startScriptedServer(well);
    const gateway = await startTestGateway([server.port], { known: null });
    open.push(server, gateway);
    const answer = await callAs({ port: gateway.port, path: paths.once }).result;
    assert.equal(answer.status, 503);
    assert.ok(Number(answer.headers['retry-after']) > 0);
    assert.equal(server.received.length, 0);
  });

  it('asks callers to close their connections while it is leaving', async () => {
    const fleet = await startFleet(well);
    fleet.gateway.setLeaving();
    assert.equal((await fleet.call(paths.once)).headers.connection, 'close');
  });
});

describe('an entry that is about to end', () => {
  it('refuses what still comes on kept connections, truly not run, with a time to come back', async () => {
    const fleet = await startFleet(well);
    fleet.gateway.setLeaving();
    fleet.gateway.refuseRequests();
    const answer = await fleet.call(paths.once);
    assert.equal(answer.status, 503);
    assert.ok(Number(answer.headers['retry-after']) > 0);
    assert.equal(answer.headers.connection, 'close');
    assert.equal(totalReceived(fleet), 0);
  });
});

describe('requests that may run at most once', () => {
  it('go to another server after one that did not run them', async () => {
    const fleet = await startWithBadFirst(full);
    assert.equal((await fleet.call(paths.once)).status, 200);
    assert.equal(totalReceived(fleet), 2);
  });

  it('end as 503 with a time to come back where no server ran them', async () => {
    const fleet = await startFleet(full, full);
    const answer = await fleet.call(paths.once);
    assert.equal(answer.status, 503);
    assert.ok(Number(answer.headers['retry-after']) > 0);
  });

  for (const [name, bad] of Object.entries({ silentReset, unsigned, cutShort, otherRequest })) {
    it(`are never sent again, nor called not run, after a server in doubt (${name})`, async () => {
      const fleet = await startWithBadFirst(bad);
      assert.equal((await fleet.call(paths.once)).status, 502);
      assert.equal(totalReceived(fleet), 1);
    });
  }

  it('are passed on with the server’s own failure', async () => {
    const fleet = await startWithBadFirst(failed);
    const answer = await fleet.call(paths.once);
    assert.equal(answer.status, 500);
    assert.equal(answer.headers.signature, 'vane-1');
    assert.equal(totalReceived(fleet), 1);
  });

  it('go on to another server where no connection was made', async () => {
    const gone = await startScriptedServer(well);
    gone.close();
    const server = await startScriptedServer(well);
    const gateway = await startTestGateway([gone.port, server.port]);
    open.push(server, gateway);
    assert.equal((await callAs({ port: gateway.port, path: paths.once }).result).status, 200);
    assert.equal(server.received.length, 1);
  });
});

describe('requests that may be repeated', () => {
  for (const [name, bad] of Object.entries({ silentReset, unsigned, cutShort, otherRequest, failed })) {
    it(`are served by another server (${name})`, async () => {
      const fleet = await startWithBadFirst(bad);
      const answer = await fleet.call(paths.repeatable);
      assert.equal(answer.status, 200);
      assert.equal(answer.body, 'two copper vanes');
      assert.equal(totalReceived(fleet), 2);
    });
  }

  it('are sent to no more servers than their route allows', async () => {
    const fleet = await startFleet(silentReset, silentReset, silentReset);
    assert.equal((await fleet.call(paths.repeatable)).status, 502);
    assert.equal(totalReceived(fleet), 2);
  });

  it('end with a server’s own failure where no better answer came', async () => {
    const fleet = await startFleet(failed, failed);
    const answer = await fleet.call(paths.repeatable);
    assert.equal(answer.status, 500);
    assert.equal(answer.body, 'broken');
  });
});

describe('answers that are not what they seem', () => {
  it('drops bytes after a whole answer', async () => {
    const fleet = await startFleet((socket, request) =>
      socket.end(`${answerTo(request, 'whole')}HTTP/1.1 200 OK\r\nsignature: x\r\n\r\nmore`),
    );
    const answer = await fleet.call(paths.once);
    assert.equal(answer.status, 200);
    assert.equal(answer.body, 'whole');
  });

  it('passes an answer without a length on without one', async () => {
    const fleet = await startFleet((socket, request) =>
      socket.end(answerTo(request, 'to the end', { isFramed: false })),
    );
    const answer = await fleet.call(paths.once);
    assert.equal(answer.body, 'to the end');
    assert.equal(answer.headers['content-length'], undefined);
    assert.equal(answer.headers['transfer-encoding'], undefined);
  });

  it('does not pass bytes on that are no answer', async () => {
    const fleet = await startFleet((socket) => socket.end('\u0000\u0001 no answer at all\r\n\r\n'));
    assert.equal((await fleet.call(paths.once)).status, 502);
  });
});

describe('streams', () => {
  it('are passed on whole', async () => {
    const fleet = await startFleet(streamTo(5));
    const answer = await fleet.call(paths.stream);
    assert.equal(answer.body, events(1, 5));
    assert.equal(answer.isComplete, true);
  });

  it('go on at another server after the last whole event, under the first one’s head', async () => {
    const breaksOff: Script = (socket, request) => {
      beginStream(socket, request);
      writeChunk(socket, `${events(1, 3)}id: 4\ndata: tok`);
      setImmediate(() => socket.resetAndDestroy());
    };
    const fleet = await startWithBadFirst(breaksOff, streamTo(6));
    const answer = await fleet.call(paths.stream);
    assert.equal(answer.body, events(1, 6));
    assert.equal(answer.isComplete, true);
    assert.equal(
      fleet.servers
        .flatMap((server) => server.received)
        .at(-1)
        ?.headers.get('last-event-id'),
      '3',
    );
  });

  it('do not look complete where they could not be ended', async () => {
    const breaksOff: Script = (socket, request) => {
      beginStream(socket, request);
      writeChunk(socket, events(1, 2));
      setImmediate(() => socket.resetAndDestroy());
    };
    const fleet = await startFleet(breaksOff);
    const answer = await fleet.call(paths.stream);
    assert.equal(answer.isComplete, false);
  });

  it('repeat no event that another server sends again', async () => {
    const breaksOff: Script = (socket, request) => {
      beginStream(socket, request);
      writeChunk(socket, events(1, 3));
      setImmediate(() => socket.resetAndDestroy());
    };
    const fromStart: Script = (socket, request) => {
      beginStream(socket, request);
      writeChunk(socket, events(1, 5));
      socket.end('0\r\n\r\n');
    };
    const fleet = await startWithBadFirst(breaksOff, fromStart);
    assert.equal((await fleet.call(paths.stream)).body, events(1, 5));
  });

  it('are cancelled at the server when the caller leaves', { timeout: 20_000 }, async () => {
    const endless: Script = (socket, request) => {
      beginStream(socket, request);
      writeChunk(socket, events(1, 2));
    };
    const fleet = await startFleet(endless);
    const { leave, result } = callAs({ port: fleet.gateway.port, path: paths.stream }, () => {
      leave();
    });
    await result;
    await fleet.servers[0]?.whenEnded(1);
    assert.equal(totalReceived(fleet), 1);
  });
});

describe('time', () => {
  it(
    'ends a request at its deadline: in doubt as 504, since a server has it',
    { timeout: 20_000 },
    async () => {
      const server = await startScriptedServer(() => undefined);
      const clock = createManualClock();
      const gateway = await startTestGateway([server.port], { clock });
      open.push(server, gateway);
      const { result } = callAs({ port: gateway.port, path: paths.once, headers: { patience: '700' } });
      while (server.received.length === 0) {
        await new Promise((resolve) => setImmediate(resolve));
      }
      clock.advance(701);
      assert.equal((await result).status, 504);
    },
  );

  it('waits on at a silent server while there is no other place', async () => {
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
  it('serves a request that came before its first configuration', async () => {
    const server = await startScriptedServer(well);
    const gateway = await startTestGateway([server.port], { known: null, learnsLater: true });
    open.push(server, gateway);
    const { result } = callAs({ port: gateway.port, path: paths.repeatable, body: '' });
    assert.equal(server.received.length, 0);
    gateway.learn(catalogue);
    assert.equal((await result).status, 200);
  });
});

describe('an exception in the process of one request', () => {
  it('ends that request as one that may have run, and no other', async () => {
    const fleet = await startFleet(well);
    const port = fleet.gateway.port;
    const faulty = await callAs({ port, path: paths.once, body: '', headers: { 'planted-fault': '1' } })
      .result;
    assert.equal(faulty.status, 502);
    assert.equal((await fleet.call(paths.once)).status, 200);
    const ends = fleet.gateway.lines.filter((line) => line.fields.reason === 'internal_fault');
    assert.equal(ends.length, 1);
  });
});
