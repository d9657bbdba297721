/** How an evacuation reaches every entry in time: through failures of readers, links and the store. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createManualClock, createRandom, type ManualClock } from '@toucanbend/core';
import {
  applyTransfer,
  createFollower,
  createRegistryHolder,
  createStoreHealth,
  isReader,
  type ListingHandler,
  type RegistryHolder,
} from '@toucanbend/membership';
import {
  evacuatedDataCentres,
  isBehind,
  newestPositions,
  RecordKind,
  type RegistrySource,
  type SourceError,
  SourceErrorKind,
  transferOf,
} from '@toucanbend/registry';
import { err, type Result } from 'neverthrow';
import { silentLogger as logger } from '../../../fakes/silent-logger.js';
import { CopiedStore } from './support/copied-store.js';

const { Evacuation } = RecordKind;
/** Time within which an evacuation must be in force, in milliseconds. */
const BOUND_MS = 5_000;
const STEP_MS = 50;
const TIMEOUT_MARGIN_MS = 700;
/** Time from a change at an entry until the linked ones have pulled it, in milliseconds. */
const PULL_MS = 150;
const ZONE = 'bagmati-a';

/** What happens to the calls of an entry to the store. */
enum Path {
  Sound,
  /** The store rejects each call. */
  Rejected,
  /** No call is answered. */
  Silent,
}

interface Entry {
  readonly name: string;
  readonly holder: RegistryHolder;
  readonly applyListing: ListingHandler;
  readonly calls: string[];
  readonly isReachingStore: () => boolean;
  path: Path;
  /** Whether its links to the other entries work. */
  isLinked: boolean;
  stop(): void;
}

const settle = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));

/** Entries around one store, on a clock that the test advances. */
class Network {
  readonly clock: ManualClock = createManualClock();
  readonly store = new CopiedStore();
  readonly entries: Entry[] = [];

  /** Returns the store as an entry sees it: watches wait for changes, and calls can fail. */
  #sourceOf(entry: () => Entry): RegistrySource {
    const { store, clock } = this;
    const wait = (ms: number): Promise<void> => new Promise((resolve) => clock.after(ms, resolve));
    const failed = async (waitMs: number): Promise<Result<never, SourceError>> => {
      const isSilent = entry().path === Path.Silent;
      await wait(isSilent ? waitMs + TIMEOUT_MARGIN_MS : 0);
      return err({
        kind: isSilent ? SourceErrorKind.Unreachable : SourceErrorKind.Refused,
        message: 'failed',
      });
    };
    return Object.assign(Object.create(store) as RegistrySource, {
      onRestored: store.onRestored.bind(store),
      list: async (kind: RecordKind) => {
        entry().calls.push(`list ${kind}`);
        return entry().path === Path.Sound ? store.list(kind) : failed(0);
      },
      watch: async (...[kind, position, waitMs]: Parameters<RegistrySource['watch']>) => {
        entry().calls.push(`watch ${kind}`);
        for (let waitedMs = 0; ; waitedMs += STEP_MS) {
          if (entry().path !== Path.Sound) {
            return failed(waitMs - waitedMs);
          }
          const changes = await store.watch(kind, position);
          if (changes.isErr() || changes.value.records.length > 0 || waitedMs >= waitMs) {
            return changes;
          }
          await wait(STEP_MS);
        }
      },
    });
  }

  linkedTo(entry: Entry): Entry[] {
    return this.entries.filter((other) => other !== entry && other.isLinked && entry.isLinked);
  }

  async start(name: string, { path = Path.Sound, isLinked = true, evacuations = true } = {}): Promise<Entry> {
    const { clock } = this;
    const holder = createRegistryHolder({ clock, logger, expiryMs: 3_600, onDeferred: () => undefined });
    const storeHealth = createStoreHealth(clock, logger);
    const pullAll = (): void => {
      clock.after(PULL_MS, () => {
        this.linkedTo(entry).forEach((other) => {
          this.#pull(other, entry);
        });
      });
    };
    const follower = createFollower({
      source: this.#sourceOf(() => entry),
      holder,
      clock,
      random: createRandom(name.length),
      logger,
      watchSettings: {
        [RecordKind.Server]: { waitMs: 2_000, intervalMs: 400, isShared: true },
        ...(evacuations
          ? { [Evacuation]: { waitMs: BOUND_MS / 2, intervalMs: BOUND_MS / 10, isShared: true } }
          : {}),
      },
      storeHealth,
      linkedEntryCount: () => this.linkedTo(entry).length,
      isReader: () =>
        isReader(
          name,
          this.linkedTo(entry)
            .filter((other) => other.isReachingStore())
            .map((other) => other.name),
        ),
      onChanges: pullAll,
    });
    const stop = (): void => {
      follower.stop();
      this.entries.splice(this.entries.indexOf(entry), 1);
    };
    const { isReachable: isReachingStore } = storeHealth;
    const { applyListing } = follower;
    const entry: Entry = { name, holder, applyListing, calls: [], isReachingStore, path, isLinked, stop };
    this.entries.push(entry);
    follower.start();
    await settle();
    this.linkedTo(entry).forEach((other) => {
      this.#pull(entry, other);
    });
    return entry;
  }

  async startAll(): Promise<void> {
    this.store.write(RecordKind.Catalogue, '', {});
    for (const name of ['e1', 'e2', 'e3', 'e4', 'e5', 'e6']) {
      await this.start(name);
    }
    await this.advance(2_000);
  }

  readers(): Entry[] {
    return this.entries.filter((entry) =>
      isReader(
        entry.name,
        this.linkedTo(entry).map(({ name }) => name),
      ),
    );
  }

  async advance(ms: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += STEP_MS) {
      this.clock.advance(STEP_MS);
      await settle();
    }
  }

  evacuate(zone = ZONE): void {
    this.store.write(Evacuation, zone, { dataCentre: zone });
  }

  /** Asserts at which entries the data centre is evacuated: at all of them, or at none. */
  assertAll(isEvacuated: boolean, entries: readonly Entry[] = this.entries): void {
    assert.deepEqual(
      entries.map(({ holder }) => [...evacuatedDataCentres(holder.current())]),
      entries.map(() => (isEvacuated ? [ZONE] : [])),
    );
  }

  #pull(to: Entry, from: Entry): void {
    const registry = from.holder.current();
    const { positions } = to.holder.current();
    if (isBehind(positions, newestPositions(registry))) {
      applyTransfer(to.holder, to.applyListing, transferOf(registry, positions, true), from.name);
    }
  }
}

async function startNetwork(): Promise<Network> {
  const network = new Network();
  await network.startAll();
  return network;
}

describe('an evacuation', () => {
  it('is in force at all entries at once, and ends as soon, by the calls of three of them', async () => {
    const network = await startNetwork();
    network.entries.forEach(({ calls }) => calls.splice(0));
    await network.advance(20_000);
    const callsFor = network.entries
      .flatMap(({ calls }) => calls)
      .filter((call) => call.endsWith(Evacuation));
    assert.ok(callsFor.length <= 3 * Math.ceil(20_000 / (BOUND_MS / 2) + 1), String(callsFor.length));
    network.evacuate();
    await network.advance(500);
    network.assertAll(true);
    network.store.remove(Evacuation, ZONE);
    await network.advance(1_000);
    network.assertAll(false);
  });

  it('is in force in time if all readers die before they pass it on', async () => {
    const network = await startNetwork();
    network.readers().forEach((reader) => {
      reader.stop();
    });
    network.evacuate();
    await network.advance(1_500);
    network.assertAll(true);
  });

  it('is in force in time at entries that the store rejects, and if it rejects all readers', async () => {
    const network = await startNetwork();
    network.readers().forEach((reader) => {
      reader.path = Path.Rejected;
    });
    network.evacuate();
    await network.advance(2_500);
    network.assertAll(true);
  });

  it('is in force in time if the watches of all readers fall silent and are answered again', async () => {
    const network = await startNetwork();
    const readers = network.readers();
    readers.forEach((reader) => (reader.path = Path.Silent));
    await network.advance(STEP_MS);
    readers.forEach((reader) => (reader.path = Path.Sound));
    network.evacuate();
    await network.advance(BOUND_MS - 1_000);
    network.assertAll(true);
  });

  it('is in force in time if the store forgets its history, also where only a listing shows it', async () => {
    const network = await startNetwork();
    network.entries.forEach((entry) => (entry.path = Path.Rejected));
    await network.advance(1_000);
    network.evacuate();
    network.store.forgetHistory();
    network.readers().forEach((reader) => (reader.path = Path.Sound));
    await network.advance(2_500);
    network.assertAll(true);
  });

  it('is known to an entry that starts late, from the store or, without the store, from a peer', async () => {
    const network = await startNetwork();
    network.evacuate();
    await network.advance(500);
    const late = [
      await network.start('late-1', { isLinked: false }),
      await network.start('late-2', { path: Path.Rejected }),
    ];
    await network.advance(PULL_MS);
    network.assertAll(true, late);
    assert.ok(late.every(({ holder }) => holder.current().positions[Evacuation].revision > 0));
  });

  it('stays as it was at an entry without store and peers, and follows when either is back', async () => {
    const network = await startNetwork();
    const [cut] = network.entries;
    assert.ok(cut !== undefined);
    const setCut = (isCut: boolean): void => {
      cut.path = isCut ? Path.Rejected : Path.Sound;
      cut.isLinked = !isCut;
    };
    setCut(true);
    await network.advance(3_000);
    network.evacuate();
    await network.advance(3_000);
    network.assertAll(false, [cut]);
    setCut(false);
    await network.advance(2_000);
    network.assertAll(true);
    setCut(true);
    await network.advance(3_000);
    network.store.remove(Evacuation, ZONE);
    await network.advance(3_000);
    network.assertAll(true, [cut]);
    setCut(false);
    await network.advance(2_000);
    network.assertAll(false);
  });

  it('is not read from the store where the deployment has none', async () => {
    const network = new Network();
    const entry = await network.start('e1', { evacuations: false });
    network.evacuate();
    await network.advance(10_000);
    assert.deepEqual(new Set(entry.calls), new Set(['list server', 'watch server']));
    network.assertAll(false);
  });
});

describe('an evacuation, when the store returns with an older copy', () => {
  it('stays in force until it has been written again, if it was begun since the copy', async () => {
    const network = await startNetwork();
    const copy = network.store.copy();
    network.evacuate();
    await network.advance(1_000);
    network.store.restore(copy);
    for (let elapsedMs = 0; elapsedMs < 12_000; elapsedMs += 100) {
      await network.advance(100);
      network.assertAll(true);
      if (elapsedMs === 4_000) {
        network.evacuate();
      }
    }
    network.store.remove(Evacuation, ZONE);
    await network.advance(1_500);
    network.assertAll(false);
  });

  it('ends some seconds after the return if it is not written again', async () => {
    const network = await startNetwork();
    const copy = network.store.copy();
    network.evacuate();
    await network.advance(1_000);
    network.store.restore(copy);
    await network.advance(4_900);
    network.assertAll(true);
    await network.advance(4_000);
    network.assertAll(false);
  });

  it('is in force again if the copy holds it, until it is removed again', async () => {
    const network = await startNetwork();
    network.evacuate();
    const copy = network.store.copy();
    await network.advance(1_000);
    network.store.remove(Evacuation, ZONE);
    await network.advance(1_000);
    network.assertAll(false);
    network.store.restore(copy);
    await network.advance(1_000);
    network.assertAll(true);
    network.store.remove(Evacuation, ZONE);
    await network.advance(1_000);
    network.assertAll(false);
  });
});
