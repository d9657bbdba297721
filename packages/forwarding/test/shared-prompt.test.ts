/** Prompts on several engines whose server falls silent, as callers and engines see them. */
import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';
import { type EngineMemory, type HeldMemory, type MemoryError } from '@toucanbend/forwarding';
import { DecisionKind } from '@toucanbend/observability';
import { type Catalogue } from '@toucanbend/registry';
import { ok, type Result } from 'neverthrow';
import { catalogue, paths, startTestGateway } from './support/gateway.js';
import { callAs, type Script, startScriptedServer } from './support/stand-in.js';

const open: { close(): void }[] = [];

afterEach(() => {
  open.splice(0).forEach((item) => {
    item.close();
  });
});

const ENGINES = 4;
const DEADLINE_MS = 15_000;

/** A prompt of 300,000 tokens needs two of these engines. */
const engine = {
  slots: 8,
  memoryTokens: 200_000,
  stepsPerPass: 43,
  chunkTokens: 2_048,
  stepMs: 1,
  generatingMs: 0.003,
  contextMsPerThousand: 0.004,
  prefillTokensPerMs: 206,
  attentionMsPerMillionPairs: 0.138,
  helperHopMs: 0.075,
};

const engines: Catalogue = {
  ...catalogue,
  routes: catalogue.routes.map((route) => ({ ...route, targetMs: 6_000, timeoutMs: DEADLINE_MS })),
  services: [{ name: 'vanes', maxConnections: 10, engine }],
};

/** Memory that shows every reservation as used, or none. */
class SwitchedMemory implements EngineMemory {
  readonly #held = new Set<string>();
  isUsed = true;
  releases = 0;

  reserve(_server: unknown, name: string): Promise<Result<void, MemoryError>> {
    this.#held.add(name);
    return Promise.resolve(ok());
  }

  release(): Promise<Result<void, MemoryError>> {
    this.releases += 1;
    return Promise.resolve(ok());
  }

  list(): Promise<Result<readonly HeldMemory[], MemoryError>> {
    return Promise.resolve(ok([...this.#held].map((name) => ({ name, isUsed: this.isUsed }))));
  }
}

const settle = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));

const streamOfOne: Script = (socket, request) => {
  const id = request.headers.get('request-id') ?? '';
  const body = 'id: 1\ndata: copper\n\n';
  const head = `HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\nsignature: vane-1\r\n`;
  socket.end(`${head}content-length: ${String(body.length)}\r\n\r\n${body}`);
};

/** The first request is never answered, all others are. */
function silentOnce(): Script {
  let isFirst = true;
  return (socket, request) => {
    if (!isFirst) {
      streamOfOne(socket, request);
    }
    isFirst = false;
  };
}

describe('a prompt whose server ended it in silence', () => {
  it('goes on elsewhere once the engines show its memory idle', { timeout: 20_000 }, async () => {
    const script = silentOnce();
    const servers = await Promise.all(Array.from({ length: ENGINES }, () => startScriptedServer(script)));
    const memory = new SwitchedMemory();
    const ports = servers.map((server) => server.port);
    const gateway = await startTestGateway(ports, engines, true, false, memory);
    open.push(gateway, ...servers);
    const received = (): number => servers.reduce((sum, server) => sum + server.received.length, 0);
    const headers = { 'prompt-tokens': '300000', patience: String(DEADLINE_MS) };
    const { result } = callAs({ port: gateway.port, path: paths.stream, headers });
    const pass = async (ms: number): Promise<void> => {
      for (let passedMs = 0; passedMs < ms; passedMs += 50) {
        gateway.clock.advance(50);
        await settle();
      }
    };
    while (received() === 0) {
      await settle();
    }
    await pass(2_000);
    assert.equal(memory.releases, 0);
    memory.isUsed = false;
    await pass(2_000);
    assert.equal(gateway.lines.filter((line) => line.decision === DecisionKind.Retry).length, 1);
    await pass(4_000);
    const answer = await result;
    assert.equal(answer.status, 200);
    assert.equal(answer.isComplete, true);
    assert.equal(received(), 2);
    assert.ok(memory.releases > 0);
  });
});
