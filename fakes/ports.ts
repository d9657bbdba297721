/** Allocates free loopback ports for processes that start later. */
import { createServer, type Server } from 'node:net';

/** Below the ephemeral port range, so that no outgoing connection occupies a port before its process listens. */
const FIRST_PORT = 20_000;
const BLOCKS = 120;
/** Length of a block. Its first port is listened on by the process that owns the block. */
const BLOCK_PORTS = 100;

/** Allocates ports. */
export interface PortAllocator {
  /**
   * Finds free loopback ports.
   *
   * @param count - how many
   * @returns the ports; none is returned again until all that this allocator can own have been tried
   */
  take(count: number): Promise<number[]>;
  /** Gives the blocks of the allocator back. */
  close(): void;
}

function listenOn(port: number): Promise<Server | undefined> {
  const server = createServer();
  return new Promise((resolve) => {
    server.once('error', () => {
      resolve(undefined);
    });
    server.listen(port, '127.0.0.1', () => {
      resolve(server);
    });
  });
}

async function isFree(port: number): Promise<boolean> {
  const server = await listenOn(port);
  await new Promise((resolve) => server?.close(resolve) ?? resolve(undefined));
  return server !== undefined;
}

/**
 * Creates an allocator. It owns the blocks of ports that it takes them from, so that no other one returns a port while the
 * process that listened there is started again.
 *
 * @param start - a number by which allocators begin their search at different blocks
 * @returns the allocator, which owns no block yet
 */
export function createPortAllocator(start: number): PortAllocator {
  const owned: { readonly owner: Server; readonly firstPort: number }[] = [];
  /** Position among the ports of the owned blocks. */
  let next = 0;

  const ownAnotherBlock = async (): Promise<boolean> => {
    for (let offset = 0; offset < BLOCKS; offset += 1) {
      const firstPort = FIRST_PORT + ((start + offset) % BLOCKS) * BLOCK_PORTS;
      const owner = await listenOn(firstPort);
      if (owner !== undefined) {
        owner.unref();
        owned.push({ owner, firstPort });
        return true;
      }
    }
    return false;
  };

  const nextPort = async (): Promise<number> => {
    const perBlock = BLOCK_PORTS - 1;
    if (next >= owned.length * perBlock && !(await ownAnotherBlock())) {
      next = 0;
    }
    const block = owned[Math.floor(next / perBlock)];
    if (block === undefined) {
      throw new Error(`all ${String(BLOCKS)} blocks of ports are owned by other processes`);
    }
    const port = block.firstPort + 1 + (next % perBlock);
    next += 1;
    return port;
  };

  return {
    take: async (count) => {
      const found: number[] = [];
      while (found.length < count) {
        const port = await nextPort();
        if (await isFree(port)) {
          found.push(port);
        }
      }
      return found;
    },
    close: () => {
      owned.splice(0).forEach(({ owner }) => owner.close());
    },
  };
}

const allocator = createPortAllocator(process.pid);

/**
 * Finds free loopback ports, which no other process that calls this function is given.
 *
 * @param count - how many
 * @returns the ports
 */
export function freePorts(count: number): Promise<number[]> {
  return allocator.take(count);
}
