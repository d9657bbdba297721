/** Keeps the registry up to date with the store by listing and watching each kind of record, also across outages. */
import { type Clock, type Random } from '@toucanbend/core';
import { type Logger } from '@toucanbend/observability';
import {
  evacuationsChanged,
  laterPosition,
  type RecordBatch,
  RecordKind,
  type RegistrySource,
  SourceErrorKind,
  type StorePosition,
} from '@toucanbend/registry';
import { type ListingHandler } from './registry-exchange.js';
import { type RegistryHolder } from './registry-holder.js';
import { createRemovalGuard, type RemovalGuard } from './removal-guard.js';
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
  /** Applies all records of a kind that another entry has read; those of a kind that is not followed are dropped. */
  readonly applyListing: ListingHandler;
}

/** Dependencies, settings and callbacks of a follower. */
export interface FollowerOptions {
  readonly source: RegistrySource;
  readonly holder: RegistryHolder;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  /** Settings by kind; kinds without settings are not read from the store. */
  readonly watchSettings: Readonly<Partial<Record<RecordKind, WatchSettings>>>;
  readonly storeHealth: StoreHealth;
  /** Number of linked entries, which pass on changes that they read from the store. */
  readonly linkedEntryCount: () => number;
  /** Whether this entry is one of the readers that watch shared kinds for all entries. */
  readonly isReader: () => boolean;
  /** Called when a watch returned changes, a listing evacuations, or removals that were held back are applied. */
  readonly onChanges: () => void;
}

/** Base of the exponential backoff after failed calls, in milliseconds; doubled for each failure up to the maximum. */
const BASE_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 800;
/** Wait of a reader's watch after a failed one, in milliseconds: it shows soon that the store has returned. */
const OUTAGE_WAIT_MS = 100;
/** Maximum wait of a watch, in milliseconds: half of the maximum that the store allows. */
const MAX_WAIT_MS = 15_000;
/** Interval at which an entry checks whether it has become a reader, in milliseconds. */
const READER_CHECK_INTERVAL_MS = 250;
/** Upper bound of the random delay of a listing after the store has returned with an older copy, in milliseconds. */
const MAX_RELIST_DELAY_MS = 200;
/**
 * Delay of a listing by entries that leave watching to the readers, in milliseconds: after the removals that the readers hold
 * back, and spread so that many entries do not exceed the store's limit of calls.
 */
const MIN_OTHERS_RELIST_DELAY_MS = 2_500;
const MAX_OTHERS_RELIST_DELAY_MS = 4_500;
/** Random share of the wait: watches that one change ended at the same time then time out at different times. */
const WAIT_JITTER = 0.8;

/** Lists and watches one kind of record. */
class KindFollower {
  readonly #options: FollowerOptions;
  readonly #kind: RecordKind;
  readonly #watchSettings: WatchSettings;
  readonly #guard: RemovalGuard;
  /** Position up to which this entry has read the kind itself; undefined if it is to be listed. */
  #position: StorePosition | undefined;
  #isListing = false;
  /** Number of times that this entry has begun to follow the store anew; results of earlier calls are dropped. */
  #round = 0;
  #failures = 0;
  #failingSinceMs = 0;
  /** When the last failed call was made: the store may have returned since. */
  #lastFailedAtMs = 0;
  #isStopped = false;
  #cancelTimer = (): void => undefined;
  #cancelRelease = (): void => undefined;

  constructor(options: FollowerOptions, kind: RecordKind, watchSettings: WatchSettings) {
    this.#options = options;
    this.#kind = kind;
    this.#watchSettings = watchSettings;
    this.#guard = createRemovalGuard(kind);
    options.source.onRestored((era) => {
      this.#guard.recordRestoration(era, options.clock.now());
      if (this.#isReadByOthers()) {
        this.#listLater();
      } else {
        this.#listAgain(MAX_RELIST_DELAY_MS * options.random.fraction());
      }
    });
    options.storeHealth.onReachable(({ silentMs, returnedAtMs }) => {
      this.#guard.recordOutage(silentMs, returnedAtMs);
    });
  }

  stop(): void {
    this.#isStopped = true;
    this.#cancelTimer();
    this.#cancelRelease();
  }

  async step(): Promise<void> {
    if (this.#isReadByOthers()) {
      this.#schedule(READER_CHECK_INTERVAL_MS);
      return;
    }
    const startedAtMs = this.#options.clock.now();
    const round = this.#round;
    const isAnswered =
      this.#position === undefined ? await this.#list() : await this.#watch(this.#position, round);
    if (this.#isStopped || round !== this.#round) {
      return;
    }
    const { intervalMs } = this.#watchSettings;
    const elapsedMs = this.#options.clock.now() - startedAtMs;
    this.#schedule(isAnswered ? Math.max(0, intervalMs - elapsedMs) : this.#backoffMs());
  }

  #schedule(delayMs: number): void {
    this.#cancelTimer = this.#options.clock.after(delayMs, () => {
      void this.step();
    });
  }

  /** Returns whether other entries watch this kind for this entry, which has listed it once itself. */
  #isReadByOthers(): boolean {
    return this.#position !== undefined && this.#watchSettings.isShared && !this.#options.isReader();
  }

  /** Lists the kind soon instead of waiting for a watch that the store may never answer. */
  #listAgain(delayMs: number): void {
    if (this.#isListing || this.#isStopped) {
      return;
    }
    this.#round += 1;
    this.#position = undefined;
    this.#cancelTimer();
    this.#schedule(delayMs);
  }

  /**
   * Lists the kind once although others watch it. An entry that has started since does not know what the copy lacks, so that
   * its records are taken as complete without the removals that the readers hold back.
   */
  #listLater(): void {
    const { clock, random } = this.#options;
    const spreadMs = (MAX_OTHERS_RELIST_DELAY_MS - MIN_OTHERS_RELIST_DELAY_MS) * random.fraction();
    clock.after(MIN_OTHERS_RELIST_DELAY_MS + spreadMs, () => {
      this.#listAgain(0);
    });
  }

  /**
   * Applies all records of the kind that another entry has read. Servers that it lacks may have lapsed while the store was away,
   * which this entry has not noticed as long as it does not reach the store.
   */
  receiveListing(listing: RecordBatch, peer: string): void {
    const { clock, storeHealth } = this.#options;
    // What is held back already is not held for longer by further lists.
    if (!storeHealth.isReachable() && this.#guard.heldCount() === 0) {
      this.#guard.recordLapses(clock.now());
    }
    this.#applyListing(listing, peer);
  }

  #applyListing(listing: RecordBatch, peer?: string): void {
    const { holder, clock, onChanges } = this.#options;
    const { position } = listing;
    this.#guard.recordEra(position.era, clock.now());
    holder.dropMissing(this.#kind, listing);
    const before = holder.current();
    const applied = this.#guard.holdMissing(before, listing, clock.now());
    holder.merge(applied, this.#completePosition(position), peer, { [this.#kind]: position });
    this.#scheduleRelease();
    // Other changes that only a listing shows reach the other entries by the periodic digests, too late for evacuations.
    const { begun, ended } = evacuationsChanged(holder.current(), before);
    if (begun.length + ended.length > 0) {
      onChanges();
    }
  }

  async #list(): Promise<boolean> {
    const { source, logger, clock } = this.#options;
    this.#isListing = true;
    const startedAtMs = clock.now();
    const listed = await source.list(this.#kind);
    this.#isListing = false;
    if (listed.isErr()) {
      return this.#recordFailure(listed.error.message, startedAtMs);
    }
    this.#recordAnswer();
    const { position, records } = listed.value;
    this.#position = position;
    this.#applyListing(listed.value);
    logger.info('registry listed', {
      kind: this.#kind,
      era: position.era,
      revision: position.revision,
      records: records.length,
      held: this.#guard.heldCount(),
    });
    return true;
  }

  async #watch(ownPosition: StorePosition, round: number): Promise<boolean> {
    const { source, holder, clock, onChanges } = this.#options;
    const position = this.#watchPosition(ownPosition);
    const startedAtMs = clock.now();
    const changes = await source.watch(this.#kind, position, this.#waitMs());
    if (round !== this.#round) {
      return false;
    }
    if (changes.isErr()) {
      if (changes.error.kind === SourceErrorKind.HistoryLost) {
        this.#position = undefined;
        return true;
      }
      return this.#recordFailure(changes.error.message, startedAtMs);
    }
    this.#recordAnswer();
    this.#position = laterPosition(position, changes.value.position);
    const present = this.#guard.hold(changes.value.records, clock.now());
    holder.merge(present, this.#completePosition(this.#position));
    if (present.length > 0) {
      onChanges();
    }
    this.#scheduleRelease();
    return true;
  }

  /** Shared kinds are watched from what other entries have read; positions of catalogues are not the store's. */
  #watchPosition(ownPosition: StorePosition): StorePosition {
    return this.#watchSettings.isShared
      ? laterPosition(ownPosition, this.#options.holder.current().positions[this.#kind])
      : ownPosition;
  }

  /** While removals are held back, the position is not advanced, since other entries receive it as complete. */
  #completePosition(position: StorePosition): Partial<Record<RecordKind, StorePosition>> {
    return this.#guard.heldCount() > 0 ? {} : { [this.#kind]: position };
  }

  #waitMs(): number {
    const { linkedEntryCount, random } = this.#options;
    const { waitMs, isShared } = this.#watchSettings;
    if (isShared) {
      return this.#failures > 0 ? Math.min(waitMs, OUTAGE_WAIT_MS) : waitMs;
    }
    const longestMs = Math.max(waitMs, Math.min(MAX_WAIT_MS, (waitMs * (linkedEntryCount() + 1)) / 2));
    return longestMs <= waitMs ? waitMs : longestMs * (1 - WAIT_JITTER * random.fraction());
  }

  /** Applies what is held back as soon as its objects have had time to be written again, whenever the store answers next. */
  #scheduleRelease(): void {
    this.#cancelRelease();
    if (this.#guard.heldCount() > 0 && !this.#isStopped) {
      const { clock } = this.#options;
      this.#cancelRelease = clock.after(Math.max(0, this.#guard.holdsUntilMs() - clock.now()), () => {
        this.#releaseHeld();
      });
    }
  }

  #releaseHeld(): void {
    const { holder, clock, onChanges } = this.#options;
    const released = this.#guard.release(clock.now());
    if (released.length > 0) {
      holder.merge(released, this.#position === undefined ? {} : this.#completePosition(this.#position));
      onChanges();
    }
    // A later outage may have extended the time.
    this.#scheduleRelease();
  }

  #recordAnswer(): void {
    const { storeHealth, clock } = this.#options;
    if (this.#failures > 0) {
      this.#guard.recordOutage(clock.now() - this.#failingSinceMs, this.#lastFailedAtMs);
    }
    this.#failures = 0;
    storeHealth.answered();
  }

  /** Records a call that was not answered; returns false. */
  #recordFailure(error: string, startedAtMs: number): boolean {
    const { storeHealth, clock } = this.#options;
    this.#failingSinceMs = this.#failures === 0 ? clock.now() : this.#failingSinceMs;
    this.#lastFailedAtMs = startedAtMs;
    this.#failures += 1;
    storeHealth.failed(this.#kind, error, startedAtMs);
    return false;
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
  const followers = Object.values(RecordKind).flatMap((kind) => {
    const watchSettings = options.watchSettings[kind];
    return watchSettings === undefined
      ? []
      : [{ kind, follower: new KindFollower(options, kind, watchSettings) }];
  });
  return {
    start: () => {
      followers.forEach(({ follower }) => {
        void follower.step();
      });
    },
    stop: () => {
      followers.forEach(({ follower }) => {
        follower.stop();
      });
    },
    applyListing: (kind, listing, peer) => {
      followers.find((followed) => followed.kind === kind)?.follower.receiveListing(listing, peer);
    },
  };
}
