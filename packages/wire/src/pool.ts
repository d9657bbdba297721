/** A pool of dialled links, with at most one link per address. */
import { ok, type Result } from 'neverthrow';
import { dial, type EndpointOptions, parseAddress } from './endpoint.js';
import { type LinkError } from './handshake.js';
import { type Link } from './link.js';

/** Dials addresses on demand and reuses the open links. */
export interface LinkPool {
  /**
   * Returns the open link to an address, or dials one. Concurrent calls share one connection attempt.
   *
   * @param address - `IP:PORT`
   * @returns the link, or the error that prevented it
   */
  get(address: string): Promise<Result<Link, LinkError>>;
  /** Returns the open link to an address, or undefined. Counts as a use of the link. */
  find(address: string): Link | undefined;
  /** Closes links last used before `sinceMs`, a time of the clock, unless `isBusy` returns true for them. */
  closeIdle(sinceMs: number, isBusy: (link: Link) => boolean): void;
  closeAll(): void;
  size(): number;
}

interface PooledLink {
  readonly link: Link;
  lastUsedAtMs: number;
}

/**
 * Creates an empty pool.
 *
 * @param options - identity, clock, limits and counters
 * @param onLink - called with each new link
 * @returns the pool
 */
export function createLinkPool(options: EndpointOptions, onLink: (link: Link) => void): LinkPool {
  const links = new Map<string, PooledLink>();
  const dialling = new Map<string, Promise<Result<Link, LinkError>>>();

  const find = (address: string): Link | undefined => {
    const pooled = links.get(address);
    if (pooled === undefined) {
      return undefined;
    }
    if (!pooled.link.isOpen()) {
      links.delete(address);
      return undefined;
    }
    pooled.lastUsedAtMs = options.clock.now();
    return pooled.link;
  };

  const dialOnce = async (address: string): Promise<Result<Link, LinkError>> => {
    const link = await dial(parseAddress(address), options);
    dialling.delete(address);
    if (link.isOk()) {
      links.set(address, { link: link.value, lastUsedAtMs: options.clock.now() });
      onLink(link.value);
    }
    return link;
  };

  return {
    find,
    get: (address) => {
      const open = find(address);
      if (open !== undefined) {
        return Promise.resolve(ok(open));
      }
      const pending = dialling.get(address) ?? dialOnce(address);
      dialling.set(address, pending);
      return pending;
    },
    closeIdle: (sinceMs, isBusy) => {
      for (const [address, { link, lastUsedAtMs }] of links) {
        if (lastUsedAtMs < sinceMs && !isBusy(link)) {
          links.delete(address);
          link.close();
        }
      }
    },
    closeAll: () => {
      for (const { link } of links.values()) {
        link.close();
      }
      links.clear();
    },
    size: () => links.size,
  };
}
