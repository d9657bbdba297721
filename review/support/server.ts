/** A stand-in for a backend server: an engine that answers with a stream of events, or a plain service. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { type AddressInfo } from 'node:net';

/** A request that a server has read completely. */
export interface ReceivedRequest {
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  readonly headers: IncomingMessage['headers'];
  readonly body: Buffer;
}

/** A run of a request, from when the server begins to work on it. */
export interface ServerRun extends ReceivedRequest {
  readonly server: string;
  readonly atMs: number;
}

/** Handles a request in place of the usual answer. Returns false where the usual answer follows. */
export type Handler = (request: ReceivedRequest, response: ServerResponse) => boolean;

/** A running server. */
export interface BackendStandIn {
  id: string;
  readonly port: number;
  readonly runs: ServerRun[];
  /** Handles requests in place of the usual answer. */
  handler: Handler;
  close(): void;
}

/** Options of a server. */
export interface BackendOptions {
  readonly id: string;
  readonly isEngine: boolean;
  /** Time that a call takes, in milliseconds. */
  readonly callMs: number;
  /** Number of events of a stream, and the time between them in milliseconds. */
  readonly events: number;
  readonly eventMs: number;
  readonly onRun?: (run: ServerRun) => void;
}

/**
 * Returns the text of an event of a stream.
 *
 * @param requestId - id of the request
 * @param index - number of the event, from 1
 * @returns the event
 */
export function eventText(requestId: string, index: number): string {
  return `id: ${String(index)}\ndata: ${requestId} part ${String(index)}\n\n`;
}

/**
 * Returns the headers that a server sends in its answer.
 *
 * @param server - id of the server
 * @param requestId - id of the request
 * @returns the headers
 */
export function answerHeaders(server: string, requestId: string): Record<string, string> {
  return { 'X-Attempt-Id': requestId, 'X-Response-Signature': `${server}.${requestId}` };
}

async function readBody(request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) {
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks);
}

/**
 * Starts a server on a free loopback port.
 *
 * @param options - its id, kind and timing
 * @returns the server
 */
export async function startBackend(options: BackendOptions): Promise<BackendStandIn> {
  const runs: ServerRun[] = [];
  const standIn = { id: options.id, handler: (): boolean => false };
  const answer = (received: ReceivedRequest, response: ServerResponse): void => {
    const { requestId } = received;
    const headers = answerHeaders(standIn.id, requestId);
    if (!options.isEngine) {
      setTimeout(() => {
        const body = `answer to ${requestId}`;
        response.writeHead(200, { ...headers, 'Content-Length': String(body.length) }).end(body);
      }, options.callMs);
      return;
    }
    let next = 1;
    const timer = setInterval(() => {
      if (next === 1) {
        response.writeHead(200, { ...headers, 'Content-Type': 'text/event-stream' });
      }
      response.write(eventText(requestId, next));
      next += 1;
      if (next > options.events) {
        clearInterval(timer);
        response.end();
      }
    }, options.eventMs);
    response.on('close', () => {
      clearInterval(timer);
    });
  };
  const handle = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const requestId = String(request.headers['x-attempt-id'] ?? '');
    const expected = request.headers['x-expect-instance'];
    response.on('error', () => undefined);
    let body: Buffer;
    try {
      body = await readBody(request);
    } catch {
      return;
    }
    if (expected !== undefined && expected !== standIn.id) {
      response
        .writeHead(421, { 'X-Attempt-Id': requestId, 'X-Not-Executed': '1', 'Content-Length': '0' })
        .end();
      return;
    }
    const path = request.url ?? '';
    if (path.startsWith('/api/')) {
      response.writeHead(200, { 'Content-Type': 'application/json' }).end('{"free":0,"tickets":[]}');
      return;
    }
    const { method = '', headers } = request;
    const received = { requestId, method, path, headers, body };
    const run = { ...received, server: standIn.id, atMs: performance.now() };
    runs.push(run);
    options.onRun?.(run);
    const { handler } = server;
    if (!handler(received, response)) {
      answer(received, response);
    }
  };
  const listener: Server = createServer((request, response) => {
    void handle(request, response);
  });
  await new Promise<void>((resolve) => listener.listen(0, '127.0.0.1', resolve));
  const server: BackendStandIn = {
    get id() {
      return standIn.id;
    },
    set id(id: string) {
      standIn.id = id;
    },
    port: (listener.address() as AddressInfo).port,
    runs,
    handler: () => false,
    close: () => {
      listener.close();
      listener.closeAllConnections();
    },
  };
  return server;
}
