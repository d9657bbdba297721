/** The quarantine of an entry: collects evidence of all entries, decides on parts and keeps the list of those in force. */
import { type Clock, type Random } from '@toucanbend/core';
import { type Logger } from '@toucanbend/observability';
import { type QuarantinedPart, quarantineIdOf } from '@toucanbend/registry';
import { createCrashEvidence, type LostAttempt } from './crash-evidence.js';
import { type QuarantineUpdate, QuarantineUpdateKind } from './quarantine-update.js';

/** Dependencies and callbacks of a quarantine. */
export interface QuarantineOptions {
  readonly clock: Clock;
  /** Returns the time of day, in milliseconds since 1970. */
  readonly wallClock: () => number;
  readonly random: Random;
  readonly logger: Logger;
  /** Sends an update to the other entries. */
  readonly broadcast: (update: QuarantineUpdate) => void;
  /** Writes a part to the store; resolves to whether the store has it. */
  readonly publish: (quarantined: QuarantinedPart) => Promise<boolean>;
  /** Removes a part from the store. */
  readonly withdraw: (quarantined: QuarantinedPart) => void;
}

/** The quarantined parts, and the evidence against others. */
export interface Quarantine {
  /** Returns the first quarantined part of a prompt, and the time until its quarantine ends, in milliseconds. */
  find(
    service: string,
    parts: readonly string[],
  ): { readonly part: string; readonly leftMs: number } | undefined;
  /** Records an attempt of this entry that was interrupted while its answer began. */
  lost(attempt: LostAttempt): void;
  /** Records that a server has written an answer of this entry well beyond its beginning. */
  served(service: string, parts: readonly string[]): void;
  /** Handles an update of another entry. */
  receive(update: QuarantineUpdate): void;
  /** Puts a part from the store in force. */
  restore(quarantined: QuarantinedPart): void;
  /** Ends the quarantine of a part that was removed from the store. */
  release(quarantined: Pick<QuarantinedPart, 'service' | 'part'>): void;
  /** Writes the parts in force to the store again, which may have lost them. */
  republish(): void;
  /** Returns the parts in force. */
  list(): QuarantinedPart[];
  /**
   * Adds a listener for parts that are quarantined.
   *
   * @returns removes the listener
   */
  onQuarantined(handle: (quarantined: QuarantinedPart) => void): () => void;
  /** Ends expired quarantines, drops old evidence, and writes parts to the store that it does not have yet. */
  prune(): void;
}

/** How a part came to be quarantined. */
enum QuarantineSource {
  Evidence = 'evidence',
  Peer = 'peer',
  Store = 'store',
}

interface ActivePart {
  readonly quarantined: QuarantinedPart;
  readonly sinceMs: number;
}

/** Duration of a quarantine, in milliseconds. A part that still crashes servers afterwards is quarantined sooner. */
const QUARANTINE_MS = 600_000;
/**
 * Delay and random part of the delay between sufficient evidence and the decision, in milliseconds. Other entries that
 * have served the part report it meanwhile, and the first entry that decides spares the others the write to the store.
 */
const DECISION_DELAY_MS = 400;
const DECISION_JITTER_MS = 100;
/** Minimum interval between reports of this entry that the same part was served, in milliseconds. */
const SERVED_REPORT_INTERVAL_MS = 500;

class EntryQuarantine implements Quarantine {
  readonly #options: QuarantineOptions;
  readonly #evidence = createCrashEvidence();
  readonly #active = new Map<string, ActivePart>();
  readonly #unpublished = new Set<string>();
  readonly #reportedAtMs = new Map<string, number>();
  readonly #listeners = new Set<(quarantined: QuarantinedPart) => void>();
  #isDecisionPending = false;

  constructor(options: QuarantineOptions) {
    this.#options = options;
  }

  find(service: string, parts: readonly string[]): { part: string; leftMs: number } | undefined {
    if (this.#active.size === 0) {
      return undefined;
    }
    const nowMs = this.#options.wallClock();
    for (const part of parts) {
      const leftMs = (this.#active.get(quarantineIdOf({ service, part }))?.quarantined.untilMs ?? 0) - nowMs;
      if (leftMs > 0) {
        return { part, leftMs };
      }
    }
    return undefined;
  }

  lost(attempt: LostAttempt): void {
    if (attempt.parts.length > 0) {
      const { request, server, parts } = attempt;
      this.#options.logger.info('answer lost as it began', { request, server, parts });
      this.#options.broadcast({ kind: QuarantineUpdateKind.Lost, attempt });
      this.#recordLoss(attempt);
    }
  }

  served(service: string, parts: readonly string[]): void {
    const suspected = parts.filter((part) => this.#evidence.isSuspected(service, part));
    const quarantined = parts.filter((part) => this.#active.has(quarantineIdOf({ service, part })));
    const nowMs = this.#options.clock.now();
    this.#recordServed(service, parts, nowMs);
    this.#reportServed(service, [...suspected, ...quarantined], nowMs);
  }

  receive(update: QuarantineUpdate): void {
    switch (update.kind) {
      case QuarantineUpdateKind.Lost: {
        this.#recordLoss(update.attempt);
        const { service, parts } = update.attempt;
        for (const part of parts) {
          const servedAtMs = this.#evidence.servedAtMs(service, part);
          if (servedAtMs !== undefined) {
            this.#reportServed(service, [part], servedAtMs);
          }
        }
        break;
      }
      case QuarantineUpdateKind.Served:
        this.#recordServed(update.service, update.parts, update.atMs);
        break;
      case QuarantineUpdateKind.Quarantined:
        this.#activate(update.quarantined, QuarantineSource.Peer);
        break;
    }
  }

  restore(quarantined: QuarantinedPart): void {
    this.#unpublished.delete(quarantineIdOf(quarantined));
    this.#activate(quarantined, QuarantineSource.Store);
  }

  release({ service, part }: Pick<QuarantinedPart, 'service' | 'part'>): void {
    this.#end(quarantineIdOf({ service, part }), 'removed from the store');
  }

  republish(): void {
    for (const id of this.#active.keys()) {
      this.#unpublished.add(id);
    }
  }

  list(): QuarantinedPart[] {
    return [...this.#active.values()].map(({ quarantined }) => quarantined);
  }

  onQuarantined(handle: (quarantined: QuarantinedPart) => void): () => void {
    this.#listeners.add(handle);
    return () => {
      this.#listeners.delete(handle);
    };
  }

  prune(): void {
    const { clock, wallClock, withdraw } = this.#options;
    this.#evidence.prune(clock.now());
    for (const [key, atMs] of this.#reportedAtMs) {
      if (clock.now() - atMs > SERVED_REPORT_INTERVAL_MS) {
        this.#reportedAtMs.delete(key);
      }
    }
    for (const [id, { quarantined }] of this.#active) {
      if (quarantined.untilMs <= wallClock()) {
        this.#end(id, 'expired');
        withdraw(quarantined);
      } else if (this.#unpublished.has(id)) {
        void this.#publish(quarantined);
      }
    }
  }

  #recordLoss(attempt: LostAttempt): void {
    const { clock, random } = this.#options;
    this.#evidence.lost(attempt);
    if (!this.#isDecisionPending && this.#evidence.findCulprit() !== undefined) {
      this.#isDecisionPending = true;
      clock.after(DECISION_DELAY_MS + DECISION_JITTER_MS * random.fraction(), () => {
        this.#isDecisionPending = false;
        this.#decide();
      });
    }
  }

  #decide(): void {
    const untilMs = this.#options.wallClock() + QUARANTINE_MS;
    for (
      let found = this.#evidence.findCulprit();
      found !== undefined;
      found = this.#evidence.findCulprit()
    ) {
      const { service, part, ...evidence } = found;
      const quarantined = { service, part, untilMs };
      this.#options.logger.warn('part of prompts crashes servers', { service, part, ...evidence });
      this.#activate(quarantined, QuarantineSource.Evidence);
      this.#options.broadcast({ kind: QuarantineUpdateKind.Quarantined, quarantined });
      this.#unpublished.add(quarantineIdOf(quarantined));
      void this.#publish(quarantined);
    }
  }

  async #publish(quarantined: QuarantinedPart): Promise<void> {
    const id = quarantineIdOf(quarantined);
    if (await this.#options.publish(quarantined)) {
      this.#unpublished.delete(id);
    }
  }

  #activate(quarantined: QuarantinedPart, source: QuarantineSource): void {
    const { clock, wallClock, logger } = this.#options;
    const id = quarantineIdOf(quarantined);
    this.#evidence.explain(quarantined.service, quarantined.part);
    if (this.#active.has(id) || quarantined.untilMs <= wallClock()) {
      return;
    }
    this.#active.set(id, { quarantined, sinceMs: clock.now() });
    logger.warn('part of prompts quarantined', { ...quarantined, source });
    this.#listeners.forEach((handle) => {
      handle(quarantined);
    });
  }

  /** Records that parts were served; an answer that was served later than a part was quarantined ends its quarantine. */
  #recordServed(service: string, parts: readonly string[], atMs: number): void {
    this.#evidence.served(service, parts, atMs);
    for (const part of parts) {
      const id = quarantineIdOf({ service, part });
      const active = this.#active.get(id);
      if (active !== undefined && atMs > active.sinceMs) {
        this.#end(id, 'served');
        this.#options.withdraw(active.quarantined);
      }
    }
  }

  #reportServed(service: string, parts: readonly string[], atMs: number): void {
    const { clock, broadcast } = this.#options;
    const nowMs = clock.now();
    const due = parts.filter((part) => {
      const reportedAtMs =
        this.#reportedAtMs.get(quarantineIdOf({ service, part })) ?? Number.NEGATIVE_INFINITY;
      return nowMs - reportedAtMs >= SERVED_REPORT_INTERVAL_MS;
    });
    due.forEach((part) => this.#reportedAtMs.set(quarantineIdOf({ service, part }), nowMs));
    if (due.length > 0) {
      broadcast({ kind: QuarantineUpdateKind.Served, service, parts: due, atMs });
    }
  }

  #end(id: string, reason: string): void {
    const active = this.#active.get(id);
    if (active !== undefined) {
      this.#active.delete(id);
      this.#unpublished.delete(id);
      this.#options.logger.warn('quarantine ended', { ...active.quarantined, reason });
    }
  }
}

/**
 * Creates the quarantine of an entry.
 *
 * @param options - dependencies and callbacks
 * @returns the quarantine, without any parts
 */
export function createQuarantine(options: QuarantineOptions): Quarantine {
  return new EntryQuarantine(options);
}
