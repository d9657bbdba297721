/** The restrictions of all servers, as one entry knows them from answers and from the other entries. */
import { type Clock } from '@toucanbend/core';
import { type Logger } from '@toucanbend/observability';
import murmurhash from 'murmurhash';
import { type ColdOptions, type ColdPeriods, createColdPeriods } from './cold-periods.js';
import {
  changeRate,
  countRequest,
  type LimitShare,
  newLimit,
  nextRequestAtMs,
  type RateLimit,
} from './rate-limit.js';
import { type LimitUpdate, type RestrictionUpdate, RestrictionUpdateKind } from './restriction-update.js';
import { type ServerNotice, UNLIMITED } from './server-notice.js';
import { type ServerRun } from './server-run.js';

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
  /** Counts a request, or a part of one, that this entry itself sends to a server. */
  countOwnRequest(server: string, atMs: number): void;
  /** Records the cold periods that the registered servers state. */
  readonly cold: Pick<ColdPeriods, 'stated' | 'coldCount'>;
  /**
   * Returns the time from which a server accepts a request of this entry, in milliseconds: a time in the past if the
   * server accepts one now, infinity if it leaves.
   */
  availableAtMs(server: ServerRun): number;
  /** Returns what another entry needs to know that starts or was cut off. */
  list(): RestrictionUpdate[];
  /** Returns the number of servers with a rate limit. */
  limitedCount(): number;
  /** Returns the number of servers that have stated that they leave, in their present or last run. */
  leavingCount(): number;
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
  /** The bound on the requests of cold servers; undefined if servers are never cold. */
  readonly cold?: ColdOptions;
}

/** What is known of one server. */
interface Restriction {
  readonly bornAtMs: number;
  readonly limit: RateLimit | undefined;
  /** Time of the last statement about the limit, in milliseconds. */
  readonly limitStatedAtMs: number;
  readonly isLeaving: boolean;
  /** Time until which the server wants no requests from this entry, in milliseconds. */
  readonly backOffUntilMs: number;
  /** Time of the last change, in milliseconds. */
  readonly changedAtMs: number;
}

const unrestricted: Omit<Restriction, 'bornAtMs'> = {
  limit: undefined,
  limitStatedAtMs: Number.NEGATIVE_INFINITY,
  isLeaving: false,
  backOffUntilMs: Number.NEGATIVE_INFINITY,
  changedAtMs: Number.NEGATIVE_INFINITY,
};

/**
 * Time for which the restrictions of a server are kept that is not registered, in milliseconds: registrations may lapse
 * while the store is unreachable.
 */
const UNREGISTERED_MS = 600_000;
const HASH_RANGE = 0x1_0000_0000;

class EntryRestrictions implements ServerRestrictions {
  readonly #options: RestrictionsOptions;
  readonly #servers = new Map<string, Restriction>();
  readonly cold: ColdPeriods;

  constructor(options: RestrictionsOptions) {
    this.#options = options;
    this.cold = createColdPeriods(options);
  }

  stated(server: ServerRun, notice: ServerNotice, source: NoticeSource): void {
    const { logger } = this.#options;
    const { limitPerSecond, isLeaving, backOffMs, invalid } = notice;
    if (invalid.length > 0) {
      logger.warn('server notice invalid, ignored', {
        request: source.requestId,
        server: server.id,
        invalid,
      });
    }
    if (this.#isOlderRun(server)) {
      return;
    }
    if (isLeaving && this.#recordLeaving(server, { request: source.requestId, source: 'answer' })) {
      this.#options.broadcast({
        kind: RestrictionUpdateKind.Leaving,
        server: server.id,
        bornAtMs: server.bornAtMs,
      });
    }
    if (backOffMs !== undefined) {
      this.#backOff(server, backOffMs, source);
    }
    if (limitPerSecond === UNLIMITED) {
      this.#endLimit(server, source);
    } else if (limitPerSecond !== undefined) {
      this.#setLimit(server, limitPerSecond, source);
    }
  }

  receive(update: RestrictionUpdate): void {
    if (update.kind === RestrictionUpdateKind.Cold) {
      this.cold.receive(update);
      return;
    }
    const { server: id, bornAtMs } = update;
    if (this.#isOlderRun({ id, bornAtMs })) {
      return;
    }
    if (update.kind === RestrictionUpdateKind.Leaving) {
      this.#recordLeaving({ id, bornAtMs }, { source: 'peer' });
    } else {
      this.#receiveLimit(update);
    }
  }

  countRequest(server: string, atMs: number): void {
    const known = this.#servers.get(server);
    if (known?.limit !== undefined) {
      this.#servers.set(server, { ...known, limit: countRequest(known.limit, this.#options.share(), atMs) });
    }
  }

  countOwnRequest(server: string, atMs: number): void {
    this.countRequest(server, atMs);
    this.cold.countOwnRequest(server, atMs);
  }

  availableAtMs(server: ServerRun): number {
    return Math.max(this.cold.availableAtMs(server), this.#statedAvailableAtMs(server));
  }

  #statedAvailableAtMs(server: ServerRun): number {
    const known = this.#find(server);
    if (known?.isLeaving === true) {
      return Number.POSITIVE_INFINITY;
    }
    const backOffUntilMs = known?.backOffUntilMs ?? Number.NEGATIVE_INFINITY;
    return known?.limit === undefined
      ? backOffUntilMs
      : Math.max(backOffUntilMs, this.#nextRequestAtMs(server, known.limit));
  }

  list(): RestrictionUpdate[] {
    const stated = [...this.#servers].flatMap(([server, known]): RestrictionUpdate[] => {
      const { bornAtMs, limitStatedAtMs, isLeaving } = known;
      return [
        ...(isLeaving ? [{ kind: RestrictionUpdateKind.Leaving, server, bornAtMs } as const] : []),
        ...(Number.isFinite(limitStatedAtMs) ? [this.#limitUpdateOf(server, known)] : []),
      ];
    });
    return [...stated, ...this.cold.list()];
  }

  limitedCount(): number {
    return [...this.#servers.values()].filter(({ limit }) => limit !== undefined).length;
  }

  leavingCount(): number {
    return [...this.#servers.values()].filter(({ isLeaving }) => isLeaving).length;
  }

  prune(registered: ReadonlySet<string>): void {
    this.cold.prune(registered);
    const beforeMs = this.#options.clock.now() - UNREGISTERED_MS;
    for (const [id, { changedAtMs }] of this.#servers) {
      if (!registered.has(id) && changedAtMs < beforeMs) {
        this.#servers.delete(id);
      }
    }
  }

  #nextRequestAtMs({ id }: ServerRun, limit: RateLimit): number {
    const { entry, share } = this.#options;
    const seed = `${entry}/${id}/${String(Math.round(limit.usedUntilMs))}`;
    return nextRequestAtMs(limit, share(), murmurhash.v3(seed) / HASH_RANGE);
  }

  /** Returns whether a later run of the server is known. */
  #isOlderRun({ id, bornAtMs }: ServerRun): boolean {
    return (this.#servers.get(id)?.bornAtMs ?? bornAtMs) > bornAtMs;
  }

  /** Returns what is known of this run of a server. */
  #find(server: ServerRun): Restriction | undefined {
    const known = this.#servers.get(server.id);
    return known?.bornAtMs === server.bornAtMs ? known : undefined;
  }

  #update(server: ServerRun, change: Partial<Restriction>): Restriction {
    const changedAtMs = this.#options.clock.now();
    const { id, bornAtMs } = server;
    const restriction = { bornAtMs, ...(this.#find(server) ?? unrestricted), ...change, changedAtMs };
    this.#servers.set(id, restriction);
    return restriction;
  }

  /** Records that a run of a server leaves, which it does not take back. Returns whether this was unknown. */
  #recordLeaving(server: ServerRun, fields: Readonly<Record<string, string>>): boolean {
    if (this.#find(server)?.isLeaving === true) {
      return false;
    }
    const { id, bornAtMs } = server;
    this.#update(server, { isLeaving: true });
    this.#options.logger.info('server leaving', { server: id, bornAtMs, ...fields });
    return true;
  }

  /** Sends nothing to a server for a time. Only this entry does so, since the server turned only this one away. */
  #backOff(server: ServerRun, backOffMs: number, source: NoticeSource): void {
    const untilMs = this.#options.clock.now() + backOffMs;
    const backOffUntilMs = Math.max(untilMs, this.#find(server)?.backOffUntilMs ?? untilMs);
    this.#update(server, { backOffUntilMs });
    this.#options.logger.info('server turned this entry away', {
      request: source.requestId,
      server: server.id,
      backOffMs: Math.round(backOffMs),
      leftMs: Math.round(backOffUntilMs - this.#options.clock.now()),
    });
  }

  #setLimit(server: ServerRun, perSecond: number, source: NoticeSource): void {
    const { clock, share } = this.#options;
    const nowMs = clock.now();
    const before = this.#find(server)?.limit;
    const limit =
      before === undefined
        ? countRequest(newLimit(perSecond, nowMs), share(), nowMs)
        : changeRate(before, perSecond, nowMs);
    this.#changeLimit(server, limit, source);
  }

  /** Ends a limit, unless the server stated it after it got the request. */
  #endLimit(server: ServerRun, source: NoticeSource): void {
    const known = this.#find(server);
    if (known?.limit !== undefined && source.sentAtMs > known.limitStatedAtMs) {
      this.#changeLimit(server, undefined, source);
    }
  }

  #changeLimit(server: ServerRun, limit: RateLimit | undefined, source: NoticeSource): void {
    const before = this.#find(server)?.limit;
    const restriction = this.#update(server, { limit, limitStatedAtMs: this.#options.clock.now() });
    if (before?.perSecond !== limit?.perSecond) {
      this.#logLimit(server.id, before, limit, { request: source.requestId, source: 'answer' });
      this.#options.broadcast(this.#limitUpdateOf(server.id, restriction));
    }
  }

  /** Takes the rate of the later statement, and the use of the entry that has counted more requests. */
  #receiveLimit({ server: id, bornAtMs, perSecond, statedAtMs, usedUntilMs }: LimitUpdate): void {
    const nowMs = this.#options.clock.now();
    const { limit: before, limitStatedAtMs } = this.#find({ id, bornAtMs }) ?? unrestricted;
    const isNewer = statedAtMs > limitStatedAtMs;
    const ratePerSecond = isNewer ? perSecond : before?.perSecond;
    let limit: RateLimit | undefined;
    if (ratePerSecond !== undefined) {
      const changed = changeRate(before ?? newLimit(ratePerSecond, nowMs), ratePerSecond, nowMs);
      limit = { ...changed, usedUntilMs: Math.max(changed.usedUntilMs, usedUntilMs) };
    }
    this.#update({ id, bornAtMs }, { limit, limitStatedAtMs: Math.max(statedAtMs, limitStatedAtMs) });
    if (before?.perSecond !== ratePerSecond) {
      this.#logLimit(id, before, limit, { statedAgoMs: Math.round(nowMs - statedAtMs), source: 'peer' });
    }
  }

  #limitUpdateOf(server: string, { bornAtMs, limit, limitStatedAtMs }: Restriction): LimitUpdate {
    return {
      kind: RestrictionUpdateKind.Limit,
      server,
      bornAtMs,
      perSecond: limit?.perSecond,
      statedAtMs: limitStatedAtMs,
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
