/** The cold periods of servers, as one entry knows them from their records and from the other entries. */
import { type Clock } from '@toucanbend/core';
import { type Logger } from '@toucanbend/observability';
import { isAfter, type StorePosition } from '@toucanbend/registry';
import { COLD_WINDOW_MS, type ColdBound, coldQuota, type ColdRank, coldRank } from './cold-quota.js';
import { type ColdUpdate, MAX_COLD_MS, RestrictionUpdateKind } from './restriction-update.js';
import { type ServerRun } from './server-run.js';

/** What the record of a server states about its cold period. */
export interface ColdStatement {
  readonly server: ServerRun;
  readonly service: string;
  /** Position of the record in the store, which identifies the statement. */
  readonly position: StorePosition;
  /** Time for which the server was still cold when it wrote the record, in milliseconds. */
  readonly coldMs: number;
  /** Whether this entry has not known this run of the server before. */
  readonly isNewRun: boolean;
}

/** The bound on the requests of cold servers, and what it depends on. */
export interface ColdOptions {
  readonly bound: ColdBound;
  /** Returns the requests per second that a cold server of a service accepts; 0 if there is no limit. */
  readonly perSecondOf: (service: string) => number;
  /** Returns the names of the registered entries. */
  readonly entries: () => readonly string[];
}

/** Identity, dependencies and callbacks of the cold periods of an entry. */
export interface ColdPeriodsOptions {
  /** Name of this entry. */
  readonly entry: string;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly broadcast: (update: ColdUpdate) => void;
  /** Undefined if servers are never cold. */
  readonly cold?: ColdOptions;
}

/** The cold periods of all servers. */
export interface ColdPeriods {
  /** Records what a record of a server states that this entry has read from the store or has got from another entry. */
  stated(statement: ColdStatement): void;
  /** Handles an update of another entry. */
  receive(update: ColdUpdate): void;
  /** Counts a request, or a part of one, that this entry sends to a server. */
  countOwnRequest(server: string, atMs: number): void;
  /** Returns the time from which a server gets a request of this entry, in milliseconds; minus infinity if it is not cold. */
  availableAtMs(server: ServerRun): number;
  /** Returns what another entry needs to know that starts or was cut off. */
  list(): ColdUpdate[];
  /** Returns the number of servers that are cold now. */
  coldCount(): number;
  /** Logs the periods that have ended, and drops what is known of servers that are not registered. */
  prune(registered: ReadonlySet<string>): void;
}

/** The latest cold period of one server. */
interface ColdPeriod extends Omit<ColdUpdate, 'kind'> {
  /** Time before which this entry sends nothing, since the requests of the last window are unknown, in milliseconds. */
  readonly holdUntilMs: number;
  /** Times of the requests of this entry within the last window, in milliseconds, in order. */
  readonly sentAtMs: readonly number[];
  readonly isLoggedCold: boolean;
}

/** Time for which the rank of this entry for a server is kept, in milliseconds: it hashes the names of all entries. */
const RANK_LIFETIME_MS = 1_000;

class EntryColdPeriods implements ColdPeriods {
  readonly #options: ColdPeriodsOptions;
  readonly #createdAtMs: number;
  readonly #periods = new Map<string, ColdPeriod>();
  readonly #ranks = new Map<string, { readonly rank: ColdRank; readonly atMs: number }>();

  constructor(options: ColdPeriodsOptions) {
    this.#options = options;
    this.#createdAtMs = options.clock.now();
  }

  stated({ server, service, position, coldMs, isNewRun }: ColdStatement): void {
    const nowMs = this.#options.clock.now();
    // A process that has just started does not know which servers are new.
    const isUnused = isNewRun && nowMs - this.#createdAtMs >= COLD_WINDOW_MS;
    const untilMs = nowMs + Math.min(MAX_COLD_MS, coldMs);
    const { id, bornAtMs } = server;
    if (coldMs === 0 && this.#periods.get(id)?.bornAtMs !== bornAtMs) {
      return;
    }
    if (this.#record({ server: id, bornAtMs, service, position, untilMs, isUnused }, 'record')) {
      this.#options.broadcast(this.#updateOf(id));
    }
  }

  receive(update: ColdUpdate): void {
    this.#record(update, 'peer');
  }

  countOwnRequest(server: string, atMs: number): void {
    const period = this.#periods.get(server);
    if (period !== undefined && period.untilMs > atMs) {
      const recent = period.sentAtMs.filter((sentAtMs) => sentAtMs > atMs - COLD_WINDOW_MS);
      this.#periods.set(server, { ...period, sentAtMs: [...recent, atMs] });
    }
  }

  availableAtMs({ id, bornAtMs }: ServerRun): number {
    const period = this.#periods.get(id);
    const nowMs = this.#options.clock.now();
    if (period === undefined || period.bornAtMs !== bornAtMs || period.untilMs <= nowMs) {
      return Number.NEGATIVE_INFINITY;
    }
    const quota = this.#quotaOf(period);
    if (quota === undefined) {
      return Number.NEGATIVE_INFINITY;
    }
    const { untilMs, holdUntilMs, sentAtMs } = period;
    const last = quota === 0 ? untilMs : sentAtMs.at(-quota);
    return Math.min(untilMs, Math.max(holdUntilMs, (last ?? Number.NEGATIVE_INFINITY) + COLD_WINDOW_MS));
  }

  list(): ColdUpdate[] {
    const limited = [...this.#periods.values()].filter(({ service }) => this.#perSecondOf(service) > 0);
    return limited.map(({ server }) => this.#updateOf(server));
  }

  coldCount(): number {
    const nowMs = this.#options.clock.now();
    return [...this.#periods.values()].filter(({ untilMs }) => untilMs > nowMs).length;
  }

  prune(registered: ReadonlySet<string>): void {
    const nowMs = this.#options.clock.now();
    for (const [id, period] of this.#periods) {
      if (period.untilMs > nowMs) {
        continue;
      }
      if (period.isLoggedCold) {
        this.#options.logger.info('server warm', { server: id, service: period.service });
        this.#periods.set(id, { ...period, isLoggedCold: false });
      }
      if (!registered.has(id)) {
        this.#periods.delete(id);
        this.#ranks.delete(id);
      }
    }
  }

  /** Returns the quota of this entry; undefined if there is no limit. */
  #quotaOf({ service, server }: ColdPeriod): number | undefined {
    const { cold } = this.#options;
    const perSecond = this.#perSecondOf(service);
    return cold === undefined || perSecond <= 0
      ? undefined
      : coldQuota(perSecond, cold.bound, this.#rankFor(server, cold));
  }

  #perSecondOf(service: string): number {
    return this.#options.cold?.perSecondOf(service) ?? 0;
  }

  #rankFor(server: string, cold: ColdOptions): ColdRank {
    const { entry, clock } = this.#options;
    const nowMs = clock.now();
    const known = this.#ranks.get(server);
    if (known !== undefined && nowMs - known.atMs < RANK_LIFETIME_MS) {
      return known.rank;
    }
    const rank = coldRank(entry, cold.entries(), server);
    this.#ranks.set(server, { rank, atMs: nowMs });
    return rank;
  }

  #updateOf(server: string): ColdUpdate {
    const period = this.#periods.get(server);
    if (period === undefined) {
      throw new Error(`no cold period of server ${server}`);
    }
    const { bornAtMs, service, position, untilMs, isUnused } = period;
    const kind = RestrictionUpdateKind.Cold;
    return { kind, server, bornAtMs, service, position, untilMs, isUnused };
  }

  /**
   * Records a statement, unless a later one is known. Each reader counts the time from when it read the record, which was
   * after the server wrote it, so that the earliest end of one statement still is not before that of the period.
   *
   * @returns whether the server turns cold by it
   */
  #record(stated: Omit<ColdUpdate, 'kind'>, source: string): boolean {
    const nowMs = this.#options.clock.now();
    const { server, position } = stated;
    const known = this.#periods.get(server);
    if (known !== undefined && (known.bornAtMs > stated.bornAtMs || isAfter(known.position, position))) {
      return false;
    }
    const sameRun = known?.bornAtMs === stated.bornAtMs ? known : undefined;
    const untilMs = this.#endOf(sameRun, stated);
    const wasCold = sameRun !== undefined && sameRun.untilMs > nowMs;
    const isCold = untilMs > nowMs;
    const isRepeated = sameRun !== undefined && !isAfter(position, sameRun.position);
    const turnsCold = isCold && !wasCold && !isRepeated;
    // Requests of the last window are unknown if entries have used the server, or if this process has just started.
    const isUnused = stated.isUnused && sameRun === undefined;
    const holdUntilMs = (isUnused ? this.#createdAtMs : nowMs) + COLD_WINDOW_MS;
    this.#periods.set(server, {
      ...stated,
      untilMs,
      holdUntilMs: turnsCold ? holdUntilMs : (sameRun?.holdUntilMs ?? Number.NEGATIVE_INFINITY),
      sentAtMs: sameRun?.sentAtMs ?? [],
      isLoggedCold: turnsCold || (sameRun?.isLoggedCold ?? false),
    });
    if (turnsCold) {
      const coldMs = Math.round(untilMs - nowMs);
      const { service, bornAtMs } = stated;
      this.#options.logger.info('server cold', { server, service, bornAtMs, coldMs, source });
    }
    return turnsCold;
  }

  /** Returns when a period ends. A record of a later era may be older than the known one, so that it shortens nothing. */
  #endOf(known: ColdPeriod | undefined, { position, untilMs }: Omit<ColdUpdate, 'kind'>): number {
    if (known === undefined) {
      return untilMs;
    }
    if (position.era > known.position.era) {
      return Math.max(known.untilMs, untilMs);
    }
    return position.revision === known.position.revision ? Math.min(known.untilMs, untilMs) : untilMs;
  }
}

/**
 * Creates the cold periods of an entry.
 *
 * @param options - identity, dependencies and callbacks
 * @returns the periods, of which none is known yet
 */
export function createColdPeriods(options: ColdPeriodsOptions): ColdPeriods {
  return new EntryColdPeriods(options);
}
