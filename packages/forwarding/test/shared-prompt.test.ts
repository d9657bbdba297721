/** Prompts on several engines whose server falls silent, as callers and engines see them. */
import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';
import { DecisionKind } from '@toucanbend/observability';
import { type Catalogue } from '@toucanbend/registry';
import { smallEngine } from '../../../fakes/engine-parameters.js';
import { TestEngines } from './support/engines.js';
import { catalogue, paths, startTestGateway } from './support/gateway.js';
import { answerTo, callAs, firstThen, type Script, startScriptedServer } from './support/stand-in.js';

const open: { close(): void }[] = [];

afterEach(() => {
  open.splice(0).forEach((item) => {
    item.close();
  });
});

const ENGINES = 4;
const DEADLINE_MS = 15_000;
/** More than one of the engines can hold. */
const PROMPT_TOKENS = 1.5 * smallEngine.memoryTokens;

const engines: Catalogue = {
  ...catalogue,
  routes: catalogue.routes.map((route) => ({ ...route, targetMs: 6_000, timeoutMs: DEADLINE_MS })),
  services: [{ name: 'vanes', maxConnections: 10, engine: smallEngine }],
};

const silent: Script = () => undefined;
const well: Script = (socket, request) => socket.end(answerTo(request, 'id: 1\ndata: copper\n\n'));
const releasesIn = (memory: TestEngines): string[] =>
  memory.orders.filter((order) => order.startsWith('release'));

describe('a prompt whose server ended it in silence', () => {
  it('goes on elsewhere once the engines show its memory idle', { timeout: 20_000 }, async () => {
    const script = firstThen(silent, well);
    const servers = await Promise.all(Array.from({ length: ENGINES }, () => startScriptedServer(script)));
    const ports = servers.map((server) => server.port);
    const memory = new TestEngines();
    const gateway = await startTestGateway(ports, { known: engines, clock: memory.clock, memory });
    open.push(gateway, ...servers);
    const received = (): number => servers.reduce((sum, server) => sum + server.received.length, 0);
    const headers = { 'prompt-tokens': String(PROMPT_TOKENS), patience: String(DEADLINE_MS) };
    const { result } = callAs({ port: gateway.port, path: paths.stream, headers });
    while (received() === 0) {
      await new Promise((resolve) => setImmediate(resolve));
    }
    memory.use('r1-1', true);
    await memory.pass(2_000);
    assert.deepEqual(releasesIn(memory), []);
    memory.use('r1-1', false);
    await memory.pass(2_000);
    assert.equal(gateway.lines.filter((line) => line.decision === DecisionKind.Retry).length, 1);
    assert.ok(releasesIn(memory).length > 0);
    await memory.pass(4_000);
    const answer = await result;
    assert.equal(answer.status, 200);
    assert.equal(answer.isComplete, true);
    assert.equal(received(), 2);
  });
});
