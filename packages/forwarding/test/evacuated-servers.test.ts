/** A data centre that is evacuated between the placement of a request and its sending, while memory is reserved. */
import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';
import { type EngineMemory } from '@toucanbend/forwarding';
import { DecisionKind } from '@toucanbend/observability';
import { type Catalogue } from '@toucanbend/registry';
import { ok } from 'neverthrow';
import { smallEngine } from '../../../fakes/engine-parameters.js';
import { catalogue, paths, startTestGateway, type TestGateway } from './support/gateway.js';
import { answerTo, callAs, type Script, startScriptedServer } from './support/scripted-server.js';

const open: { close(): void }[] = [];

afterEach(() => {
  open.splice(0).forEach((item) => {
    item.close();
  });
});

const DEADLINE_MS = 15_000;
const ENGINES_EACH = 4;
const EVACUATED = 'bagmati-b';
const engines: Catalogue = {
  ...catalogue,
  routes: catalogue.routes.map((route) => ({ ...route, targetMs: 6_000, timeoutMs: DEADLINE_MS })),
  services: [{ name: 'vanes', maxConnections: 10, engine: smallEngine }],
};
const succeeds: Script = (socket, request) => socket.end(answerTo(request, 'id: 1\ndata: copper\n\n'));

describe('a prompt on engines of which some are evacuated while their memory is reserved', () => {
  it('is sent to others, and the memory is released', async () => {
    const servers = await Promise.all(
      Array.from({ length: 2 * ENGINES_EACH }, () => startScriptedServer(succeeds)),
    );
    const remote = servers.slice(ENGINES_EACH);
    const reserved = new Set<string>();
    let orders = 0;
    const memory: EngineMemory = {
      reserve: (server, name) => {
        orders += 1;
        reserved.add(`${server.id}/${name}`);
        gateway.evacuate(EVACUATED);
        return Promise.resolve(ok());
      },
      release: (server, name) => {
        reserved.delete(`${server.id}/${name}`);
        return Promise.resolve(ok());
      },
      list: () => Promise.resolve(ok([])),
    };
    const gateway: TestGateway = await startTestGateway(
      servers.map(({ port }) => port),
      { initialCatalogue: engines, memory, remotePorts: remote.map(({ port }) => port) },
    );
    open.push(gateway, ...servers);
    const headers = {
      'prompt-tokens': String(2.2 * smallEngine.memoryTokens),
      timeout: String(DEADLINE_MS),
    };
    const { status } = await callAs({ port: gateway.port, path: paths.stream, headers }).result;
    assert.equal(
      remote.reduce((sum, { received }) => sum + received.length, 0),
      0,
    );
    const helpers = servers.flatMap(({ received }) =>
      received.map((request) => request.headers.get('helpers') ?? ''),
    );
    assert.ok(!remote.some(({ port }) => helpers.some((list) => list.includes(`:${String(port)}`))));
    const retries = gateway.decisions.filter((line) => line.decision === DecisionKind.Retry);
    assert.equal(retries.length, 1, JSON.stringify(gateway.decisions));
    assert.ok(orders > 0);
    assert.equal(status, 200);
    assert.deepEqual([...reserved], []);
  });
});
