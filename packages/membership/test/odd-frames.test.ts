/** Odd values that a peer sends over a link: they change nothing, and what else the peer sends holds. */
import assert from 'node:assert/strict';
import { createServer, type AddressInfo } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { createRandom, createSystemClock } from '@toucanbend/core';
import { createPeers, createRegistryHolder, type Peers, type RegistryHolder } from '@toucanbend/membership';
import { type Logger } from '@toucanbend/observability';
import { initialPosition, listServers, RecordKind, ServerState } from '@toucanbend/registry';
import {
  createLinkTraffic,
  defaultLinkSettings,
  dial,
  FrameType,
  type Link,
  NodeRole,
  parseAddress,
} from '@toucanbend/wire';

const ignore = (): void => undefined;
const opened: { stop: () => void }[] = [];

afterEach(() => {
  opened.splice(0).forEach(({ stop }) => {
    stop();
  });
});

async function freeAddress(): Promise<string> {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return `127.0.0.1:${String(port)}`;
}

interface Receiver {
  readonly holder: RegistryHolder;
  /** Messages and fields of the warnings. */
  readonly warnings: (readonly [string, Readonly<Record<string, unknown>>])[];
  /** A link of a peer to the entry. */
  readonly link: Link;
  readonly peers: Peers;
}

/** Starts an entry and links a peer to it that sends what the test tells it to. */
async function startReceiver(): Promise<Receiver> {
  const clock = createSystemClock();
  const warnings: (readonly [string, Readonly<Record<string, unknown>>])[] = [];
  const warn: Logger['warn'] = (message, fields) => {
    warnings.push([message, fields ?? {}]);
  };
  const logger: Logger = { decision: ignore, info: ignore, warn, error: ignore, explain: () => [] };
  const holder = createRegistryHolder({ clock, logger, expiryMs: 3_600, onDeferred: ignore });
  const address = await freeAddress();
  const peers = createPeers({
    member: { name: 'receiver', address, dataCentre: 'bagmati-a' },
    incarnation: 'r1',
    peerKeys: ['key'],
    seeds: [],
    holder,
    clock,
    random: createRandom(1),
    logger,
    isStoreReachable: () => true,
    applyListing: ignore,
    onStoreReturned: ignore,
    onLoadUpdate: ignore,
    onQuarantineUpdate: ignore,
    quarantinedCauses: () => [],
    onRestrictionUpdate: ignore,
    restrictions: () => [],
    runningJobs: () => [],
    onProcessEnded: ignore,
    onUnreachable: ignore,
  });
  opened.push({
    stop: () => {
      peers.stop();
    },
  });
  await peers.start();
  const linked = await dial(parseAddress(address), {
    identity: {
      node: 'peer',
      role: NodeRole.Entry,
      dataCentre: 'bagmati-a',
      incarnation: 'p1',
      peerKeys: ['key'],
    },
    clock,
    settings: defaultLinkSettings,
    traffic: createLinkTraffic(),
  });
  const link = linked._unsafeUnwrap();
  opened.push({ stop: link.close });
  return { holder, warnings, link, peers };
}

const server = {
  id: 's1',
  service: 'vanes',
  host: '10.0.0.1',
  port: 80,
  dataCentre: 'bagmati-a',
  slots: 4,
  state: ServerState.Ready,
  bornAtMs: 0,
};

describe('records of a peer', () => {
  const oddRecords: Readonly<Record<string, unknown>> = {
    'no object': null,
    'a nested array': JSON.parse(`${'['.repeat(500)}${']'.repeat(500)}`),
    'an unknown kind': { kind: '__proto__', id: 's2', position: { era: 1, revision: 3 } },
    'no revision': { kind: RecordKind.Server, id: 's2', value: server },
    'a revision too large': {
      kind: RecordKind.Server,
      id: 's2',
      position: { era: 1, revision: 1e308 },
      value: server,
    },
    'no value where one is stated': {
      kind: RecordKind.Server,
      id: 's2',
      position: { era: 1, revision: 3 },
      value: null,
    },
    'a port out of range': {
      kind: RecordKind.Server,
      id: 's2',
      position: { era: 1, revision: 3 },
      value: { ...server, port: 99_999 },
    },
    'an id that no header can carry': {
      kind: RecordKind.Server,
      id: 's2',
      position: { era: 1, revision: 3 },
      value: { ...server, id: 's\r\n2' },
    },
    'an address that is no text': {
      kind: RecordKind.Entry,
      id: 'odd',
      position: { era: 1, revision: 3 },
      value: { name: 'odd', address: 5, dataCentre: 'bagmati-a' },
    },
    'a catalogue without routes': {
      kind: RecordKind.Catalogue,
      id: '',
      position: { era: 1, revision: 3 },
      value: { version: 1e9 },
    },
  };
  for (const [name, odd] of Object.entries(oddRecords)) {
    it(`with ${name} are dropped, and the others hold`, { timeout: 5_000 }, async () => {
      const { holder, warnings, link } = await startReceiver();
      const changed = new Promise<void>((resolve) => {
        holder.onChange(() => {
          resolve();
        });
      });
      const good = { kind: RecordKind.Server, id: 's1', position: { era: 1, revision: 5 }, value: server };
      link.send({
        type: FrameType.RegistryRecords,
        positions: { [RecordKind.Server]: { era: 1, revision: 9 } },
        records: [odd, good],
      });
      await changed;
      const { records, positions, catalogue } = holder.current();
      assert.deepEqual([...records.values()], [good]);
      assert.deepEqual(listServers(holder.current()), [server]);
      assert.equal(catalogue, undefined);
      // The dropped record may be a server's, so the servers are not complete up to the peer's position.
      assert.deepEqual(positions[RecordKind.Server], initialPosition);
      assert.deepEqual(
        warnings.map(([message, { peer, unreadable }]) => [message, peer, unreadable]),
        [['registry records of a peer cannot be read', 'peer', 1]],
      );
    });
  }
});
