/** Measures how fast configuration changes spread by gossip among several hundred nodes in one process. */
import { type Server } from 'node:net';
import { type Clock, createRandom, createSystemClock } from '@toucanbend/core';
import {
  checkDocument,
  type ConfigurationDocument,
  type ConfigurationHolder,
  createConfigurationHolder,
} from '@toucanbend/configuration';
import { type Host } from '@toucanbend/hosts';
import { createConfigurationSync, type ConfigurationSync } from '@toucanbend/node';
import { createLogger } from '@toucanbend/observability';
import { parseSettings, type Settings } from '@toucanbend/settings';
import { type KeyValueStore, StoreErrorKind } from '@toucanbend/store';
import {
  createLinkPool,
  createLinkTraffic,
  defaultLinkSettings,
  type EndpointOptions,
  type Link,
  type LinkPool,
  type LinkTraffic,
  listenForLinks,
  NodeRole,
} from '@toucanbend/wire';
import { err } from 'neverthrow';
import { round, summariseLatencies } from '../figures.js';
import { atMost, type Scenario, type ScenarioOptions, type ScenarioReport } from '../scenario.js';

/** Upper bounds of the time until a change is active everywhere, and of the cost per node. */
const MAX_SPREAD_MS = 13_000;
const MAX_CONTROL_BYTES_PER_SECOND = 4_096;
const MAX_PROCESSOR_FRACTION = 0.02;
const DATA_CENTRES = 8;
const REGIONS = 3;
const ACCOUNTS = 1_600;
const SERVERS = 600;
const CHANGES = 6;
const SETTLE_MS = 6_000;
const IDLE_MS = 6_000;
const CHANGE_TIMEOUT_MS = 20_000;

/** A node of the gossip network; nodes are connected over loopback TCP. */
interface Member {
  readonly host: Host;
  readonly holder: ConfigurationHolder;
  readonly spread: ConfigurationSync;
  readonly pool: LinkPool;
  readonly traffic: LinkTraffic;
  readonly server: Server;
  readonly accepted: Set<Link>;
}

/** A store that is always unavailable, so that the configuration can only spread by gossip. */
const unavailableStore: KeyValueStore = {
  read: () => Promise.resolve(err({ kind: StoreErrorKind.Unavailable, message: 'store unavailable' })),
  write: () => Promise.resolve(err({ kind: StoreErrorKind.Unavailable, message: 'store unavailable' })),
  watch: () => () => undefined,
};

/** Creates a configuration document of the size of a large deployment. */
function largeDocument(revision: number): ConfigurationDocument {
  const value = {
    revision,
    accounts: Array.from({ length: ACCOUNTS }, (_, index) => ({
      name: `account-${String(index)}`,
      keyHashes: [index.toString(16).padStart(64, '0')],
    })),
    models: [{ name: 'model-a' }],
    dataCentres: Array.from({ length: DATA_CENTRES }, (_, index) => ({
      name: `dc-${String(index)}`,
      region: `region-${String(index % REGIONS)}`,
    })),
    servers: Array.from({ length: SERVERS }, (_, index) => ({
      name: `server-${String(index)}`,
      host: `host-${String(index)}`,
      dataCentre: `dc-${String(index % DATA_CENTRES)}`,
      address: '10.0.0.1:7000',
      kind: 'model',
      serves: ['model-a'],
    })),
  };
  return checkDocument(value, 'large document')._unsafeUnwrap();
}

function settingsOf(name: string, dataCentre: string): Settings {
  return parseSettings(
    `
[node]
name = "${name}"
dataCentre = "${dataCentre}"
region = "r"
peerAddress = "127.0.0.1:0"
operatorAddress = "127.0.0.1:0"
peerKeys = ["a-peer-key-for-measuring"]
[platform]
store = "127.0.0.1:1"
hosts = "127.0.0.1:1"
[entry]
callerAddress = "127.0.0.1:0"
`,
    name,
  )._unsafeUnwrap();
}

async function startMember(index: number, hosts: Host[], clock: Clock): Promise<Member> {
  const name = `node-${String(index)}`;
  const dataCentre = `dc-${String(index % DATA_CENTRES)}`;
  const settings = settingsOf(name, dataCentre);
  const traffic = createLinkTraffic();
  const { peerKeys } = settings.node;
  const identity = { node: name, role: NodeRole.Entry, dataCentre, incarnation: name, peerKeys };
  const endpoint: EndpointOptions = { identity, clock, settings: defaultLinkSettings, traffic };
  const holder = createConfigurationHolder();
  const accepted = new Set<Link>();
  const adopt = (link: Link): void => {
    spread.gossip.addLink(link);
    link.onFrame((frame) => {
      spread.gossip.handle(link, frame);
    });
  };
  const pool = createLinkPool(endpoint, adopt);
  const spread = createConfigurationSync({
    settings,
    clock,
    random: createRandom(index + 1),
    logger: createLogger({ node: name, level: 'error', keptDecisions: 0 }),
    holder,
    store: unavailableStore,
    hosts: () => hosts,
    pool,
    endpoint,
  });
  const server = await listenForLinks({ host: '127.0.0.1', port: 0 }, endpoint, (link) => {
    accepted.add(link);
    link.onEnd(() => accepted.delete(link));
    adopt(link);
  });
  const address = server.address();
  const port = typeof address === 'object' && address !== null ? address.port : 0;
  const host: Host = {
    name,
    dataCentre,
    state: 'live' as Host['state'],
    address: `127.0.0.1:${String(port)}`,
    role: 'entry',
  };
  hosts.push(host);
  return { host, holder, spread, pool, traffic, server, accepted };
}

function pause(forMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, forMs));
}

function totalControlBytes(members: readonly Member[]): number {
  return members.reduce((sum, member) => sum + member.traffic.controlBytes, 0);
}

/**
 * Offers a change to one member and returns the time until it is active at every member, in milliseconds;
 * CHANGE_TIMEOUT_MS if that takes longer.
 */
async function measureSpread(members: readonly Member[], document: ConfigurationDocument): Promise<number> {
  const startAt = performance.now();
  members[document.revision % members.length]?.holder.offer(document);
  while (performance.now() - startAt < CHANGE_TIMEOUT_MS) {
    if (members.every(({ holder }) => holder.current().revision >= document.revision)) {
      return performance.now() - startAt;
    }
    await pause(1);
  }
  return CHANGE_TIMEOUT_MS;
}

async function run({ nodes }: ScenarioOptions): Promise<ScenarioReport> {
  const clock = createSystemClock();
  const hosts: Host[] = [];
  const initialDocument = largeDocument(1);
  const members: Member[] = [];
  for (let index = 0; index < nodes; index += 1) {
    members.push(await startMember(index, hosts, clock));
  }
  members.forEach(({ holder, spread }) => {
    holder.offer(initialDocument);
    spread.start();
  });
  await pause(SETTLE_MS);
  const bytesBeforeIdle = totalControlBytes(members);
  const processorBeforeIdle = process.cpuUsage();
  await pause(IDLE_MS);
  const bytesPerSecond = (totalControlBytes(members) - bytesBeforeIdle) / nodes / (IDLE_MS / 1_000);
  const { user, system } = process.cpuUsage(processorBeforeIdle);
  const processorFraction = (user + system) / 1_000 / IDLE_MS / nodes;
  const bytesBeforeChanges = totalControlBytes(members);
  const spreadTimesMs: number[] = [];
  for (let change = 0; change < CHANGES; change += 1) {
    const revision = 2 + change;
    const accounts = initialDocument.accounts.map((account, index) =>
      index === change ? { ...account, weight: 2 } : account,
    );
    spreadTimesMs.push(await measureSpread(members, { ...initialDocument, accounts, revision }));
  }
  const bytesPerChange = (totalControlBytes(members) - bytesBeforeChanges) / nodes / CHANGES;
  const linksPerNode = members.reduce((sum, { pool }) => sum + pool.size(), 0) / nodes;
  members.forEach((member) => {
    member.spread.stop();
    member.pool.closeAll();
    member.accepted.forEach((link) => {
      link.close();
    });
    member.server.close();
  });
  const spreadMs = summariseLatencies(spreadTimesMs);
  return {
    policies: {},
    ratios: {},
    figures: {
      nodes,
      spreadMs,
      slowestMs: round(Math.max(...spreadTimesMs)),
      sentBytesPerSecond: round(bytesPerSecond),
      sentBytesPerChange: round(bytesPerChange),
      documentBytes: JSON.stringify(initialDocument).length,
      processorPart: round(processorFraction * 100) / 100,
      dialledLinks: round(linksPerNode),
    },
    targets: [
      atMost('slowestMs', MAX_SPREAD_MS, round(Math.max(...spreadTimesMs))),
      atMost('sentAndReceivedBytesPerSecond', MAX_CONTROL_BYTES_PER_SECOND, round(2 * bytesPerSecond)),
      atMost('processorPart', MAX_PROCESSOR_FRACTION, round(processorFraction * 10_000) / 10_000),
    ],
  };
}

export const configurationSpread: Scenario = {
  name: 'configuration-spread',
  description: 'spread of changes to a large configuration among many nodes (--nodes), without the store',
  seconds: 1,
  run,
};
