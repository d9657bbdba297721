/** Exchange of registry records and detection of ended processes between entries, over real links on loopback. */
import assert from 'node:assert/strict';
import { createServer, type AddressInfo } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { createRandom, createSystemClock } from '@toucanbend/core';
import { createPeers, createRegistryHolder, type Peers, type RegistryHolder } from '@toucanbend/membership';
import { type Logger } from '@toucanbend/observability';
import { type LoadUpdate, LoadUpdateKind, type PlacedRunningJob } from '@toucanbend/placement';
import { type QuarantineUpdate, QuarantineUpdateKind } from '@toucanbend/quarantine';
import {
  CrashCauseKind,
  type EntryMember,
  listServers,
  type QuarantinedCause,
  type RecordBatch,
  RecordKind,
  type RegistryRecord,
  ServerState,
  type StorePosition,
} from '@toucanbend/registry';
import { type RestrictionUpdate, RestrictionUpdateKind } from '@toucanbend/restrictions';

const ignore = (): void => undefined;
const logger: Logger = { decision: ignore, info: ignore, warn: ignore, error: ignore, explain: () => [] };
const started: Peers[] = [];

afterEach(() => {
  started.splice(0).forEach((peers) => {
    peers.stop();
  });
});

async function freeAddress(): Promise<string> {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return `127.0.0.1:${String(port)}`;
}

interface Entry {
  readonly peers: Peers;
  readonly holder: RegistryHolder;
  /** Names of entries whose earlier process was reported as ended. */
  readonly gone: string[];
  /** Resolves with the first such report. */
  readonly whenEnded: Promise<void>;
  /** Updates about quarantined parts, in order of receipt. */
  readonly quarantineUpdates: readonly QuarantineUpdate[];
  /** Resolves with the first such update. */
  readonly whenUpdated: Promise<void>;
  /** Updates about restrictions of servers, in order of receipt. */
  readonly restrictionUpdates: readonly RestrictionUpdate[];
  /** Resolves with the first such update. */
  readonly whenRestricted: Promise<void>;
  /** Resolves once a condition on the registry is met. */
  until(isMet: () => boolean): Promise<void>;
}

interface EntryOptions {
  readonly member: EntryMember;
  readonly incarnation: string;
  readonly seeds: readonly string[];
  readonly isStoreReachable: boolean;
  readonly quarantined?: readonly QuarantinedCause[];
  readonly restrictions?: readonly RestrictionUpdate[];
  readonly runningJobs?: () => readonly PlacedRunningJob[];
  readonly onLoadUpdate?: (from: string, update: LoadUpdate) => void;
  readonly onListing?: (kind: RecordKind, listing: RecordBatch) => void;
}

async function startEntry(options: EntryOptions): Promise<Entry> {
  const { member, incarnation, seeds, isStoreReachable, quarantined = [], restrictions = [] } = options;
  const { runningJobs = () => [], onLoadUpdate = ignore, onListing = ignore } = options;
  const restrictionUpdates: RestrictionUpdate[] = [];
  let resolveRestriction = ignore;
  const whenRestricted = new Promise<void>((resolve) => {
    resolveRestriction = resolve;
  });
  const quarantineUpdates: QuarantineUpdate[] = [];
  let resolveUpdate = ignore;
  const whenUpdated = new Promise<void>((resolve) => {
    resolveUpdate = resolve;
  });
  const holder = createRegistryHolder({
    clock: createSystemClock(),
    logger,
    expiryMs: 3_600,
    onDeferred: ignore,
  });
  const gone: string[] = [];
  let resolveEnded = ignore;
  const whenEnded = new Promise<void>((resolve) => {
    resolveEnded = resolve;
  });
  const peers = createPeers({
    member,
    incarnation,
    peerKeys: ['key'],
    seeds,
    holder,
    clock: createSystemClock(),
    random: createRandom(1),
    logger,
    isStoreReachable: () => isStoreReachable,
    applyListing: (kind, listing) => {
      onListing(kind, listing);
    },
    onStoreReturned: ignore,
    onLoadUpdate,
    onQuarantineUpdate: (update) => {
      quarantineUpdates.push(update);
      resolveUpdate();
    },
    quarantinedCauses: () => quarantined,
    onRestrictionUpdate: (update) => {
      restrictionUpdates.push(update);
      resolveRestriction();
    },
    restrictions: () => restrictions,
    runningJobs,
    onProcessEnded: (name) => {
      gone.push(name);
      resolveEnded();
    },
    onUnreachable: ignore,
  });
  started.push(peers);
  await peers.start();
  const until = (isMet: () => boolean): Promise<void> =>
    isMet()
      ? Promise.resolve()
      : new Promise((resolve) => {
          holder.onChange(() => {
            if (isMet()) {
              resolve();
            }
          });
        });
  return {
    peers,
    holder,
    gone,
    whenEnded,
    quarantineUpdates,
    whenUpdated,
    restrictionUpdates,
    whenRestricted,
    until,
  };
}

const at = (revision: number): StorePosition => ({ era: 1, revision });

function server(id: string, revision: number): RegistryRecord {
  const value = {
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

function runningJob(id: string): PlacedRunningJob {
  const times = { arrivedAtMs: 0, targetMs: 1_000, targetPauseMs: 100, deadlineAtMs: 60_000 };
  const job = { id, service: 'vanes', generation: undefined, rank: 0, ...times };
  return { server: 's1', job, prefilledTokens: 0, generatedTokens: 0 };
}

async function startPair(): Promise<{ reader: Entry; other: Entry }> {
  const [readerAddress, otherAddress] = await Promise.all([freeAddress(), freeAddress()]);
  const member = (name: string, address: string): EntryMember => ({ name, address, dataCentre: 'bagmati-a' });
  const reader = await startEntry({
    member: member('reader', readerAddress),
    incarnation: 'r1',
    seeds: [otherAddress],
    isStoreReachable: true,
  });
  const other = await startEntry({
    member: member('other', otherAddress),
    incarnation: 'o1',
    seeds: [readerAddress],
    isStoreReachable: false,
  });
  return { reader, other };
}

describe('links between entries', () => {
  it('announce later changes also to an entry that is not registered', async () => {
    const [readerAddress, otherAddress] = await Promise.all([freeAddress(), freeAddress()]);
    const incarnation = 'i1';
    const reader = await startEntry({
      member: { name: 'reader', address: readerAddress, dataCentre: 'bagmati-a' },
      incarnation,
      seeds: [],
      isStoreReachable: true,
    });
    const other = await startEntry({
      member: { name: 'other', address: otherAddress, dataCentre: 'bagmati-a' },
      incarnation,
      seeds: [readerAddress],
      isStoreReachable: false,
    });
    reader.holder.merge([server('s1', 5)], { [RecordKind.Server]: at(9) });
    await other.until(() => listServers(other.holder.current()).length === 1);
    reader.holder.merge([server('s2', 12)], { [RecordKind.Server]: at(12) });
    reader.peers.announceToRandomPeers();
    await other.until(() => listServers(other.holder.current()).length === 2);
  });

  it('pass registry records on to an entry that cannot reach the store, from its start on', async () => {
    const { reader, other } = await startPair();
    reader.holder.merge([server('s1', 5)], { [RecordKind.Server]: at(9) });
    reader.peers.announceToAll();
    await other.until(() => listServers(other.holder.current()).length === 1);
    reader.holder.merge([server('s2', 12)], { [RecordKind.Server]: at(12) });
    reader.peers.announceToAll();
    await other.until(() => listServers(other.holder.current()).length === 2);
    assert.equal(other.holder.current().positions[RecordKind.Server].revision, 12);
  });

  it('send all records to an entry that may know servers whose removal the sender does not know', async () => {
    const [startedAddress, otherAddress] = await Promise.all([freeAddress(), freeAddress()]);
    const common = { incarnation: 'i1', isStoreReachable: true };
    const dataCentre = 'bagmati-a';
    const member = { name: 'started', address: startedAddress, dataCentre };
    const started = await startEntry({ member, seeds: [], ...common });
    started.holder.merge([server('s2', 5)], { [RecordKind.Server]: at(9) }, undefined, {
      [RecordKind.Server]: at(9),
    });
    const received = new Promise<RecordBatch>((resolve) => {
      void startEntry({
        member: { name: 'other', address: otherAddress, dataCentre },
        seeds: [startedAddress],
        onListing: (_kind, listing) => {
          resolve(listing);
        },
        ...common,
      });
    });
    const { records, position } = await received;
    assert.deepEqual([records.map(({ id }) => id), position], [['s2'], at(9)]);
  });

  it('tell an entry that starts later which parts of prompts are quarantined', async () => {
    const [first, second] = await Promise.all([freeAddress(), freeAddress()]);
    const member = (name: string, address: string): EntryMember => ({
      name,
      address,
      dataCentre: 'bagmati-a',
    });
    const part: QuarantinedCause = {
      service: 'vanes',
      kind: CrashCauseKind.PromptPart,
      id: 'poison',
      untilMs: 600_000,
    };
    const common = { incarnation: 'i1', isStoreReachable: false };
    const started = { member: member('later', second), seeds: [], ...common };
    const later = await startEntry(started);
    await startEntry({ member: member('earlier', first), seeds: [second], quarantined: [part], ...common });
    await later.whenUpdated;
    assert.deepEqual(later.quarantineUpdates, [
      { kind: QuarantineUpdateKind.Quarantined, quarantined: part },
    ]);
  });

  it('tell an entry that has restarted which servers state a rate limit, whichever side dials', async () => {
    const addresses = await Promise.all([freeAddress(), freeAddress()]);
    const limit: RestrictionUpdate = {
      kind: RestrictionUpdateKind.Limit,
      server: 's1',
      bornAtMs: 5,
      perSecond: 1.5,
      statedAtMs: 0,
      usedUntilMs: 1_000,
    };
    for (const dialling of [0, 1]) {
      const [first = '', second = ''] = addresses;
      const common = { isStoreReachable: false };
      const restarted = await startEntry({
        member: { name: `restarted-${String(dialling)}`, address: second, dataCentre: 'bagmati-a' },
        incarnation: 'i2',
        seeds: dialling === 0 ? [first] : [],
        ...common,
      });
      const other = await startEntry({
        member: { name: 'other', address: first, dataCentre: 'bagmati-a' },
        incarnation: 'i1',
        seeds: dialling === 1 ? [second] : [],
        restrictions: [limit],
        ...common,
      });
      await restarted.whenRestricted;
      const [received] = restarted.restrictionUpdates;
      assert.ok(received?.kind === RestrictionUpdateKind.Limit);
      assert.deepEqual([received.server, received.bornAtMs, received.perSecond], ['s1', 5, 1.5]);
      restarted.peers.stop();
      other.peers.stop();
    }
  });

  it('tell a started entry of jobs that ended between its link and the first update', async () => {
    const [first, second] = await Promise.all([freeAddress(), freeAddress()]);
    const member = (name: string, address: string): EntryMember => ({
      name,
      address,
      dataCentre: 'bagmati-a',
    });
    const common = { incarnation: 'i1', isStoreReachable: true };
    let jobs: readonly PlacedRunningJob[] = [runningJob('job')];
    const other = await startEntry({
      member: member('other', first),
      seeds: [],
      runningJobs: () => jobs,
      ...common,
    });
    const kinds: LoadUpdateKind[] = [];
    await new Promise<void>((resolve) => {
      const onLoadUpdate = (_from: string, { kind }: LoadUpdate): void => {
        kinds.push(kind);
        if (kind === LoadUpdateKind.Running) {
          jobs = [];
          const value = member('started', second);
          const record = { kind: RecordKind.Entry as const, id: 'started', position: at(1), value };
          other.holder.merge([record], { [RecordKind.Entry]: at(1) });
        } else {
          resolve();
        }
      };
      const started = { member: member('started', second), seeds: [first], onLoadUpdate, ...common };
      void startEntry(started);
    });
    assert.deepEqual(kinds, [LoadUpdateKind.Running, LoadUpdateKind.Ended]);
  });

  it('report by a new incarnation that a process has ended whose end no link reported', async () => {
    const addresses = await Promise.all([freeAddress(), freeAddress(), freeAddress()]);
    const [readerAddress = '', first = '', second = ''] = addresses;
    const start = (name: string, address: string, incarnation: string, seeds: string[]): Promise<Entry> => {
      const member = { name, address, dataCentre: 'bagmati-a' };
      return startEntry({ member, incarnation, seeds, isStoreReachable: true });
    };
    await start('other', first, 'o1', []);
    await start('other', second, 'o2', []);
    const reader = await start('reader', readerAddress, 'r1', [first, second]);
    await reader.whenEnded;
    assert.deepEqual(reader.gone, ['other']);
  });
});
