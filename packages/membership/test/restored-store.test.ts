/** Following a store that returns with an older copy, in which revisions and leases are given out again. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createManualClock, createRandom, type ManualClock } from '@toucanbend/core';
import {
  applyTransfer,
  createFollower,
  createRegistrar,
  createRegistryHolder,
  createStoreHealth,
  type ListingHandler,
  type RegistryHolder,
} from '@toucanbend/membership';
import { type Logger } from '@toucanbend/observability';
import {
  type Catalogue,
  isBehind,
  listEntries,
  listServers,
  newestPositions,
  RecordKind,
  type RegistryRecord,
  ServerState,
  transferOf,
} from '@toucanbend/registry';
import { CopiedStore } from './support/copied-store.js';

const ignore = (): void => undefined;
const logger: Logger = { decision: ignore, info: ignore, warn: ignore, error: ignore, explain: () => [] };
const EXPIRY_MS = 3_600;
const settings = { waitMs: 1_000, intervalMs: 500, isShared: false };

function server(id: string, state = ServerState.Ready): unknown {
  const address = { host: '10.0.0.1', port: 80, dataCentre: 'bagmati-a' };
  return { id, service: 'vanes', slots: 4, state, bornAtMs: 7, ...address };
}

function catalogue(version: number): Catalogue {
  const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
  return { version, routes: [], services: [], accounts: [], limits };
}

interface Entry {
  readonly holder: RegistryHolder;
  readonly applyListing: ListingHandler;
  readonly clock: ManualClock;
  readyServers(): string[];
  version(): number;
  advance(ms: number): Promise<void>;
}

const settle = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));

async function startEntry(
  store: CopiedStore,
  { clock = createManualClock(), isReader = true } = {},
): Promise<Entry> {
  const isShared = !isReader;
  const holder = createRegistryHolder({ clock, logger, expiryMs: EXPIRY_MS, onDeferred: ignore });
  const follower = createFollower({
    source: store,
    holder,
    clock,
    random: createRandom(1),
    logger,
    watchSettings: {
      [RecordKind.Catalogue]: settings,
      [RecordKind.Server]: { ...settings, isShared },
      [RecordKind.Entry]: { ...settings, isShared },
      [RecordKind.Quarantine]: { ...settings, isShared },
    },
    storeHealth: createStoreHealth(clock, logger),
    linkedEntryCount: () => 0,
    isReader: () => isReader,
    onChanges: ignore,
  });
  follower.start();
  await settle();
  return {
    holder,
    applyListing: follower.applyListing,
    clock,
    readyServers: () =>
      listServers(holder.current())
        .filter(({ state }) => state === ServerState.Ready)
        .map(({ id }) => id)
        .sort(),
    version: () => holder.current().catalogue?.version ?? 0,
    advance: async (ms) => {
      for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 100) {
        clock.advance(100);
        await settle();
      }
    },
  };
}

/** Transfers the records that an entry lacks from a linked one, as it does when that one announces them. */
function pull(to: Entry, from: Entry): void {
  const registry = from.holder.current();
  const { positions } = to.holder.current();
  if (isBehind(positions, newestPositions(registry))) {
    applyTransfer(to.holder, to.applyListing, transferOf(registry, positions, true), 'peer');
  }
}

describe('an entry whose store returns with an older copy', () => {
  it('takes a version whose revision is lower than the highest one before', async () => {
    const store = new CopiedStore();
    const copy = store.copy();
    store.write(RecordKind.Catalogue, '', catalogue(5));
    for (let index = 0; index < 50; index += 1) {
      store.write(RecordKind.Server, `s${String(index)}`, server(`s${String(index)}`));
    }
    const entry = await startEntry(store);
    store.restore(copy);
    await entry.advance(1_000);
    assert.equal(entry.version(), 5, 'the version in force stays until the operator writes again');
    store.write(RecordKind.Catalogue, '', catalogue(5));
    store.write(RecordKind.Catalogue, '', catalogue(8));
    await entry.advance(1_000);
    assert.equal(entry.version(), 8);
  });

  it('does not go back to the older version that the copy holds', async () => {
    const store = new CopiedStore();
    store.write(RecordKind.Catalogue, '', catalogue(4));
    const copy = store.copy();
    store.write(RecordKind.Catalogue, '', catalogue(5));
    const entry = await startEntry(store);
    store.restore(copy);
    await entry.advance(10_000);
    assert.equal(entry.version(), 5);
  });

  it('keeps servers that the copy lacks until they have had time to register again', async () => {
    const store = new CopiedStore();
    store.write(RecordKind.Server, 's1', server('s1'));
    const copy = store.copy();
    store.write(RecordKind.Server, 's2', server('s2'));
    store.write(RecordKind.Server, 's3', server('s3'));
    const entry = await startEntry(store);
    store.restore(copy);
    await entry.advance(1_500);
    assert.deepEqual(entry.readyServers(), ['s1', 's2', 's3']);
    store.write(RecordKind.Server, 's2', server('s2'));
    await entry.advance(2_000);
    assert.deepEqual(entry.readyServers(), ['s1', 's2']);
  });

  it('takes no server back that has left since the copy, unless it is still written', async () => {
    const store = new CopiedStore();
    for (const id of ['s1', 's2', 's3', 's4']) {
      store.write(RecordKind.Server, id, server(id));
    }
    const copy = store.copy();
    const entry = await startEntry(store);
    store.write(RecordKind.Server, 's2', server('s2', ServerState.Leaving));
    store.remove(RecordKind.Server, 's3');
    store.remove(RecordKind.Server, 's4');
    await entry.advance(1_000);
    assert.deepEqual(entry.readyServers(), ['s1']);
    store.restore(copy);
    await entry.advance(3_000);
    assert.deepEqual(entry.readyServers(), ['s1']);
    store.remove(RecordKind.Server, 's3');
    store.write(RecordKind.Server, 's2', server('s2', ServerState.Leaving));
    await entry.advance(EXPIRY_MS);
    assert.deepEqual(entry.readyServers(), ['s1', 's4']);
  });

  it('uses a server again as soon as a write that is certainly newer says that it is ready', async () => {
    const store = new CopiedStore();
    store.write(RecordKind.Server, 's1', server('s1'));
    const copy = store.copy();
    const entry = await startEntry(store);
    store.remove(RecordKind.Server, 's1');
    await entry.advance(1_000);
    assert.deepEqual(entry.readyServers(), []);
    store.restore(copy);
    store.write(RecordKind.Catalogue, '', catalogue(4));
    store.write(RecordKind.Server, 's1', server('s1'));
    await entry.advance(1_000);
    assert.deepEqual(entry.readyServers(), ['s1']);
  });

  it('follows two restorations in quick succession', async () => {
    const store = new CopiedStore();
    store.write(RecordKind.Server, 's1', server('s1'));
    store.write(RecordKind.Catalogue, '', catalogue(4));
    const copy = store.copy();
    const entry = await startEntry(store);
    store.write(RecordKind.Catalogue, '', catalogue(6));
    store.remove(RecordKind.Server, 's1');
    await entry.advance(1_000);
    store.restore(copy);
    await entry.advance(700);
    store.write(RecordKind.Catalogue, '', catalogue(6));
    store.restore(copy);
    await entry.advance(700);
    assert.equal(entry.version(), 6);
    assert.deepEqual(entry.readyServers(), []);
    store.write(RecordKind.Catalogue, '', catalogue(6));
    store.write(RecordKind.Catalogue, '', catalogue(7));
    await entry.advance(1_000);
    assert.equal(entry.version(), 7);
  });

  it('takes no server back from a copy that the store has replaced by another one', async () => {
    const store = new CopiedStore();
    const empty = store.copy();
    store.write(RecordKind.Server, 's1', server('s1'));
    const copy = store.copy();
    const entry = await startEntry(store);
    store.remove(RecordKind.Server, 's1');
    await entry.advance(1_000);
    store.restore(copy);
    await entry.advance(1_000);
    store.restore(empty);
    await entry.advance(10_000);
    assert.deepEqual(entry.readyServers(), []);
  });

  it('agrees with an entry that still knows the earlier era, whichever hears of the other first', async () => {
    const store = new CopiedStore();
    store.write(RecordKind.Catalogue, '', catalogue(4));
    store.write(RecordKind.Server, 's1', server('s1'));
    const copy = store.copy();
    store.write(RecordKind.Catalogue, '', catalogue(6));
    store.write(RecordKind.Server, 's1', server('s1', ServerState.Leaving));
    const before = await startEntry(store);
    store.restore(copy);
    const started = await startEntry(store);
    assert.equal(started.version(), 4);
    const recordsOf = ({ holder }: Entry): RegistryRecord[] => [...holder.current().records.values()];
    const [ofBefore, ofStarted] = [recordsOf(before), recordsOf(started)];
    started.holder.merge(ofBefore, {});
    before.holder.merge(ofStarted, {});
    assert.deepEqual([before.version(), started.version()], [6, 6]);
    assert.deepEqual(before.readyServers(), []);
  });

  it('uses a server that is written again, although an entry still sends its earlier removal', async () => {
    const clock = createManualClock();
    const holder = createRegistryHolder({ clock, logger, expiryMs: EXPIRY_MS, onDeferred: ignore });
    const id = 's1';
    const removal = { kind: RecordKind.Server, id, position: { era: 1, revision: 50 } } as RegistryRecord;
    const written = {
      kind: RecordKind.Server,
      id,
      position: { era: 2, revision: 47 },
      value: server(id),
    } as RegistryRecord;
    holder.merge([removal], {});
    holder.merge([written], {});
    holder.merge([removal], {});
    clock.advance(60_000);
    assert.deepEqual(
      listServers(holder.current()).map((found) => found.id),
      [id],
    );
  });

  it('drops a server that the copy lacks, also if another entry has started since', async () => {
    const store = new CopiedStore();
    store.write(RecordKind.Server, 's1', server('s1'));
    const copy = store.copy();
    store.write(RecordKind.Server, 's2', server('s2'));
    const clock = createManualClock();
    const reader = await startEntry(store, { clock });
    const other = await startEntry(store, { clock, isReader: false });
    store.restore(copy);
    const started = await startEntry(store, { clock });
    for (let elapsedMs = 0; elapsedMs < 10_000; elapsedMs += 500) {
      pull(other, started);
      pull(other, reader);
      await reader.advance(500);
      store.write(RecordKind.Server, 's1', server('s1'));
    }
    assert.deepEqual(reader.readyServers(), ['s1']);
    assert.deepEqual(other.readyServers(), ['s1']);
  });

  it('takes no server back from a copy after the store has returned with one that lacks it', async () => {
    const store = new CopiedStore();
    const without = store.copy();
    store.write(RecordKind.Server, 's1', server('s1'));
    const copy = store.copy();
    const entry = await startEntry(store);
    store.remove(RecordKind.Server, 's1');
    await entry.advance(1_000);
    store.restore(copy);
    await entry.advance(1_000);
    store.restore(without);
    await entry.advance(20_000);
    assert.deepEqual(entry.readyServers(), []);
  });

  it('registers again at once, and not with a lease of the era before', async () => {
    const store = new CopiedStore();
    const copy = store.copy();
    const clock = createManualClock();
    const member = { name: 'entry-1', address: '10.0.0.1:1', dataCentre: 'bagmati-a' };
    const storeHealth = createStoreHealth(clock, logger);
    createRegistrar({
      member,
      source: store,
      clock,
      random: createRandom(1),
      logger,
      storeHealth,
    }).start();
    await settle();
    const entry = await startEntry(store);
    store.restore(copy);
    clock.advance(500);
    await settle();
    assert.deepEqual(
      store.registered.map(({ position }) => position.era),
      [1, 2],
    );
    await entry.advance(3_000);
    assert.deepEqual(
      listEntries(entry.holder.current()).map(({ name }) => name),
      ['entry-1'],
    );
  });
});
