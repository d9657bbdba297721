/** The operators' port of a process: metrics, health, readiness, status, explanations. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { type Logger } from './logger.js';
import { type Metrics } from './metrics.js';

/** What the port shows. */
export interface OperatorPortOptions {
  readonly host: string;
  readonly port: number;
  readonly metrics: Pick<Metrics, 'text'>;
  readonly logger: Logger;
  readonly isReady: () => boolean;
  /** State of the process, as a value that can be written as JSON. */
  readonly status: () => object;
  /** Answers further paths; false where a path is none of its own. */
  readonly administer?: ((request: IncomingMessage, response: ServerResponse) => boolean) | undefined;
}

function sendJson(response: ServerResponse, status: number, value: object): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(`${JSON.stringify(value)}\n`);
}

async function answer(path: string, options: OperatorPortOptions, response: ServerResponse): Promise<void> {
  const explained = /^\/explain\/(.+)$/.exec(path)?.[1];
  if (explained !== undefined) {
    sendJson(response, 200, options.logger.explain(decodeURIComponent(explained)));
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
 * Opens the operators' port.
 *
 * @param options - where it listens and what it shows
 * @returns the server, once it listens
 */
export function openOperatorPort(options: OperatorPortOptions): Promise<Server> {
  const server = createServer((request, response) => {
    if (options.administer?.(request, response) !== true) {
      void answer(request.url ?? '/', options, response);
    }
  });
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(options.port, options.host, () => {
      resolve(server);
    });
  });
}
