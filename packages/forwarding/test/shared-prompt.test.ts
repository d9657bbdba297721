/**
 * A prompt on several engines whose server ends it without an answer and without closing the connection. The entry must
 * detect this from the unused memory at the engines, release the memory and retry at another server.
 */
import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';
import { DecisionKind } from '@toucanbend/observability';
import { LoadUpdateKind } from '@toucanbend/placement';
import { type Catalogue } from '@toucanbend/registry';
import { smallEngine } from '../../../fakes/engine-parameters.js';
import { TestEngines } from './support/engines.js';
import { catalogue, paths, startTestGateway } from './support/gateway.js';
import { answerTo, callAs, firstThen, type Script, startScriptedServer } from './support/scripted-server.js';

const open: { close(): void }[] = [];

afterEach(() => {
  open.splice(0).forEach((item) => {
    item.close();
  });
});

const ENGINE_COUNT = 4;
const DEADLINE_MS = 15_000;
/** A target that one engine meets for a prompt that it can hold, in milliseconds. */
const LONG_TARGET_MS = 12_000;
/** More tokens than the memory of one engine holds. */
const PROMPT_TOKENS = 1.5 * smallEngine.memoryTokens;

const engines: Catalogue = {
  ...catalogue,
  routes: catalogue.routes.map((route) => ({ ...route, targetMs: 6_000, timeoutMs: DEADLINE_MS })),
  services: [{ name: 'vanes', maxConnections: 10, engine: smallEngine }],
};

const neverAnswers: Script = () => undefined;
const succeeds: Script = (socket, request) => socket.end(answerTo(request, 'id: 1\ndata: copper\n\n'));
const releasesIn = (memory: TestEngines): string[] =>
  memory.orders.filter((order) => order.startsWith('release'));

describe('a prompt whose server ended it without an answer', () => {
  it(
    'is retried at another server when the engines list its memory as unused',
    { timeout: 20_000 },
    async () => {
      const script = firstThen(neverAnswers, succeeds);
      const servers = await Promise.all(
        Array.from({ length: ENGINE_COUNT }, () => startScriptedServer(script)),
      );
      const ports = servers.map((server) => server.port);
      const memory = new TestEngines();
      const gateway = await startTestGateway(ports, {
        initialCatalogue: engines,
        clock: memory.clock,
        memory,
      });
      open.push(gateway, ...servers);
      const received = (): number => servers.reduce((sum, server) => sum + server.received.length, 0);
      const headers = { 'prompt-tokens': String(PROMPT_TOKENS), timeout: String(DEADLINE_MS) };
      const { result } = callAs({ port: gateway.port, path: paths.stream, headers });
      while (received() === 0) {
        await new Promise((resolve) => setImmediate(resolve));
      }
      memory.use('r1-1', true);
      await memory.advance(2_000);
      assert.deepEqual(releasesIn(memory), []);
      memory.use('r1-1', false);
      await memory.advance(2_000);
      assert.equal(gateway.decisions.filter((line) => line.decision === DecisionKind.Retry).length, 1);
      assert.ok(releasesIn(memory).length > 0);
      await memory.advance(4_000);
      const answer = await result;
      assert.equal(answer.status, 200);
      assert.equal(answer.isComplete, true);
      assert.equal(received(), 2);
    },
  );
});

describe('a prompt whose server rejects it because of a helper', () => {
  it('is sent again without the helper, which the other entries are told about', async () => {
    const helpersOf = (headers: ReadonlyMap<string, string>): string[] =>
      (headers.get('helpers') ?? '').split(',').filter((address) => address !== '');
    const faulty = new Set<string>();
    const script: Script = (socket, request) => {
      const [helper = ''] = helpersOf(request.headers);
      if (faulty.size === 0) {
        faulty.add(helper);
        const headers = ['not-run: 1', `at-fault: ${helper}`, 'connection: close'];
        socket.end(answerTo(request, '', { status: 503, headers }));
      } else {
        succeeds(socket, request);
      }
    };
    const servers = await Promise.all(
      Array.from({ length: 2 * ENGINE_COUNT }, () => startScriptedServer(script)),
    );
    const gateway = await startTestGateway(
      servers.map((server) => server.port),
      { initialCatalogue: engines },
    );
    open.push(gateway, ...servers);
    const headers = { 'prompt-tokens': String(0.9 * smallEngine.memoryTokens), timeout: String(DEADLINE_MS) };
    const answer = await callAs({ port: gateway.port, path: paths.stream, headers }).result;
    assert.equal(answer.status, 200);
    const received = servers.flatMap((server) => server.received);
    assert.equal(received.length, 2);
    const repeated = received.filter((request) => !helpersOf(request.headers).some((id) => faulty.has(id)));
    assert.equal(repeated.length, 1);
    assert.equal(gateway.updates.filter((update) => update.kind === LoadUpdateKind.Failed).length, 1);
    const retry = gateway.decisions.find((line) => line.decision === DecisionKind.Retry);
    assert.notEqual(retry?.fields.failed, retry?.fields.server);
  });

  it('is sent again to one engine that meets the target, since further helpers may be leaving', async () => {
    const script: Script = (socket, request) => {
      const [helper = ''] = (request.headers.get('helpers') ?? '').split(',');
      if (helper === '') {
        succeeds(socket, request);
      } else {
        const headers = ['not-run: 1', `at-fault: ${helper}`, 'connection: close'];
        socket.end(answerTo(request, '', { status: 503, headers }));
      }
    };
    const servers = await Promise.all(
      Array.from({ length: 2 * ENGINE_COUNT }, () => startScriptedServer(script)),
    );
    const initialCatalogue = {
      ...engines,
      routes: engines.routes.map((route) => ({ ...route, targetMs: LONG_TARGET_MS })),
    };
    const gateway = await startTestGateway(
      servers.map((server) => server.port),
      { initialCatalogue },
    );
    open.push(gateway, ...servers);
    const headers = { 'prompt-tokens': String(0.9 * smallEngine.memoryTokens), timeout: String(DEADLINE_MS) };
    const answer = await callAs({ port: gateway.port, path: paths.stream, headers }).result;
    assert.equal(answer.status, 200);
    assert.equal(servers.flatMap((server) => server.received).length, 2);
  });
});
