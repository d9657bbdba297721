/** What entries learn from one another, over real links on loopback. */
import assert from 'node:assert/strict';
import { createServer, type AddressInfo } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { createRandom, createSystemClock } from '@toucanbend/core';
import { createPeers, createRegistryHolder, type Peers, type RegistryHolder } from '@toucanbend/membership';
import { type Logger } from '@toucanbend/observability';
import {
  type EntryMember,
  listServers,
  RecordKind,
  type RegistryRecord,
  ServerState,
} from '@toucanbend/registry';

const ignore = (): void => undefined;
const logger: Logger = { decision: ignore, info: ignore, warn: ignore, error: ignore, explain: () => [] };
const open: Peers[] = [];

afterEach(() => {
  open.splice(0).forEach((peers) => {
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
  /** Names of entries whose earlier process is known to be gone. */
  readonly gone: string[];
  /** Resolves with the first of them. */
  readonly whenGone: Promise<void>;
  /** Resolves once the registry fulfils a condition. */
  until(isMet: () => boolean): Promise<void>;
}

interface EntryOptions {
  readonly member: EntryMember;
  readonly incarnation: string;
  readonly seeds: readonly string[];
  readonly isStoreWell: boolean;
}

async function startEntry({ member, incarnation, seeds, isStoreWell }: EntryOptions): Promise<Entry> {
  const holder = createRegistryHolder();
  const gone: string[] = [];
  let noteGone = ignore;
  const whenGone = new Promise<void>((resolve) => {
    noteGone = resolve;
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
    isStoreWell: () => isStoreWell,
    onNews: ignore,
    onGone: (name) => {
      gone.push(name);
      noteGone();
    },
    onUnheard: ignore,
  });
  open.push(peers);
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
  return { peers, holder, gone, whenGone, until };
}

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
  return { kind: RecordKind.Server, id, revision, value };
}

async function startPair(): Promise<{ reader: Entry; other: Entry }> {
  const [readerAddress, otherAddress] = await Promise.all([freeAddress(), freeAddress()]);
  const member = (name: string, address: string): EntryMember => ({ name, address, dataCentre: 'bagmati-a' });
  const reader = await startEntry({
    member: member('reader', readerAddress),
    incarnation: 'r1',
    seeds: [otherAddress],
    isStoreWell: true,
  });
  const other = await startEntry({
    member: member('other', otherAddress),
    incarnation: 'o1',
    seeds: [readerAddress],
    isStoreWell: false,
  });
  return { reader, other };
}

describe('entries that pass on what the store told them', () => {
  it('bring one that the store turns away up to date, from its start on', async () => {
    const { reader, other } = await startPair();
    reader.holder.merge([server('s1', 5)], { [RecordKind.Server]: 9 });
    reader.peers.announce();
    await other.until(() => listServers(other.holder.current()).length === 1);
    reader.holder.merge([server('s2', 12)], { [RecordKind.Server]: 12 });
    reader.peers.announce();
    await other.until(() => listServers(other.holder.current()).length === 2);
    assert.equal(other.holder.current().revisions[RecordKind.Server], 12);
  });

  it('notice by its new incarnation that a process is gone whose end nobody saw', async () => {
    const addresses = await Promise.all([freeAddress(), freeAddress(), freeAddress()]);
    const [readerAddress = '', first = '', second = ''] = addresses;
    const start = (name: string, address: string, incarnation: string, seeds: string[]): Promise<Entry> => {
      const member = { name, address, dataCentre: 'bagmati-a' };
      return startEntry({ member, incarnation, seeds, isStoreWell: true });
    };
    await start('other', first, 'o1', []);
    await start('other', second, 'o2', []);
    const reader = await start('reader', readerAddress, 'r1', [first, second]);
    await reader.whenGone;
    assert.deepEqual(reader.gone, ['other']);
  });
});
