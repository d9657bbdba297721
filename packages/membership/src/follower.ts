/** Keeps the registry up to date with the store by listing and watching each kind of record, also across outages. */
import { type Clock, type Random } from '@toucanbend/core';
import { type Logger } from '@toucanbend/observability';
import { RecordKind, type RegistryRecord, type RegistrySource, SourceErrorKind } from '@toucanbend/registry';
import { createExpiryGuard } from './expiry-guard.js';
import { type RegistryHolder } from './registry-holder.js';
import { type StoreHealth } from './store-health.js';

/** Settings for watching one kind of record. */
export interface WatchSettings {
  /**
   * Time that a watch waits for changes while no other entry is linked, in milliseconds. For kinds that are not shared,
   * the wait grows with the number of linked entries, so that over all entries a watch ends about this often, whatever
   * their number.
   */
  readonly waitMs: number;
  /** Minimum time between the starts of two calls, in milliseconds: the store limits the calls of all nodes together. */
  readonly intervalMs: number;
  /** Whether only a few reader entries watch records of this kind and pass them on to the others. */
  readonly isShared: boolean;
}

/** Lists and watches the records of a store. */
export interface Follower {
  start(): void;
  stop(): void;
}

/** Dependencies, settings and callbacks of a follower. */
export interface FollowerOptions {
  readonly source: RegistrySource;
  readonly holder: RegistryHolder;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly watchSettings: Readonly<Record<RecordKind, WatchSettings>>;
  readonly storeHealth: StoreHealth;
  /** Number of linked entries, which pass on changes that they read from the store. */
  readonly linkedEntryCount: () => number;
  /** Whether this entry is one of the readers that watch shared kinds for all entries. */
  readonly isReader: () => boolean;
  /** Called when a watch returned changes, or removals that were held back are applied. */
  readonly onChanges: () => void;
}

/** Base of the exponential backoff after failed calls, in milliseconds; doubled for each failure up to the maximum. */
const BASE_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 800;
/** Maximum wait of a watch, in milliseconds: half of the maximum that the store allows. */
const MAX_WAIT_MS = 15_000;
/** Interval at which an entry checks whether it has become a reader, in milliseconds. */
const READER_CHECK_INTERVAL_MS = 250;
/** Random share of the wait: watches that one change ended at the same time then time out at different times. */
const WAIT_JITTER = 0.8;

/** Lists and watches one kind of record. */
class KindFollower {
  readonly #options: FollowerOptions;
  readonly #kind: RecordKind;
  readonly #guard = createExpiryGuard();
  #revision: number | undefined;
  #failures = 0;
  #failingSinceMs = 0;
  #isStopped = false;
  #cancelTimer = (): void => undefined;

  constructor(options: FollowerOptions, kind: RecordKind) {
    this.#options = options;
    this.#kind = kind;
    options.storeHealth.onReachable((outageMs) => {
      this.#guard.recordOutage(outageMs, options.clock.now());
    });
  }

  stop(): void {
    this.#isStopped = true;
    this.#cancelTimer();
  }

  async step(): Promise<void> {
    if (this.#isReadByOthers()) {
      this.#cancelTimer = this.#options.clock.after(READER_CHECK_INTERVAL_MS, () => {
        void this.step();
      });
      return;
    }
    const startedAtMs = this.#options.clock.now();
    const isAnswered = this.#revision === undefined ? await this.#list() : await this.#watch(this.#revision);
    if (this.#isStopped) {
      return;
    }
    const { intervalMs } = this.#options.watchSettings[this.#kind];
    const elapsedMs = this.#options.clock.now() - startedAtMs;
    const pauseMs = isAnswered ? Math.max(0, intervalMs - elapsedMs) : this.#backoffMs();
    this.#cancelTimer = this.#options.clock.after(pauseMs, () => {
      void this.step();
    });
  }

  /** Returns whether other entries watch this kind for this entry, which has listed it once itself. */
  #isReadByOthers(): boolean {
    const { watchSettings, isReader } = this.#options;
    return this.#revision !== undefined && watchSettings[this.#kind].isShared && !isReader();
  }

  async #list(): Promise<boolean> {
    const { source, holder, clock, logger } = this.#options;
    const listed = await source.list(this.#kind);
    if (listed.isErr()) {
      return this.#recordCall(listed.error.message, false);
    }
    this.#recordCall('', true);
    this.#revision = listed.value.revision;
    const held = this.#guard.holdMissing(holder.current(), this.#kind, listed.value.records, clock.now());
    holder.applyListing(this.#kind, [...listed.value.records, ...held], listed.value.revision);
    logger.info('registry listed', {
      kind: this.#kind,
      revision: listed.value.revision,
      records: listed.value.records.length,
      held: held.length,
    });
    return true;
  }

  async #watch(ownRevision: number): Promise<boolean> {
    const { source, holder, clock, onChanges } = this.#options;
    const revision = Math.max(ownRevision, holder.current().revisions[this.#kind]);
    const changes = await source.watch(this.#kind, revision, this.#waitMs());
    if (changes.isErr()) {
      if (changes.error.kind === SourceErrorKind.HistoryLost) {
        this.#revision = undefined;
        return true;
      }
      return this.#recordCall(changes.error.message, false);
    }
    this.#recordCall('', true);
    this.#revision = Math.max(revision, changes.value.revision);
    const present = this.#guard.hold(changes.value.records, clock.now());
    // While removals are held back, the registry's revision is not advanced, since peers receive it as complete.
    holder.merge(present, this.#guard.isHolding() ? {} : { [this.#kind]: this.#revision });
    if (present.length > 0) {
      onChanges();
    }
    this.#releaseHeld();
    return true;
  }

  #waitMs(): number {
    const { linkedEntryCount, watchSettings, random } = this.#options;
    const { waitMs, isShared } = watchSettings[this.#kind];
    if (isShared) {
      return waitMs;
    }
    const longestMs = Math.max(waitMs, Math.min(MAX_WAIT_MS, (waitMs * (linkedEntryCount() + 1)) / 2));
    return longestMs <= waitMs ? waitMs : longestMs * (1 - WAIT_JITTER * random.fraction());
  }

  /** Applies the removals that were held back, once servers have had time to register again after an outage. */
  #releaseHeld(): void {
    const { holder, clock, onChanges } = this.#options;
    const released: RegistryRecord[] = this.#guard.release(clock.now());
    if (released.length > 0) {
      holder.merge(released, {});
      onChanges();
    }
  }

  /** Records the result of a call to the store and returns whether the call was answered. */
  #recordCall(error: string, isAnswered: boolean): boolean {
    const { storeHealth, clock } = this.#options;
    if (isAnswered) {
      if (this.#failures > 0) {
        this.#guard.recordOutage(clock.now() - this.#failingSinceMs, clock.now());
      }
      this.#failures = 0;
      storeHealth.answered();
    } else {
      this.#failingSinceMs = this.#failures === 0 ? clock.now() : this.#failingSinceMs;
      this.#failures += 1;
      storeHealth.failed(this.#kind, error);
    }
    return isAnswered;
  }

  #backoffMs(): number {
    const longest = Math.min(MAX_BACKOFF_MS, BASE_BACKOFF_MS * 2 ** this.#failures);
    return longest * (0.5 + this.#options.random.fraction() / 2);
  }
}

/**
 * Creates the follower of a store.
 *
 * @param options - dependencies, settings and callbacks
 * @returns the follower, which does not call the store before `start`
 */
export function createFollower(options: FollowerOptions): Follower {
  const kinds = Object.values(RecordKind);
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
