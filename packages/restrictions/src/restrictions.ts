/** The restrictions of all servers, as one entry knows them from answers and from the other entries. */
import { type Clock } from '@toucanbend/core';
import { type Logger } from '@toucanbend/observability';
import { type BackendServer } from '@toucanbend/registry';
import murmurhash from 'murmurhash';
import {
  changeRate,
  countRequest,
  type LimitShare,
  newLimit,
  nextRequestAtMs,
  type RateLimit,
} from './rate-limit.js';
import { type RestrictionUpdate, RestrictionUpdateKind } from './restriction-update.js';
import { type ServerNotice, UNLIMITED } from './server-notice.js';

/** One run of a backend server. */
export type ServerRun = Pick<BackendServer, 'id' | 'bornAtMs'>;

/** Where a notice comes from. */
export interface NoticeSource {
  /** Id of the request whose answer has the notice. */
  readonly requestId: string;
  /** Time at which the request was sent to the server, in milliseconds. */
  readonly sentAtMs: number;
}

/** The restrictions of all servers. */
export interface ServerRestrictions {
  /** Records what a server states in an answer to this entry. */
  stated(server: ServerRun, notice: ServerNotice, source: NoticeSource): void;
  /** Handles an update of another entry. */
  receive(update: RestrictionUpdate): void;
  /** Counts a request that this or another entry sends to a server, or a part of one. */
  countRequest(server: string, atMs: number): void;
  /**
   * Returns the time from which a server accepts a request of this entry, in milliseconds; a time in the past if the
   * server accepts one now.
   */
  availableAtMs(server: ServerRun): number;
  /** Returns what another entry needs to know that starts or was cut off. */
  list(): RestrictionUpdate[];
  /** Returns the number of servers with a rate limit. */
  limitedCount(): number;
  /** Drops what is known of servers that have not been registered for some time. */
  prune(registered: ReadonlySet<string>): void;
}

/** Identity, dependencies and callbacks of the restrictions of an entry. */
export interface RestrictionsOptions {
  /** Name of this entry. */
  readonly entry: string;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Returns the part of each limit that this entry and those linked to it have. */
  readonly share: () => LimitShare;
  /** Sends an update to the other entries. */
  readonly broadcast: (update: RestrictionUpdate) => void;
}

/** What is known of one server. */
interface Restriction {
  readonly bornAtMs: number;
  readonly limit: RateLimit | undefined;
  /** Time of the last statement about the limit, in milliseconds. */
  readonly statedAtMs: number;
}

/**
 * Time for which the restrictions of a server are kept that is not registered, in milliseconds: registrations may lapse
 * while the store is unreachable.
 */
const UNREGISTERED_MS = 600_000;
const HASH_RANGE = 0x1_0000_0000;

class EntryRestrictions implements ServerRestrictions {
  readonly #options: RestrictionsOptions;
  readonly #servers = new Map<string, Restriction>();

  constructor(options: RestrictionsOptions) {
    this.#options = options;
  }

  stated(server: ServerRun, notice: ServerNotice, source: NoticeSource): void {
    const { logger } = this.#options;
    const { limitPerSecond, invalid } = notice;
    if (invalid.length > 0) {
      logger.warn('server notice invalid, ignored', {
        request: source.requestId,
        server: server.id,
        invalid,
      });
    }
    if (limitPerSecond === UNLIMITED) {
      this.#endLimit(server, source);
    } else if (limitPerSecond !== undefined) {
      this.#setLimit(server, limitPerSecond, source);
    }
  }

  receive(update: RestrictionUpdate): void {
    const { server: id, bornAtMs, perSecond, statedAtMs, usedUntilMs } = update;
    const known = this.#servers.get(id);
    if (known !== undefined && known.bornAtMs > bornAtMs) {
      return;
    }
    const nowMs = this.#options.clock.now();
    const current = known?.bornAtMs === bornAtMs ? known : undefined;
    const isNewer = current === undefined || statedAtMs > current.statedAtMs;
    const ratePerSecond = isNewer ? perSecond : current.limit?.perSecond;
    const before = current?.limit;
    const limit =
      ratePerSecond === undefined
        ? undefined
        : this.#merge(
            changeRate(before ?? newLimit(ratePerSecond, nowMs), ratePerSecond, nowMs),
            usedUntilMs,
          );
    this.#servers.set(id, { bornAtMs, limit, statedAtMs: isNewer ? statedAtMs : current.statedAtMs });
    if (before?.perSecond !== ratePerSecond) {
      this.#logLimit(id, before, limit, { statedAgoMs: Math.round(nowMs - statedAtMs), source: 'peer' });
    }
  }

  countRequest(server: string, atMs: number): void {
    const known = this.#servers.get(server);
    if (known?.limit !== undefined) {
      this.#servers.set(server, { ...known, limit: countRequest(known.limit, this.#options.share(), atMs) });
    }
  }

  availableAtMs(server: ServerRun): number {
    const limit = this.#find(server)?.limit;
    if (limit === undefined) {
      return Number.NEGATIVE_INFINITY;
    }
    const { entry, share } = this.#options;
    const seed = `${entry}/${server.id}/${String(Math.round(limit.usedUntilMs))}`;
    return nextRequestAtMs(limit, share(), murmurhash.v3(seed) / HASH_RANGE);
  }

  list(): RestrictionUpdate[] {
    return [...this.#servers].map(([id, known]) => this.#updateOf(id, known));
  }

  limitedCount(): number {
    return [...this.#servers.values()].filter(({ limit }) => limit !== undefined).length;
  }

  prune(registered: ReadonlySet<string>): void {
    const beforeMs = this.#options.clock.now() - UNREGISTERED_MS;
    for (const [id, { statedAtMs }] of this.#servers) {
      if (!registered.has(id) && statedAtMs < beforeMs) {
        this.#servers.delete(id);
      }
    }
  }

  /** Returns a limit with the requests that another entry has counted. */
  #merge(limit: RateLimit, usedUntilMs: number): RateLimit {
    return { ...limit, usedUntilMs: Math.max(limit.usedUntilMs, usedUntilMs) };
  }

  /** Returns what is known of this run of a server. */
  #find(server: ServerRun): Restriction | undefined {
    const known = this.#servers.get(server.id);
    return known?.bornAtMs === server.bornAtMs ? known : undefined;
  }

  #setLimit(server: ServerRun, perSecond: number, source: NoticeSource): void {
    const { clock, share } = this.#options;
    const nowMs = clock.now();
    const before = this.#find(server)?.limit;
    const limit =
      before === undefined
        ? countRequest(newLimit(perSecond, nowMs), share(), nowMs)
        : changeRate(before, perSecond, nowMs);
    this.#record(server, { bornAtMs: server.bornAtMs, limit, statedAtMs: nowMs }, before, source);
  }

  /** Ends a limit, unless the server stated it after it got the request. */
  #endLimit(server: ServerRun, source: NoticeSource): void {
    const known = this.#find(server);
    if (known?.limit !== undefined && source.sentAtMs > known.statedAtMs) {
      const statedAtMs = this.#options.clock.now();
      this.#record(server, { ...known, limit: undefined, statedAtMs }, known.limit, source);
    }
  }

  #record(
    { id }: ServerRun,
    restriction: Restriction,
    before: RateLimit | undefined,
    source: NoticeSource,
  ): void {
    const { limit } = restriction;
    this.#servers.set(id, restriction);
    if (before?.perSecond !== limit?.perSecond) {
      this.#logLimit(id, before, limit, { request: source.requestId, source: 'answer' });
      this.#options.broadcast(this.#updateOf(id, restriction));
    }
  }

  #updateOf(id: string, { bornAtMs, limit, statedAtMs }: Restriction): RestrictionUpdate {
    return {
      kind: RestrictionUpdateKind.Limit,
      server: id,
      bornAtMs,
      perSecond: limit?.perSecond,
      statedAtMs,
      usedUntilMs: limit?.usedUntilMs ?? 0,
    };
  }

  #logLimit(
    server: string,
    before: RateLimit | undefined,
    after: RateLimit | undefined,
    fields: Readonly<Record<string, string | number>>,
  ): void {
    const { fraction, entries } = this.#options.share();
    this.#options.logger.info('server limit', {
      server,
      limitPerSecond: after?.perSecond ?? 'none',
      before: before?.perSecond ?? 'none',
      fraction,
      entries,
      ...fields,
    });
  }
}

/**
 * Creates the restrictions of an entry.
 *
 * @param options - identity, dependencies and callbacks
 * @returns the restrictions, of which there are none yet
 */
export function createServerRestrictions(options: RestrictionsOptions): ServerRestrictions {
  return new EntryRestrictions(options);
}
