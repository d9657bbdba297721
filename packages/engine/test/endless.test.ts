/** The client must bound an engine's response: an engine may send data until its connection is closed. */
import assert from 'node:assert/strict';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { type AddressInfo } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { CompletionEndKind, HttpModelEngine } from '@toucanbend/engine';
import { writeForever } from '../../../fakes/endless.js';

const servers: Server[] = [];

afterEach(() => {
  servers.splice(0).forEach((server) => {
    server.close();
    server.closeAllConnections();
  });
});

interface EndlessEngine {
  readonly engine: HttpModelEngine;
  /** Resolves once the connection of the first request is closed. */
  readonly closed: Promise<void>;
}

/** Starts an engine that responds with the status and the given first data, and then repeats a text endlessly. */
async function startEndless(
  status: number,
  firstData: string,
  piece = 'copper vane ',
): Promise<EndlessEngine> {
  let resolveClosed = (): void => undefined;
  const closed = new Promise<void>((resolve) => {
    resolveClosed = resolve;
  });
  const server = createServer((_request: IncomingMessage, response: ServerResponse) => {
    response.writeHead(status, { 'content-type': 'text/event-stream' });
    response.write(firstData);
    response.on('close', resolveClosed);
    writeForever(response, piece);
  });
  servers.push(server);
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  return { engine: new HttpModelEngine(`127.0.0.1:${String(port)}`), closed };
}

const request = { model: 'm', prompt: 'a vane', maxTokens: 4, priority: 0 };
const TIMEOUT_MS = 10_000;

function complete(engine: HttpModelEngine): Promise<CompletionEndKind> {
  return new Promise((resolve) => {
    engine.complete(request, {
      onTokens: () => undefined,
      onEnd: (end) => {
        resolve(end.kind);
      },
    });
  });
}

describe('an engine that sends an endless response', () => {
  it('fails a completion whose stream carries no event', { timeout: TIMEOUT_MS }, async () => {
    const { engine, closed } = await startEndless(200, '');
    assert.equal(await complete(engine), CompletionEndKind.Failed);
    await closed;
  });

  it(
    'fails a completion whose stream carries more tokens than were asked for',
    { timeout: TIMEOUT_MS },
    async () => {
      const { engine, closed } = await startEndless(200, '', 'data: {"choices":[{"text":"vane"}]}\n\n');
      assert.equal(await complete(engine), CompletionEndKind.Failed);
      await closed;
    },
  );

  it('has its connection closed after the end of a completion', { timeout: TIMEOUT_MS }, async () => {
    const { engine, closed } = await startEndless(200, 'data: [DONE]\n\n');
    assert.equal(await complete(engine), CompletionEndKind.Finished);
    await closed;
  });

  it('has its connection closed after it rejects a completion', { timeout: TIMEOUT_MS }, async () => {
    const { engine, closed } = await startEndless(503, '');
    assert.equal(await complete(engine), CompletionEndKind.Refused);
    await closed;
  });

  it('fails a status request and has its connection closed', { timeout: TIMEOUT_MS }, async () => {
    const { engine, closed } = await startEndless(200, '');
    assert.ok((await engine.status(TIMEOUT_MS)).isErr());
    await closed;
  });
});
