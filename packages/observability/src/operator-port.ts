/** The HTTP port for operators: metrics, health, readiness, status, and explanations of requests. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { createAnswerQueue } from './answer-queue.js';
import { type Logger } from './logger.js';
import { type Metrics } from './metrics.js';

/** Options of the operator port. */
export interface OperatorPortOptions {
  readonly host: string;
  readonly port: number;
  readonly metrics: Pick<Metrics, 'text'>;
  readonly logger: Logger;
  readonly isReady: () => boolean;
  /** Returns the state of the process as a JSON-serialisable value. */
  readonly status: () => object;
  /** Handles requests before the built-in paths; returns false for a request that it does not handle. */
  readonly administer?: ((request: IncomingMessage, response: ServerResponse) => boolean) | undefined;
}

function sendJson(response: ServerResponse, status: number, value: object): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(`${JSON.stringify(value)}\n`);
}

function decodePath(text: string): string | undefined {
  try {
    return decodeURIComponent(text);
  } catch {
    return undefined;
  }
}

async function answer(path: string, options: OperatorPortOptions, response: ServerResponse): Promise<void> {
  const explainedRequest = /^\/explain\/(.+)$/.exec(path)?.[1];
  if (explainedRequest !== undefined) {
    const requestId = decodePath(explainedRequest);
    if (requestId === undefined) {
      sendJson(response, 400, { error: `${explainedRequest} is not percent-encoded UTF-8` });
    } else {
      sendJson(response, 200, options.logger.explain(requestId));
    }
    return;
  }
  switch (path) {
    case '/metrics':
      response.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' });
      response.end(await options.metrics.text());
      return;
    case '/health':
      sendJson(response, 200, { healthy: true });
      return;
    case '/ready':
      sendJson(response, options.isReady() ? 200 : 503, { ready: options.isReady() });
      return;
    case '/status':
      sendJson(response, 200, options.status());
      return;
    default:
      sendJson(response, 404, { error: `there is no ${path}` });
  }
}

/**
 * Opens the operator port.
 *
 * @param options - address to listen on and sources of the responses
 * @returns a promise of the server, resolved once it is listening and rejected if it cannot listen
 */
export function openOperatorPort(options: OperatorPortOptions): Promise<Server> {
  const answers = createAnswerQueue();
  const handle = (request: IncomingMessage, response: ServerResponse): void => {
    if (!response.destroyed && options.administer?.(request, response) !== true) {
      answer(request.url ?? '/', options, response).catch((error: unknown) => {
        options.logger.error('operator request failed', { path: request.url ?? '/', error: String(error) });
        response.destroy();
      });
    }
  };
  const server = createServer((request, response) => {
    answers.add(() => {
      handle(request, response);
    });
  });
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(options.port, options.host, () => {
      resolve(server);
    });
  });
}
