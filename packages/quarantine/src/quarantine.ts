/** The quarantine of an entry: collects evidence of all entries, decides on causes and keeps the list of those in force. */
import { type CancelTimer, type Clock, type Random } from '@toucanbend/core';
import { type Logger } from '@toucanbend/observability';
import { type CrashCause, type QuarantinedCause, quarantineIdOf } from '@toucanbend/registry';
import { createCrashEvidence } from './crash-evidence.js';
import { causesOf, type LostAttempt, type RequestSuspects } from './lost-attempt.js';
import { type QuarantineUpdate, QuarantineUpdateKind } from './quarantine-update.js';
import { createRateLimit } from './rate-limit.js';
import { REGISTRATION_MS, SurvivalKind, survivalShownBy } from './survival.js';
import { createUnansweredAttempts, type SentAttempt } from './unanswered-attempts.js';

/** Dependencies and callbacks of a quarantine. */
export interface QuarantineOptions {
  readonly clock: Clock;
  /** Returns the time of day, in milliseconds since 1970. */
  readonly wallClock: () => number;
  readonly random: Random;
  readonly logger: Logger;
  /** Sends an update to the other entries. */
  readonly broadcast: (update: QuarantineUpdate) => void;
  /** Writes a cause to the store; resolves to whether the store has it. */
  readonly publish: (quarantined: QuarantinedCause) => Promise<boolean>;
  /** Removes a cause from the store. */
  readonly withdraw: (quarantined: QuarantinedCause) => void;
}

/** A quarantined cause of a request. */
export interface FoundCause {
  readonly cause: CrashCause;
  /** Time until the quarantine ends, in milliseconds. */
  readonly leftMs: number;
}

/** The quarantined causes, and the evidence against others. */
export interface Quarantine {
  /** Returns the first quarantined cause of a request; undefined if there is none. */
  find(service: string, suspects: RequestSuspects): FoundCause | undefined;
  /**
   * Returns whether the evidence suffices for a cause of a request, and what other entries know of it is awaited before the
   * decision. An attempt may then crash one more server.
   */
  isUnderDecision(service: string, suspects: RequestSuspects): boolean;
  /** Records that an attempt of this entry was sent. */
  sent(attempt: SentAttempt): void;
  /** Records that a part of the answer to an attempt of this entry has arrived. */
  progressed(attempt: SentAttempt): void;
  /** Records that nobody waits for the answer of an attempt of this entry any more. */
  abandoned(attempt: SentAttempt): void;
  /** Records that an attempt of this entry has ended in a way that tells nothing about its server. */
  ended(attempt: SentAttempt): void;
  /** Records an attempt of this entry that was interrupted, however much of its answer had arrived. */
  lost(attempt: SentAttempt): void;
  /** Records that a server has given whole answers to requests of this entry with these causes, and has survived it. */
  served(service: string, causes: readonly CrashCause[]): void;
  /** Records that a run of a server is no longer registered, so that its attempts will not be answered. */
  serverEnded(server: string): void;
  /** Handles an update of another entry. */
  receive(update: QuarantineUpdate): void;
  /** Puts a cause from the store in force. */
  restore(quarantined: QuarantinedCause): void;
  /** Ends the quarantine of a cause that was removed from the store. */
  release(quarantined: Omit<QuarantinedCause, 'untilMs'>): void;
  /** Writes the causes in force to the store again, which may have lost them. */
  republish(): void;
  /** Returns the causes in force. */
  list(): QuarantinedCause[];
  /**
   * Adds a listener for causes that are quarantined.
   *
   * @returns removes the listener
   */
  onQuarantined(handle: (quarantined: QuarantinedCause) => void): () => void;
  /** Ends expired quarantines, drops old evidence, and writes causes to the store that it does not have yet. */
  prune(): void;
}

/** How a cause came to be quarantined. */
enum QuarantineSource {
  Evidence = 'evidence',
  Peer = 'peer',
  Store = 'store',
}

interface ActiveCause {
  readonly quarantined: QuarantinedCause;
  readonly sinceMs: number;
}

/** Duration of a quarantine, in milliseconds. A cause that still crashes servers afterwards is quarantined sooner. */
const QUARANTINE_MS = 600_000;
/**
 * Delay and random part of the delay between sufficient evidence and the decision, in milliseconds. Other entries that
 * have served the cause report it meanwhile, and the first entry that decides spares the others the write to the store.
 */
const DECISION_DELAY_MS = 400;
const DECISION_JITTER_MS = 100;
/** Minimum interval between reports of this entry that the same cause was served, in milliseconds. */
const SERVED_REPORT_INTERVAL_MS = 500;
/** Limit on the lost attempts that this entry reports to the others in a second, which bounds the messages of a large failure. */
const MAX_LOSS_REPORTS_PER_SECOND = 100;
/** Limit on the causes in force, which bounds the memory, the records in the store and what a new link is sent. */
const MAX_ACTIVE = 1_000;
/** Number of crashes that are logged as the evidence against a cause. */
const MAX_LOGGED_CRASHES = 8;

class EntryQuarantine implements Quarantine {
  readonly #options: QuarantineOptions;
  readonly #evidence = createCrashEvidence();
  readonly #unanswered = createUnansweredAttempts();
  readonly #lossReports;
  readonly #survivalReports;
  readonly #active = new Map<string, ActiveCause>();
  readonly #unpublished = new Set<string>();
  /** Runs that have answered, unless the registry shows that others have taken their places; each with what cancels that. */
  readonly #unconfirmed = new Map<string, CancelTimer>();
  readonly #reportedAtMs = new Map<string, number>();
  readonly #listeners = new Set<(quarantined: QuarantinedCause) => void>();
  #isDecisionPending = false;

  constructor(options: QuarantineOptions) {
    this.#options = options;
    this.#lossReports = createRateLimit(options.clock, MAX_LOSS_REPORTS_PER_SECOND);
    this.#survivalReports = createRateLimit(options.clock, MAX_LOSS_REPORTS_PER_SECOND);
  }

  find(service: string, suspects: RequestSuspects): FoundCause | undefined {
    if (this.#active.size === 0) {
      return undefined;
    }
    const nowMs = this.#options.wallClock();
    for (const cause of causesOf(suspects)) {
      const active = this.#active.get(quarantineIdOf({ service, ...cause }));
      const leftMs = (active?.quarantined.untilMs ?? 0) - nowMs;
      if (leftMs > 0) {
        return { cause, leftMs };
      }
    }
    return undefined;
  }

  isUnderDecision(service: string, suspects: RequestSuspects): boolean {
    return (
      this.#isDecisionPending && causesOf(suspects).some((cause) => this.#evidence.suffices(service, cause))
    );
  }

  sent(attempt: SentAttempt): void {
    this.#unanswered.add(attempt);
  }

  progressed(attempt: SentAttempt): void {
    this.#unanswered.progressed(attempt, this.#options.clock.now());
    this.#recordSign(attempt);
  }

  abandoned(attempt: SentAttempt): void {
    this.#unanswered.abandon(attempt);
  }

  ended(attempt: SentAttempt): void {
    this.#unanswered.remove(attempt);
  }

  lost(attempt: SentAttempt): void {
    this.#unanswered.remove(attempt);
    this.#reportLoss({ ...attempt, atMs: this.#options.clock.now() }, 'connection lost');
  }

  served(service: string, causes: readonly CrashCause[]): void {
    const due = causes.filter(
      (cause) =>
        this.#evidence.isSuspected(service, cause) || this.#active.has(quarantineIdOf({ service, ...cause })),
    );
    const nowMs = this.#options.clock.now();
    this.#recordServed(service, causes, nowMs);
    this.#reportServed(service, due, nowMs);
  }

  serverEnded(server: string): void {
    this.#unconfirmed.get(server)?.();
    this.#unconfirmed.delete(server);
    for (const attempt of this.#unanswered.takeSilent(server, this.#options.clock.now())) {
      this.#reportLoss(attempt, 'server ended');
    }
  }

  receive(update: QuarantineUpdate): void {
    switch (update.kind) {
      case QuarantineUpdateKind.Lost: {
        this.#recordLoss(update.attempt);
        const { service } = update.attempt;
        for (const cause of causesOf(update.attempt)) {
          const servedAtMs = this.#evidence.servedAtMs(service, cause);
          if (servedAtMs !== undefined) {
            this.#reportServed(service, [cause], servedAtMs);
          }
        }
        break;
      }
      case QuarantineUpdateKind.Served:
        this.#recordServed(update.service, update.causes, update.atMs);
        break;
      case QuarantineUpdateKind.Survived:
        this.#evidence.survived(update.server, update.aliveAtMs);
        break;
      case QuarantineUpdateKind.Quarantined:
        this.#activate(update.quarantined, QuarantineSource.Peer);
        break;
    }
  }

  restore(quarantined: QuarantinedCause): void {
    this.#unpublished.delete(quarantineIdOf(quarantined));
    this.#activate(quarantined, QuarantineSource.Store);
  }

  release(quarantined: Omit<QuarantinedCause, 'untilMs'>): void {
    this.#end(quarantineIdOf(quarantined), 'removed from the store');
  }

  republish(): void {
    for (const id of this.#active.keys()) {
      this.#unpublished.add(id);
    }
  }

  list(): QuarantinedCause[] {
    return [...this.#active.values()].map(({ quarantined }) => quarantined);
  }

  onQuarantined(handle: (quarantined: QuarantinedCause) => void): () => void {
    this.#listeners.add(handle);
    return () => {
      this.#listeners.delete(handle);
    };
  }

  prune(): void {
    const { clock, wallClock, withdraw } = this.#options;
    this.#evidence.prune(clock.now());
    this.#unanswered.prune(clock.now());
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

  #reportLoss(attempt: LostAttempt, detail: string): void {
    const { request, server, digest, parts, sentAtMs, atMs } = attempt;
    const isReported = this.#lossReports.tryTake();
    const runMs = Math.round(atMs - sentAtMs);
    const fields = { request, server, digest, parts, runMs, detail, isReported: String(isReported) };
    this.#options.logger.info('server lost before it had answered', fields);
    if (isReported) {
      this.#options.broadcast({ kind: QuarantineUpdateKind.Lost, attempt });
    }
    this.#recordLoss(attempt);
  }

  #recordLoss(attempt: LostAttempt): void {
    const { clock, random } = this.#options;
    const isIdentified = this.#evidence.lost(attempt, clock.now());
    if (isIdentified && !this.#isDecisionPending) {
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
      const { service, cause, crashes, requests, wasServed, evidence } = found;
      const quarantined = { service, ...cause, untilMs };
      const lastCrashes = evidence.slice(-MAX_LOGGED_CRASHES);
      const fields = { service, ...cause, crashes, requests, wasServed, evidence: lastCrashes };
      this.#options.logger.warn('requests crash servers', fields);
      this.#activate(quarantined, QuarantineSource.Evidence);
      this.#options.broadcast({ kind: QuarantineUpdateKind.Quarantined, quarantined });
      this.#unpublished.add(quarantineIdOf(quarantined));
      void this.#publish(quarantined);
    }
  }

  async #publish(quarantined: QuarantinedCause): Promise<void> {
    const id = quarantineIdOf(quarantined);
    if (await this.#options.publish(quarantined)) {
      this.#unpublished.delete(id);
    }
  }

  #activate(received: QuarantinedCause, source: QuarantineSource): void {
    const { clock, wallClock, logger } = this.#options;
    const quarantined = { ...received, untilMs: Math.min(received.untilMs, wallClock() + QUARANTINE_MS) };
    const id = quarantineIdOf(quarantined);
    if (quarantined.untilMs <= wallClock()) {
      return;
    }
    this.#evidence.explain(quarantined.service, quarantined);
    if (this.#active.has(id)) {
      return;
    }
    this.#makeRoom();
    this.#active.set(id, { quarantined, sinceMs: clock.now() });
    logger.warn('cause of crashes quarantined', { ...quarantined, source });
    this.#listeners.forEach((handle) => {
      handle(quarantined);
    });
  }

  /** Ends the oldest quarantine if there are too many. */
  #makeRoom(): void {
    const [oldest] = this.#active.size < MAX_ACTIVE ? [] : this.#active;
    if (oldest !== undefined) {
      const [id, { quarantined }] = oldest;
      this.#end(id, `more than ${String(MAX_ACTIVE)} in force`);
      this.#options.withdraw(quarantined);
    }
  }

  /** Records what a part of an answer shows about attempts that were lost before at the same run of the server. */
  #recordSign({ server, sentAtMs }: SentAttempt): void {
    const { clock } = this.#options;
    const lostAtMs = this.#evidence.lastLostAtMs(server);
    if (lostAtMs === undefined) {
      return;
    }
    const survival = survivalShownBy({ sentAtMs, lostAtMs, nowMs: clock.now() });
    if (survival.kind === SurvivalKind.Survived) {
      this.#recordSurvival(server, survival.aliveAtMs);
    } else if (survival.kind === SurvivalKind.SurvivedUnlessReplaced && !this.#unconfirmed.has(server)) {
      const { aliveAtMs } = survival;
      const cancel = clock.after(REGISTRATION_MS, () => {
        this.#unconfirmed.delete(server);
        this.#recordSurvival(server, aliveAtMs);
      });
      this.#unconfirmed.set(server, cancel);
    }
  }

  /** Records that a run of a server was alive, and reports it if attempts were lost there before. */
  #recordSurvival(server: string, aliveAtMs: number): void {
    if (this.#evidence.survived(server, aliveAtMs)) {
      this.#options.logger.info('server answers after a lost connection', { server });
      if (this.#survivalReports.tryTake()) {
        this.#options.broadcast({ kind: QuarantineUpdateKind.Survived, server, aliveAtMs });
      }
    }
  }

  /** Records that causes were served; an answer that was served later than a cause was quarantined ends its quarantine. */
  #recordServed(service: string, causes: readonly CrashCause[], atMs: number): void {
    for (const cause of causes) {
      this.#evidence.served(service, cause, atMs);
      const id = quarantineIdOf({ service, ...cause });
      const active = this.#active.get(id);
      if (active !== undefined && atMs > active.sinceMs) {
        this.#end(id, 'served');
        this.#options.withdraw(active.quarantined);
      }
    }
  }

  #reportServed(service: string, causes: readonly CrashCause[], atMs: number): void {
    const { clock, broadcast } = this.#options;
    const nowMs = clock.now();
    const due = causes.filter((cause) => {
      const reportedAtMs =
        this.#reportedAtMs.get(quarantineIdOf({ service, ...cause })) ?? Number.NEGATIVE_INFINITY;
      return nowMs - reportedAtMs >= SERVED_REPORT_INTERVAL_MS;
    });
    due.forEach((cause) => this.#reportedAtMs.set(quarantineIdOf({ service, ...cause }), nowMs));
    if (due.length > 0) {
      broadcast({ kind: QuarantineUpdateKind.Served, service, causes: due, atMs });
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
 * @returns the quarantine, without any causes
 */
export function createQuarantine(options: QuarantineOptions): Quarantine {
  return new EntryQuarantine(options);
}
