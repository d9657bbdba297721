/** Watching the store across outages, lost history and expired registrations. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createManualClock, createRandom, type ManualClock } from '@toucanbend/core';
import {
  createFollower,
  createRegistrar,
  createRegistryHolder,
  createRemovalGuard,
  createStoreHealth,
  isReader,
  type StoreHealth,
} from '@toucanbend/membership';
import { type Logger } from '@toucanbend/observability';
import {
  type BackendServer,
  listServers,
  type RecordBatch,
  RecordKind,
  type RegistryRecord,
  type RegistrySource,
  ServerState,
  type SourceError,
  SourceErrorKind,
  type StorePosition,
} from '@toucanbend/registry';
import { err, ok, type Result } from 'neverthrow';

const ignore = (): void => undefined;
const logger: Logger = { decision: ignore, info: ignore, warn: ignore, error: ignore, explain: () => [] };
const settings = { waitMs: 1_000, intervalMs: 500, isShared: false };

const at = (revision: number, era = 1): StorePosition => ({ era, revision });

function server(id: string, revision: number): RegistryRecord {
  const value: BackendServer = {
    id,
    service: 'vanes',
    host: '10.0.0.1',
    port: 80,
    dataCentre: 'bagmati-a',
    slots: 4,
    state: ServerState.Ready,
    bornAtMs: 0,
  };
  return { kind: RecordKind.Server, id, position: at(revision), value };
}

const removal = (id: string, revision: number): RegistryRecord => ({
  kind: RecordKind.Server,
  id,
  position: at(revision),
});
const unreachable: SourceError = { kind: SourceErrorKind.Unreachable, message: 'no answer' };
const historyLost: SourceError = { kind: SourceErrorKind.HistoryLost, message: 'status 410' };

type Answer = Result<RecordBatch, SourceError>;
const batch = (revision: number, ...records: readonly RegistryRecord[]): Answer =>
  ok({ records, position: at(revision) });

/** A store with scripted answers for servers and no records of other kinds. */
class ScriptedSource implements RegistrySource {
  readonly calls: string[] = [];
  /** Requested wait of each watch, in milliseconds. */
  readonly waits: number[] = [];
  readonly #answers: Answer[];
  readonly #restoredHandlers: ((era: number) => void)[] = [];

  constructor(answers: readonly Answer[]) {
    this.#answers = [...answers];
  }

  list(kind: RecordKind): Promise<Answer> {
    return this.#answer(kind, 'list');
  }

  watch(kind: RecordKind, { revision }: StorePosition, waitMs: number): Promise<Answer> {
    this.waits.push(waitMs);
    return this.#answer(kind, `watch ${String(revision)}`);
  }

  /** Appends an answer to the script. */
  answer(answer: Answer): void {
    this.#answers.push(answer);
  }

  /** Replaced by tests of the registrar. */
  register: RegistrySource['register'] = () => Promise.resolve(err(unreachable));
  renew: RegistrySource['renew'] = () => Promise.resolve(ok());

  quarantine(): ReturnType<RegistrySource['quarantine']> {
    return Promise.resolve(ok());
  }

  endQuarantine(): ReturnType<RegistrySource['endQuarantine']> {
    return Promise.resolve(ok());
  }

  release(): ReturnType<RegistrySource['release']> {
    return Promise.resolve(ok());
  }

  onRestored(handle: (era: number) => void): void {
    this.#restoredHandlers.push(handle);
  }

  /** Reports that the store has returned with an older copy. */
  restore(era: number): void {
    this.#restoredHandlers.forEach((handle) => {
      handle(era);
    });
  }

  #answer(kind: RecordKind, call: string): Promise<Answer> {
    if (kind !== RecordKind.Server) {
      return Promise.resolve(batch(1));
    }
    this.calls.push(call);
    return Promise.resolve(this.#answers.shift() ?? batch(0));
  }
}

interface Fixture {
  readonly source: ScriptedSource;
  readonly storeHealth: StoreHealth;
  /** Returns how often changes from the store were reported. */
  changes(): number;
  readonly clock: ManualClock;
  ids(): string[];
  /** Merges records as if received from another entry. */
  receive(...records: readonly RegistryRecord[]): void;
  /** Advances the clock in steps and runs pending callbacks after each. */
  advance(ms: number): Promise<void>;
}

const settle = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));

interface Peers {
  readonly linkedEntryCount: number;
  readonly isShared: boolean;
  readonly isReader: () => boolean;
}

const noPeers: Peers = { linkedEntryCount: 0, isShared: false, isReader: () => true };

async function startWithPeers(peers: Peers, ...answers: readonly Answer[]): Promise<Fixture> {
  const source = new ScriptedSource(answers);
  const clock = createManualClock();
  const holder = createRegistryHolder({ clock, logger, expiryMs: 3_600, onDeferred: ignore });
  const watchSettings = {
    [RecordKind.Catalogue]: settings,
    [RecordKind.Server]: { ...settings, isShared: peers.isShared },
    [RecordKind.Entry]: settings,
    [RecordKind.Quarantine]: settings,
  };
  const storeHealth = createStoreHealth(clock, logger);
  let changes = 0;
  const follower = createFollower({
    source,
    holder,
    clock,
    random: createRandom(1),
    logger,
    watchSettings,
    storeHealth,
    linkedEntryCount: () => peers.linkedEntryCount,
    isReader: peers.isReader,
    onChanges: () => {
      changes += 1;
    },
  });
  follower.start();
  await settle();
  return {
    source,
    clock,
    storeHealth,
    changes: () => changes,
    ids: () =>
      listServers(holder.current())
        .map((registered) => registered.id)
        .sort(),
    receive: (...records) => {
      const newest = Math.max(...records.map((record) => record.position.revision));
      holder.merge(records, { [RecordKind.Server]: at(newest) });
    },
    advance: async (ms) => {
      for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 100) {
        clock.advance(100);
        await settle();
      }
    },
  };
}

function start(...answers: readonly Answer[]): Promise<Fixture> {
  return startWithPeers(noPeers, ...answers);
}

function startWithLinkedEntries(linkedEntryCount: number, ...answers: readonly Answer[]): Promise<Fixture> {
  return startWithPeers({ ...noPeers, linkedEntryCount }, ...answers);
}

describe('the follower of the store', () => {
  it('lists once and watches from that revision, no more often than the minimum interval', async () => {
    const fixture = await start(batch(10, server('s1', 9)), batch(12, server('s2', 12)));
    await fixture.advance(400);
    assert.deepEqual(fixture.source.calls, ['list']);
    await fixture.advance(100);
    assert.deepEqual(fixture.source.calls, ['list', 'watch 10']);
    assert.deepEqual(fixture.ids(), ['s1', 's2']);
  });

  it('lists again when the store has discarded the history, and drops the servers that the listing lacks', async () => {
    const fixture = await start(
      batch(10, server('s1', 8), server('s2', 9)),
      err(historyLost),
      batch(40, server('s2', 9), server('s3', 35)),
    );
    await fixture.advance(1_000);
    assert.deepEqual(fixture.ids(), ['s2', 's3']);
  });

  it('keeps its records while the store is unreachable, and resumes watching from the same revision', async () => {
    const fixture = await start(batch(10, server('s1', 9)), err(unreachable), err(unreachable));
    await fixture.advance(3_000);
    assert.deepEqual(fixture.ids(), ['s1']);
    assert.equal(fixture.source.calls.at(-1), 'watch 10');
  });

  it('holds removals back after an outage until running servers have registered again', async () => {
    const outage = Array.from({ length: 8 }, () => err(unreachable));
    const expired = batch(30, removal('s1', 25), removal('s2', 26));
    const fixture = await start(
      batch(10, server('s1', 8), server('s2', 9)),
      ...outage,
      expired,
      batch(31, server('s1', 31)),
    );
    await fixture.advance(6_500);
    assert.equal(fixture.source.calls.at(-1)?.startsWith('watch'), true);
    assert.deepEqual(fixture.ids(), ['s1', 's2']);
    await fixture.advance(3_000);
    assert.deepEqual(fixture.ids(), ['s1']);
  });

  it('holds removals back after an outage that only another call detected', async () => {
    const fixture = await start(batch(10, server('s1', 8)));
    await fixture.advance(600);
    fixture.storeHealth.failed('renew', 'no answer', fixture.clock.now());
    fixture.source.answer(batch(12, removal('s1', 12)));
    fixture.clock.advance(400);
    fixture.clock.advance(4_000);
    fixture.storeHealth.answered();
    await fixture.advance(600);
    assert.deepEqual(fixture.ids(), ['s1']);
  });

  it('applies a removal at once if only a watch was cut off, however long it had waited', async () => {
    const fixture = await startWithLinkedEntries(24, batch(10, server('s1', 8)));
    await fixture.advance(500);
    fixture.clock.advance(9_000);
    fixture.storeHealth.answered();
    fixture.storeHealth.failed('server', 'cut', 500);
    fixture.storeHealth.answered();
    await fixture.advance(500);
    fixture.source.answer(batch(12, removal('s1', 12)));
    await fixture.advance(600);
    assert.deepEqual(fixture.ids(), []);
  });

  it('calls the store less often the more entries are linked and pass changes on', async () => {
    const single = await startWithLinkedEntries(0, batch(10));
    await single.advance(5_000);
    assert.deepEqual(new Set(single.source.waits), new Set([1_000]));
    const linked = await startWithLinkedEntries(24, batch(10));
    await linked.advance(20_000);
    const { waits } = linked.source;
    assert.ok(Math.max(...waits) > 8_000 && Math.max(...waits) <= 12_500);
    assert.ok(Math.min(...waits) < 5_000, 'waits are spread, so that some watch ends soon');
  });

  it('makes no calls while other entries are readers, and watches from the revision received from them afterwards', async () => {
    let isOwnReader = false;
    const peers = { linkedEntryCount: 24, isShared: true, isReader: () => isOwnReader };
    const fixture = await startWithPeers(peers, batch(10, server('s1', 9)));
    await fixture.advance(5_000);
    assert.deepEqual(fixture.source.calls, ['list']);
    fixture.receive(server('s2', 42));
    isOwnReader = true;
    await fixture.advance(600);
    assert.deepEqual(fixture.source.calls, ['list', 'watch 42']);
  });

  it('selects three readers among any entries, and three others when these are missing', () => {
    const names = Array.from({ length: 25 }, (_, index) => `entry-${String(index)}`);
    const readersOf = (linked: readonly string[]): string[] =>
      linked.filter((name) =>
        isReader(
          name,
          linked.filter((other) => other !== name),
        ),
      );
    const readers = readersOf(names);
    assert.equal(readers.length, 3);
    const rest = names.filter((name) => !readers.includes(name));
    assert.equal(readersOf(rest).length, 3);
    assert.ok(isReader('entry-1', []));
  });

  it('reports changes that a watch returned, and neither the listing nor an empty watch', async () => {
    const fixture = await start(batch(10, server('s1', 9)), batch(12, server('s2', 12)), batch(13));
    await fixture.advance(1_500);
    assert.equal(fixture.changes(), 1);
  });

  it('applies a removal at once while the store is reachable', async () => {
    const fixture = await start(batch(10, server('s1', 8)), batch(12, removal('s1', 12)));
    await fixture.advance(500);
    assert.deepEqual(fixture.ids(), []);
  });
});

describe('the removal guard', () => {
  it('holds no removal back after a short outage', () => {
    const guard = createRemovalGuard(RecordKind.Server);
    guard.recordOutage(500, 1_000);
    assert.deepEqual(guard.hold([removal('s1', 5)], 1_100), [removal('s1', 5)]);
  });

  it('drops a held removal when the server has registered again', () => {
    const guard = createRemovalGuard(RecordKind.Server);
    guard.recordOutage(5_000, 1_000);
    assert.deepEqual(guard.hold([removal('s1', 5)], 1_100), []);
    guard.hold([server('s1', 6)], 1_200);
    assert.deepEqual(guard.release(9_000), []);
  });
});

describe('the registrar of an entry', () => {
  it('renews the registration, and registers again once it has expired', async () => {
    const clock = createManualClock();
    const calls: string[] = [];
    const member = { name: 'entry-1', address: '10.0.0.1:1', dataCentre: 'bagmati-a' };
    const source = new ScriptedSource([]);
    source.register = () => {
      calls.push('register');
      const lease = `lease-${String(calls.length)}`;
      return Promise.resolve(ok({ member, lease, position: at(1) }));
    };
    let isExpired = false;
    source.renew = ({ lease }) => {
      calls.push(`renew ${lease}`);
      return Promise.resolve(isExpired ? err({ kind: SourceErrorKind.LeaseEnded, message: '404' }) : ok());
    };
    const storeHealth = createStoreHealth(clock, logger);
    createRegistrar({ member, source, clock, random: createRandom(1), logger, storeHealth }).start();
    await settle();
    clock.advance(2_000);
    await settle();
    isExpired = true;
    clock.advance(2_000);
    await settle();
    clock.advance(0);
    await settle();
    assert.deepEqual(calls, ['register', 'renew lease-1', 'renew lease-1', 'register']);
  });
});
