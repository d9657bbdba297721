/** The JSON HTTP server that the fakes share; faults are injected over HTTP. */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';

/** Handles one call to a fake. */
export type Handler = (
  path: string,
  body: Buffer,
  request: IncomingMessage,
  response: ServerResponse,
) => void | Promise<void>;

function readBody(request: IncomingMessage): Promise<Buffer> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.on('end', () => {
      resolve(Buffer.concat(chunks));
    });
  });
}

/**
 * Sends a JSON response.
 *
 * @param response - response to write and end
 * @param value - value that is sent as JSON
 * @param status - HTTP status code
 */
export function sendJson(response: ServerResponse, value: unknown, status = 200): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(value));
}

/**
 * Starts the HTTP server of a fake on a loopback port.
 *
 * @param port - the port; 0 for any
 * @param handler - answers the calls
 * @returns the port, once it listens
 */
export function serve(port: number, handler: Handler): Promise<number> {
  const server = createServer((request, response) => {
    request.on('error', () => undefined);
    response.on('error', () => undefined);
    void readBody(request).then((body) => handler(request.url ?? '/', body, request, response));
  });
  server.keepAliveTimeout = 60_000;
  return new Promise((resolve) => {
    server.listen(port, '127.0.0.1', () => {
      const address = server.address();
      resolve(typeof address === 'object' && address !== null ? address.port : port);
    });
  });
}
