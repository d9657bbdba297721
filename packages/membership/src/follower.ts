/** Follows the store: reads what is registered and keeps the registry up to date, also after outages. */
import { type Clock, type Random } from '@toucanbend/core';
import { type Logger } from '@toucanbend/observability';
import { RecordKind, type RegistryRecord, type RegistrySource, SourceErrorKind } from '@toucanbend/registry';
import { createLapseGuard } from './lapse-guard.js';
import { type RegistryHolder } from './registry-holder.js';
import { type StoreContact } from './store-contact.js';

/** Pace of following one kind of record. */
export interface FollowPace {
  /**
   * How long a watch waits for changes where no other entry passes them on, in milliseconds. It grows with the entries
   * that do: some watch ends about this often over all entries, whatever their number.
   */
  readonly waitMs: number;
  /** Least time between two calls, in milliseconds: calls to the store are limited for all nodes together. */
  readonly intervalMs: number;
  /** Whether some entries read records of the kind for all. */
  readonly isShared: boolean;
}

/** Follows the store. */
export interface Follower {
  start(): void;
  stop(): void;
}

/** What following needs. */
export interface FollowerOptions {
  readonly source: RegistrySource;
  readonly holder: RegistryHolder;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly paces: Readonly<Record<RecordKind, FollowPace>>;
  readonly contact: StoreContact;
  /** How many other entries pass on what they learn from the store. */
  readonly linkedEntries: () => number;
  /** Whether this entry is one of those that read shared kinds for all. */
  readonly isReader: () => boolean;
  /** Learns that a watch brought changes. */
  readonly onNews: () => void;
}

/** Pause after a failed call; doubled for each further one up to the longest. */
const FIRST_BACKOFF_MS = 100;
const LONGEST_BACKOFF_MS = 800;
/** Longest wait of a watch, in milliseconds: half of the longest that the store allows. */
const LONGEST_WAIT_MS = 15_000;
/** Time between two looks of an entry whether it has to read the store for others, in milliseconds. */
const READER_CHECK_MS = 250;
/** Share of the wait that is drawn at random, so that watches which a change ended together do not end together again. */
const WAIT_SPREAD = 0.8;

/** Follows one kind of record. */
class KindFollower {
  readonly #options: FollowerOptions;
  readonly #kind: RecordKind;
  readonly #guard = createLapseGuard();
  #revision: number | undefined;
  #failures = 0;
  #failingSinceMs = 0;
  #isStopped = false;
  #cancelTimer = (): void => undefined;

  constructor(options: FollowerOptions, kind: RecordKind) {
    this.#options = options;
    this.#kind = kind;
    options.contact.onRegained((silentMs) => {
      this.#guard.noteOutage(silentMs, options.clock.now());
    });
  }

  stop(): void {
    this.#isStopped = true;
    this.#cancelTimer();
  }

  async step(): Promise<void> {
    if (this.#othersRead()) {
      this.#cancelTimer = this.#options.clock.after(READER_CHECK_MS, () => {
        void this.step();
      });
      return;
    }
    const startedAtMs = this.#options.clock.now();
    const isWell = this.#revision === undefined ? await this.#list() : await this.#watch(this.#revision);
    if (this.#isStopped) {
      return;
    }
    const { intervalMs } = this.#options.paces[this.#kind];
    const elapsedMs = this.#options.clock.now() - startedAtMs;
    const pauseMs = isWell ? Math.max(0, intervalMs - elapsedMs) : this.#backoffMs();
    this.#cancelTimer = this.#options.clock.after(pauseMs, () => {
      void this.step();
    });
  }

  /** Tells whether other entries read the store for this one, which has listed it once. */
  #othersRead(): boolean {
    const { paces, isReader } = this.#options;
    return this.#revision !== undefined && paces[this.#kind].isShared && !isReader();
  }

  async #list(): Promise<boolean> {
    const { source, holder, clock, logger } = this.#options;
    const listed = await source.list(this.#kind);
    if (listed.isErr()) {
      return this.#note(listed.error.message, false);
    }
    this.#note('', true);
    this.#revision = listed.value.revision;
    const held = this.#guard.holdMissing(holder.current(), this.#kind, listed.value.records, clock.now());
    holder.list(this.#kind, [...listed.value.records, ...held], listed.value.revision);
    logger.info('registry listed', {
      kind: this.#kind,
      revision: listed.value.revision,
      records: listed.value.records.length,
      held: held.length,
    });
    return true;
  }

  async #watch(ownRevision: number): Promise<boolean> {
    const { source, holder, clock, onNews } = this.#options;
    const revision = Math.max(ownRevision, holder.current().revisions[this.#kind]);
    const changes = await source.watch(this.#kind, revision, this.#waitMs());
    if (changes.isErr()) {
      if (changes.error.kind === SourceErrorKind.HistoryLost) {
        this.#revision = undefined;
        return true;
      }
      return this.#note(changes.error.message, false);
    }
    this.#note('', true);
    this.#revision = Math.max(revision, changes.value.revision);
    const present = this.#guard.hold(changes.value.records, clock.now());
    // Other entries learn no revision up to which a removal is still held back here.
    holder.merge(present, this.#guard.isHolding() ? {} : { [this.#kind]: this.#revision });
    if (present.length > 0) {
      onNews();
    }
    this.#releaseHeld();
    return true;
  }

  #waitMs(): number {
    const { linkedEntries, paces, random } = this.#options;
    const { waitMs, isShared } = paces[this.#kind];
    if (isShared) {
      return waitMs;
    }
    const longestMs = Math.max(waitMs, Math.min(LONGEST_WAIT_MS, (waitMs * (linkedEntries() + 1)) / 2));
    return longestMs <= waitMs ? waitMs : longestMs * (1 - WAIT_SPREAD * random.fraction());
  }

  /** Removes what is still missing some time after an outage. */
  #releaseHeld(): void {
    const { holder, clock, onNews } = this.#options;
    const released: RegistryRecord[] = this.#guard.release(clock.now());
    if (released.length > 0) {
      holder.merge(released, {});
      onNews();
    }
  }

  #note(error: string, isWell: boolean): boolean {
    const { contact, clock } = this.#options;
    if (isWell) {
      if (this.#failures > 0) {
        this.#guard.noteOutage(clock.now() - this.#failingSinceMs, clock.now());
      }
      this.#failures = 0;
      contact.answered();
    } else {
      this.#failingSinceMs = this.#failures === 0 ? clock.now() : this.#failingSinceMs;
      this.#failures += 1;
      contact.failed(this.#kind, error);
    }
    return isWell;
  }

  #backoffMs(): number {
    const longest = Math.min(LONGEST_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** this.#failures);
    return longest * (0.5 + this.#options.random.fraction() / 2);
  }
}

/**
 * Creates the follower of a store.
 *
 * @param options - the store, the registry and the pace
 * @returns the follower, which does not run yet
 */
export function createFollower(options: FollowerOptions): Follower {
  const kinds = [RecordKind.Catalogue, RecordKind.Server, RecordKind.Entry];
  const followers = new Map(kinds.map((kind) => [kind, new KindFollower(options, kind)]));
  return {
    start: () => {
      followers.forEach((follower) => {
        void follower.step();
      });
    },
    stop: () => {
      followers.forEach((follower) => {
        follower.stop();
      });
    },
  };
}
