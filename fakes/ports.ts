/** Allocates free loopback ports for processes that start later. */
import { createServer } from 'node:net';

/** Below the ephemeral port range, so that no outgoing connection occupies a port before its process listens. */
const FIRST_PORT = 20_000;
const PORTS = 12_000;
/** Concurrent processes start their search at different ports, this many apart per process id. */
const BLOCK_PORTS = 100;
let next = (process.pid * BLOCK_PORTS) % PORTS;

function isFree(port: number): Promise<boolean> {
  const server = createServer();
  return new Promise((resolve) => {
    server.once('error', () => {
      resolve(false);
    });
    server.listen(port, '127.0.0.1', () => {
      server.close(() => {
        resolve(true);
      });
    });
  });
}

/**
 * Finds free loopback ports.
 *
 * @param count - how many
 * @returns the ports; this process does not return one again until all others have been tried
 */
export async function freePorts(count: number): Promise<number[]> {
  const found: number[] = [];
  while (found.length < count) {
    const port = FIRST_PORT + next;
    next = (next + 1) % PORTS;
    if (await isFree(port)) {
      found.push(port);
    }
  }
  return found;
}
