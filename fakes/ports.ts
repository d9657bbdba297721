/** Free loopback ports for processes that are started later. */
import { createServer } from 'node:net';

/** Ports below those that the system gives to outgoing connections, so that none is taken before it is listened on. */
const FIRST_PORT = 20_000;
const PORTS = 12_000;
/** Processes that look for ports at the same time begin at different ones. */
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
 * @returns the ports; no call of this process is given one of them again soon
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
