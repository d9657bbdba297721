/** The port at which the balancer asks whether an entry takes connections. */
import { createServer, type Server } from 'node:http';

/**
 * Opens the port.
 *
 * @param host - address to listen on
 * @param port - port to listen on
 * @param path - path that is asked for
 * @param isReady - whether the entry takes connections
 * @returns the server, once it listens
 */
export function openReadyPort(
  host: string,
  port: number,
  path: string,
  isReady: () => boolean,
): Promise<Server> {
  const server = createServer((request, response) => {
    const isKnown = request.url === path;
    response.writeHead(isKnown ? (isReady() ? 200 : 503) : 404, { 'Content-Length': '0' });
    response.end();
  });
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      resolve(server);
    });
  });
}
