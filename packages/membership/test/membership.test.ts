/** Following the store through outages, lost history and lapsed registrations. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createManualClock, createRandom, type ManualClock } from '@toucanbend/core';
import {
  createFollower,
  createLapseGuard,
  createRegistrar,
  createRegistryHolder,
  createStoreContact,
  isReader,
  type StoreContact,
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
} from '@toucanbend/registry';
import { err, ok, type Result } from 'neverthrow';

const ignore = (): void => undefined;
const logger: Logger = { decision: ignore, info: ignore, warn: ignore, error: ignore, explain: () => [] };
const pace = { waitMs: 1_000, intervalMs: 500, isShared: false };

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
  return { kind: RecordKind.Server, id, revision, value };
}

const gone = (id: string, revision: number): RegistryRecord => ({ kind: RecordKind.Server, id, revision });
const unreachable: SourceError = { kind: SourceErrorKind.Unreachable, message: 'no answer' };
const historyLost: SourceError = { kind: SourceErrorKind.HistoryLost, message: 'status 410' };

type Answer = Result<RecordBatch, SourceError>;
const batch = (revision: number, ...records: readonly RegistryRecord[]): Answer => ok({ records, revision });

/** A store whose answers about servers are scripted; it has nothing else. */
class ScriptedSource implements RegistrySource {
  readonly calls: string[] = [];
  /** How long the watches were to wait. */
  readonly waits: number[] = [];
  readonly #answers: Answer[];

  constructor(answers: readonly Answer[]) {
    this.#answers = [...answers];
  }

  list(kind: RecordKind): Promise<Answer> {
    return this.#answer(kind, 'list');
  }

  watch(kind: RecordKind, revision: number, waitMs: number): Promise<Answer> {
    this.waits.push(waitMs);
    return this.#answer(kind, `watch ${String(revision)}`);
  }

  /** Scripts one more answer. */
  answer(answer: Answer): void {
    this.#answers.push(answer);
  }

  /** Replaced by tests of the registration. */
  register: RegistrySource['register'] = () => Promise.resolve(err(unreachable));
  renew: RegistrySource['renew'] = () => Promise.resolve(ok());

  release(): ReturnType<RegistrySource['release']> {
    return Promise.resolve(ok());
  }

  #answer(kind: RecordKind, call: string): Promise<Answer> {
    if (kind !== RecordKind.Server) {
      return Promise.resolve(batch(1));
    }
    this.calls.push(call);
    return Promise.resolve(this.#answers.shift() ?? batch(0));
  }
}

interface Followed {
  readonly source: ScriptedSource;
  readonly contact: StoreContact;
  /** How often changes came from the store. */
  news(): number;
  readonly clock: ManualClock;
  ids(): string[];
  /** Takes records from another entry. */
  learn(...records: readonly RegistryRecord[]): void;
  /** Moves time on in steps, and lets what is due happen. */
  pass(ms: number): Promise<void>;
}

const settle = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));

interface Surroundings {
  readonly linkedEntries: number;
  readonly isShared: boolean;
  readonly isReader: () => boolean;
}

const alone: Surroundings = { linkedEntries: 0, isShared: false, isReader: () => true };

async function followIn(surroundings: Surroundings, ...answers: readonly Answer[]): Promise<Followed> {
  const source = new ScriptedSource(answers);
  const clock = createManualClock();
  const holder = createRegistryHolder();
  const paces = {
    [RecordKind.Catalogue]: pace,
    [RecordKind.Server]: { ...pace, isShared: surroundings.isShared },
    [RecordKind.Entry]: pace,
  };
  const contact = createStoreContact(clock, logger);
  let news = 0;
  const follower = createFollower({
    source,
    holder,
    clock,
    random: createRandom(1),
    logger,
    paces,
    contact,
    linkedEntries: () => surroundings.linkedEntries,
    isReader: surroundings.isReader,
    onNews: () => {
      news += 1;
    },
  });
  follower.start();
  await settle();
  return {
    source,
    clock,
    contact,
    news: () => news,
    ids: () =>
      listServers(holder.current())
        .map((known) => known.id)
        .sort(),
    learn: (...records) => {
      holder.merge(records, { [RecordKind.Server]: Math.max(...records.map((record) => record.revision)) });
    },
    pass: async (ms) => {
      for (let passed = 0; passed < ms; passed += 100) {
        clock.advance(100);
        await settle();
      }
    },
  };
}

function follow(...answers: readonly Answer[]): Promise<Followed> {
  return followIn(alone, ...answers);
}

function followBeside(linkedEntries: number, ...answers: readonly Answer[]): Promise<Followed> {
  return followIn({ ...alone, linkedEntries }, ...answers);
}

describe('following the store', () => {
  it('lists once and watches from there, no faster than its pace', async () => {
    const followed = await follow(batch(10, server('s1', 9)), batch(12, server('s2', 12)));
    await followed.pass(400);
    assert.deepEqual(followed.source.calls, ['list']);
    await followed.pass(100);
    assert.deepEqual(followed.source.calls, ['list', 'watch 10']);
    assert.deepEqual(followed.ids(), ['s1', 's2']);
  });

  it('lists again where the history is lost, and drops what is gone', async () => {
    const followed = await follow(
      batch(10, server('s1', 8), server('s2', 9)),
      err(historyLost),
      batch(40, server('s2', 9), server('s3', 35)),
    );
    await followed.pass(1_000);
    assert.deepEqual(followed.ids(), ['s2', 's3']);
  });

  it('keeps what it knows while the store is away, and goes on where it was', async () => {
    const followed = await follow(batch(10, server('s1', 9)), err(unreachable), err(unreachable));
    await followed.pass(3_000);
    assert.deepEqual(followed.ids(), ['s1']);
    assert.equal(followed.source.calls.at(-1), 'watch 10');
  });

  it('holds removals back after an outage until living servers have registered again', async () => {
    const outage = Array.from({ length: 8 }, () => err(unreachable));
    const lapsed = batch(30, gone('s1', 25), gone('s2', 26));
    const followed = await follow(
      batch(10, server('s1', 8), server('s2', 9)),
      ...outage,
      lapsed,
      batch(31, server('s1', 31)),
    );
    await followed.pass(6_500);
    assert.equal(followed.source.calls.at(-1)?.startsWith('watch'), true);
    assert.deepEqual(followed.ids(), ['s1', 's2']);
    await followed.pass(3_000);
    assert.deepEqual(followed.ids(), ['s1']);
  });

  it('holds removals back after an outage that only another call has noticed', async () => {
    const followed = await follow(batch(10, server('s1', 8)));
    await followed.pass(600);
    followed.contact.failed('renew', 'no answer');
    followed.source.answer(batch(12, gone('s1', 12)));
    followed.clock.advance(400);
    followed.clock.advance(4_000);
    followed.contact.answered();
    await followed.pass(600);
    assert.deepEqual(followed.ids(), ['s1']);
  });

  it('takes a removal at once where only a watch was cut, however long that had waited', async () => {
    const followed = await followBeside(24, batch(10, server('s1', 8)));
    await followed.pass(500);
    followed.clock.advance(9_000);
    followed.contact.answered();
    followed.contact.failed('server', 'cut');
    followed.contact.answered();
    await followed.pass(500);
    followed.source.answer(batch(12, gone('s1', 12)));
    await followed.pass(600);
    assert.deepEqual(followed.ids(), []);
  });

  it('asks the store less often the more entries pass on what they learn', async () => {
    const single = await followBeside(0, batch(10));
    await single.pass(5_000);
    assert.deepEqual(new Set(single.source.waits), new Set([1_000]));
    const among = await followBeside(24, batch(10));
    await among.pass(20_000);
    const { waits } = among.source;
    assert.ok(Math.max(...waits) > 8_000 && Math.max(...waits) <= 12_500);
    assert.ok(Math.min(...waits) < 5_000, 'waits differ, so that some watch ends soon');
  });

  it('makes no calls where other entries read, and goes on from what they told once they no longer do', async () => {
    let reads = false;
    const surroundings = { linkedEntries: 24, isShared: true, isReader: () => reads };
    const followed = await followIn(surroundings, batch(10, server('s1', 9)));
    await followed.pass(5_000);
    assert.deepEqual(followed.source.calls, ['list']);
    followed.learn(server('s2', 42));
    reads = true;
    await followed.pass(600);
    assert.deepEqual(followed.source.calls, ['list', 'watch 42']);
  });

  it('has three readers among any entries, and others as soon as these are missing', () => {
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

  it('tells of changes that a watch brought, and of nothing else', async () => {
    const followed = await follow(batch(10, server('s1', 9)), batch(12, server('s2', 12)), batch(13));
    await followed.pass(1_500);
    assert.equal(followed.news(), 1);
  });

  it('takes a removal at once while the store is well', async () => {
    const followed = await follow(batch(10, server('s1', 8)), batch(12, gone('s1', 12)));
    await followed.pass(500);
    assert.deepEqual(followed.ids(), []);
  });
});

describe('the guard against lapsed registrations', () => {
  it('holds nothing after a short silence', () => {
    const guard = createLapseGuard();
    guard.noteOutage(500, 1_000);
    assert.deepEqual(guard.hold([gone('s1', 5)], 1_100), [gone('s1', 5)]);
  });

  it('gives a held removal up where the server is back', () => {
    const guard = createLapseGuard();
    guard.noteOutage(5_000, 1_000);
    assert.deepEqual(guard.hold([gone('s1', 5)], 1_100), []);
    guard.hold([server('s1', 6)], 1_200);
    assert.deepEqual(guard.release(9_000), []);
  });
});

describe('the registration of an entry', () => {
  it('is renewed, and made anew once it has lapsed', async () => {
    const clock = createManualClock();
    const calls: string[] = [];
    const source = new ScriptedSource([]);
    source.register = () => {
      calls.push('register');
      return Promise.resolve(ok(`lease-${String(calls.length)}`));
    };
    let isLapsed = false;
    source.renew = (lease) => {
      calls.push(`renew ${lease}`);
      return Promise.resolve(isLapsed ? err({ kind: SourceErrorKind.LeaseEnded, message: '404' }) : ok());
    };
    const member = { name: 'entry-1', address: '10.0.0.1:1', dataCentre: 'bagmati-a' };
    createRegistrar(member, source, clock, logger, createStoreContact(clock, logger)).start();
    await settle();
    clock.advance(2_000);
    await settle();
    isLapsed = true;
    clock.advance(2_000);
    await settle();
    clock.advance(0);
    await settle();
    assert.deepEqual(calls, ['register', 'renew lease-1', 'renew lease-1', 'register']);
  });
});
