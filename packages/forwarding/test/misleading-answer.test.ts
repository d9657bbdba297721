/** Answers that look like another outcome than the one of the request: repeated rejections, late errors, partial heads. */
import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';
import { paths, startTestGateway } from './support/gateway.js';
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

interface Deployment {
  readonly servers: readonly ScriptedServer[];
  call(path: string): Promise<CallerResult>;
}

/** Starts two servers; whichever receives the first request answers it by one script, all others by the other. */
async function startPair(first: Script, others: Script): Promise<Deployment> {
  const script = firstThen(first, others);
  const servers = await Promise.all([startScriptedServer(script), startScriptedServer(script)]);
  const gateway = await startTestGateway(servers.map(({ port }) => port));
  open.push(gateway, ...servers);
  return { servers, call: (path) => callAs({ port: gateway.port, path }).result };
}

const receivedBy = ({ servers }: Deployment): number =>
  servers.reduce((sum, { received }) => sum + received.length, 0);

const succeeds: Script = (socket, request) => socket.end(answerTo(request, 'a vane'));
/** Returns a request as the server would have received it with another id, or without one. */
const withId = (request: ReceivedRequest, id: string): ReceivedRequest => ({
  ...request,
  headers: new Map([['request-id', id]]),
});
const rejection = { status: 503, headers: ['not-run: 1'] };

describe('a rejection of another request', () => {
  const rejections: Readonly<Record<string, Script>> = {
    'of an earlier request': (socket, request) =>
      socket.end(answerTo(withId(request, 'earlier'), 'full', rejection)),
    'without an id': (socket, request) => socket.end(answerTo(withId(request, ''), 'full', rejection)),
    'ahead of the answer': (socket, request) =>
      socket.end(answerTo(withId(request, 'earlier'), 'full', rejection) + answerTo(request, 'a vane')),
  };
  for (const [name, script] of Object.entries(rejections)) {
    it(`does not make a request that may run once run twice, nor reports it as not run (${name})`, async () => {
      const deployment = await startPair(script, succeeds);
      assert.equal((await deployment.call(paths.once)).status, 502);
      assert.equal(receivedBy(deployment), 1);
    });

    it(`lets a request that may be repeated be retried (${name})`, async () => {
      const deployment = await startPair(script, succeeds);
      const answer = await deployment.call(paths.repeatable);
      assert.deepEqual([answer.status, answer.body], [200, 'a vane']);
      assert.equal(receivedBy(deployment), 2);
    });
  }
});
