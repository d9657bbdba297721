/** The paces of all servers, as one entry knows them from answers and from the other entries. */
import { type Clock } from '@toucanbend/core';
import { type Logger } from '@toucanbend/observability';
import { type ServerRun } from '@toucanbend/restrictions';
import { type PaceUpdate, PaceUpdateKind } from './pace-update.js';
import {
  beginPace,
  MAX_PACE_MS,
  mergePaces,
  paceAfterAnswer,
  PaceCause,
  type PacedAnswer,
  reducePace,
  type ServerPace,
} from './server-pace.js';

/** The paces of all servers. */
export interface ServerPaces {
  /** Returns the share of a server's slots that placement should use, in (0, 1]. */
  shareOf(server: ServerRun): number;
  /** Begins a reduced pace, unless too few equals serve that could take the load. */
  begin(server: ServerRun, cause: PaceCause): void;
  /** Records an answer of a server. */
  answered(server: ServerRun, answer: PacedAnswer): void;
  /** Records that a server failed a request, which reduces its pace, or begins a reduced one. */
  failed(server: ServerRun, sentAtMs: number): void;
  /** Records that a server refused a request, which reduces its pace if that is reduced already. */
  refused(server: ServerRun, sentAtMs: number): void;
  /** Handles an update of another entry. */
  receive(update: PaceUpdate): void;
  /** Returns what another entry needs to know that starts or was cut off. */
  list(): PaceUpdate[];
  /** Returns the number of servers with a reduced pace. */
  pacedCount(): number;
  /** Records which runs of servers are registered, and drops the paces of others and those that have ended by their age. */
  prune(registered: readonly ServerRun[]): void;
}

/** Dependencies and callbacks of the paces of an entry. */
export interface PacesOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Sends an update to the other entries. */
  readonly broadcast: (update: PaceUpdate) => void;
  /** Returns the other ready servers of the service of a server; undefined if its service has no pace. */
  readonly equalsOf: (server: string) => readonly ServerRun[] | undefined;
}

/** Time for which a run must have been known until it counts as serving, in milliseconds. */
const SERVING_AFTER_MS = 10_000;
/** Share of a service's servers that must serve at full pace for another one to begin at a reduced one. */
const MIN_SERVING_SHARE = 0.5;
/** Shares are logged and sent to the other entries when they pass a multiple of this step. */
const STEP = 0.125;

/** Time within which entries notice the same event at a server, in milliseconds: a record takes about half a second to all. */
const SAME_BEGINNING_MS = 2_000;

interface KnownPace extends ServerPace {
  readonly bornAtMs: number;
}

class EntryPaces implements ServerPaces {
  readonly #options: PacesOptions;
  readonly #paces = new Map<string, KnownPace>();
  /** Since when each registered run is known, by id. */
  readonly #knownSince = new Map<string, { readonly bornAtMs: number; readonly sinceMs: number }>();

  constructor(options: PacesOptions) {
    this.#options = options;
  }

  shareOf(server: ServerRun): number {
    return this.#find(server)?.share ?? 1;
  }

  begin(server: ServerRun, cause: PaceCause): void {
    if (!this.#hasBegun(server, cause)) {
      this.#begin(server, cause);
    }
  }

  answered(server: ServerRun, answer: PacedAnswer): void {
    const known = this.#find(server);
    if (known === undefined) {
      return;
    }
    const pace = paceAfterAnswer(known, answer, this.#options.clock.now());
    this.#replace(server, pace ?? { ...known, share: 1 });
  }

  failed(server: ServerRun, sentAtMs: number): void {
    const known = this.#runOf(server);
    if (known !== undefined && sentAtMs < known.fellAtMs) {
      return;
    }
    if (this.#find(server) === undefined) {
      this.#begin(server, PaceCause.Recovered);
    } else {
      this.refused(server, sentAtMs);
    }
  }

  refused(server: ServerRun, sentAtMs: number): void {
    const known = this.#find(server);
    if (known !== undefined) {
      this.#replace(server, reducePace(known, sentAtMs, this.#options.clock.now()));
    }
  }

  receive({ server: id, bornAtMs, cause, share, falls, fellAtMs }: PaceUpdate): void {
    const known = this.#paces.get(id);
    if (this.#options.equalsOf(id) === undefined || (known !== undefined && known.bornAtMs > bornAtMs)) {
      return;
    }
    const changedAtMs = this.#options.clock.now();
    const received: ServerPace = { cause, share, falls, fellAtMs, changedAtMs };
    const merged = known?.bornAtMs === bornAtMs ? mergePaces(known, received) : received;
    this.#store({ id, bornAtMs }, merged, 'peer');
  }

  list(): PaceUpdate[] {
    return this.#current().map(([server, pace]) => this.#updateOf(server, pace));
  }

  pacedCount(): number {
    return this.#current().length;
  }

  prune(registered: readonly ServerRun[]): void {
    const nowMs = this.#options.clock.now();
    const born = new Map(registered.map(({ id, bornAtMs }) => [id, bornAtMs]));
    for (const { id, bornAtMs } of registered) {
      if (this.#knownSince.get(id)?.bornAtMs !== bornAtMs) {
        this.#knownSince.set(id, { bornAtMs, sinceMs: nowMs });
      }
    }
    for (const id of [...this.#knownSince.keys()].filter((known) => !born.has(known))) {
      this.#knownSince.delete(id);
    }
    for (const [id, { bornAtMs, fellAtMs, share }] of this.#paces) {
      if (fellAtMs + MAX_PACE_MS <= nowMs || (born.get(id) ?? bornAtMs) !== bornAtMs) {
        this.#paces.delete(id);
        if (share < 1) {
          this.#options.logger.info('server pace', { server: id, share: 1, before: share, source: 'age' });
        }
      }
    }
  }

  /** Returns what is known of a run, also if its share is whole again. */
  #runOf({ id, bornAtMs }: ServerRun): KnownPace | undefined {
    const known = this.#paces.get(id);
    return known?.bornAtMs === bornAtMs ? known : undefined;
  }

  /** Returns the pace of a run whose share is not whole. */
  #find(server: ServerRun): KnownPace | undefined {
    const known = this.#runOf(server);
    const isOver = known === undefined || known.fellAtMs + MAX_PACE_MS <= this.#options.clock.now();
    return isOver || known.share >= 1 ? undefined : known;
  }

  #current(): [string, KnownPace][] {
    return [...this.#paces].filter(([id, pace]) => this.#find({ id, bornAtMs: pace.bornAtMs }) !== undefined);
  }

  #begin(server: ServerRun, cause: PaceCause): void {
    if (this.#mayPace(server)) {
      this.#replace(server, beginPace(cause, this.#options.clock.now(), this.#runOf(server)));
    }
  }

  /** Returns whether a pace has begun for the same reason, as another entry has told. A run starts only once. */
  #hasBegun(server: ServerRun, cause: PaceCause): boolean {
    const known = this.#runOf(server);
    const isRecent = known?.cause === cause && this.#options.clock.now() - known.fellAtMs < SAME_BEGINNING_MS;
    return isRecent || (known !== undefined && cause === PaceCause.Started);
  }

  /** Returns whether enough equals serve at full pace to take the load that a reduced pace leaves them. */
  #mayPace({ id }: ServerRun): boolean {
    const equals = this.#options.equalsOf(id);
    if (equals === undefined) {
      return false;
    }
    const servingSinceMs = this.#options.clock.now() - SERVING_AFTER_MS;
    const serving = equals.filter((equal) => {
      const known = this.#knownSince.get(equal.id);
      const isKnown = known?.bornAtMs === equal.bornAtMs && known.sinceMs <= servingSinceMs;
      return isKnown && this.shareOf(equal) === 1;
    });
    return serving.length >= MIN_SERVING_SHARE * (equals.length + 1);
  }

  #replace(server: ServerRun, pace: ServerPace): void {
    const before = this.#paces.get(server.id);
    const isStep = this.#store(server, pace, 'own');
    const after = this.#paces.get(server.id);
    if (after !== undefined && (isStep || before?.falls !== after.falls)) {
      this.#options.broadcast(this.#updateOf(server.id, after));
    }
  }

  /** Stores a pace. Returns whether its share has passed a step. */
  #store(server: ServerRun, pace: ServerPace, source: string): boolean {
    const before = this.shareOf(server);
    // A whole share is kept until its age ends the pace, so that late updates of others do not reduce it again.
    this.#paces.set(server.id, { ...pace, bornAtMs: server.bornAtMs });
    const { share, cause, falls } = pace;
    const isStep = Math.floor(share / STEP) !== Math.floor(before / STEP);
    if (isStep) {
      const { logger } = this.#options;
      logger.info('server pace', { server: server.id, share, before, cause, falls, source });
    }
    return isStep;
  }

  #updateOf(server: string, pace: KnownPace): PaceUpdate {
    const { bornAtMs, cause, share, falls, fellAtMs } = pace;
    return { kind: PaceUpdateKind.Pace, server, bornAtMs, cause, share, falls, fellAtMs };
  }
}

/**
 * Creates the paces of an entry.
 *
 * @param options - dependencies and callbacks
 * @returns the paces; all servers have a whole share
 */
export function createServerPaces(options: PacesOptions): ServerPaces {
  return new EntryPaces(options);
}
