/** The port for the load balancer's readiness checks. */
import { createServer, type Server } from 'node:http';
import { limitServiceConnections } from '@toucanbend/forwarding';

/**
 * Opens the port, which answers 200 if the entry accepts connections, else 503.
 *
 * @param host - address to listen on
 * @param port - port to listen on
 * @param path - path of the check; other paths are answered with 404
 * @param isReady - whether the entry accepts connections
 * @returns the server, once it is listening
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
  limitServiceConnections(server);
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      resolve(server);
    });
  });
}
