/** A whole fleet of real processes on loopback: entries, sides, and stand-ins for all that is not ours. */
import { CONFIGURATION_KEY } from '@toucanbend/configuration';
import { hashKey } from '@toucanbend/core';
import { mkdtempSync, writeFileSync } from 'node:fs';
import { request } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { stringify } from 'smol-toml';
import { type EngineOptions } from './engine.js';
import { type RelayRoute } from './relay.js';
import { type FleetProcess, freePorts, ProcessGroup, startProcess } from './processes.js';

/** A model engine or plain service of a fleet. */
export interface BackendPlan {
  readonly name: string;
  readonly dataCentre: string;
  /** Speed of an engine; absent for a plain service. */
  readonly engine?: Omit<EngineOptions, 'port' | 'models'>;
  /** Time that a call of a plain service takes, in milliseconds. */
  readonly serviceDelayMs?: number;
  readonly scheduler?: Readonly<Record<string, number>>;
}

/** A client account of a fleet; its key follows from its name. */
export interface AccountPlan {
  readonly name: string;
  readonly weight?: number;
  readonly defaultRank?: string;
  readonly maxConcurrent?: number;
  readonly closed?: boolean;
}

/** What a fleet consists of. */
export interface FleetPlan {
  readonly dataCentres: readonly { readonly name: string; readonly region: string }[];
  readonly entries: readonly { readonly name: string; readonly dataCentre: string }[];
  readonly backends: readonly BackendPlan[];
  readonly accounts: readonly AccountPlan[];
  readonly ranks?: readonly object[];
  readonly entrySettings?: Readonly<Record<string, number>>;
  readonly sideSettings?: Readonly<Record<string, number>>;
  readonly linkSettings?: Readonly<Record<string, number>>;
  readonly logLevel?: string;
  /** Program of the nodes, in the folder of distribution. */
  readonly binary?: string;
  /** Delay each way to sides of a data centre as others see it, in milliseconds, by name; absent without relays. */
  readonly relayDelaysMs?: Readonly<Record<string, number>>;
  readonly relayJitterMs?: number;
}

/** Name of the model that every engine of a fleet serves. */
export const MODEL = 'model-a';
/** Name of the plain service that every service of a fleet serves. */
export const SERVICE = 'orders';
/** Path of the call that must not be repeated. */
export const CONFIRM_PATH = `/services/${SERVICE}/confirm`;

/** Key of an operator who may change the configuration. */
export const OPERATOR_KEY = 'key-of-the-keeper';
/** Key of an operator who may only read. */
export const READER_KEY = 'key-of-the-reader';

const defaultRanks = [
  { name: 'urgent', firstTokenTargetMs: 5_000, deadlineMs: 30_000, floor: 0.5 },
  { name: 'standard', firstTokenTargetMs: 10_000, deadlineMs: 60_000, floor: 0.2 },
  { name: 'batch', firstTokenTargetMs: 30_000, deadlineMs: 120_000, floor: 0.1 },
];

/** A node of the system in a running fleet. */
export interface FleetNode {
  readonly name: string;
  process: FleetProcess;
  readonly operatorPort: number;
  readonly peerPort: number;
  /** Port for callers; 0 for a side. */
  readonly callerPort: number;
  readonly dataCentre: string;
  /** Starts the process again after it has ended. */
  readonly restart: () => Promise<void>;
}

/** A stand-in in a running fleet. */
export interface FleetFake {
  readonly name: string;
  process: FleetProcess;
  readonly port: number;
  readonly restart: () => Promise<void>;
}

/** A running fleet. */
export interface Fleet {
  readonly entries: readonly FleetNode[];
  readonly sides: readonly FleetNode[];
  readonly backends: readonly FleetFake[];
  readonly store: FleetFake;
  readonly hosts: FleetFake;
  /** Relays in front of the sides, where the plan asks for them. */
  readonly relay: FleetFake;
  readonly document: Readonly<Record<string, unknown>>;
  /** The bearer key of an account. */
  keyOf(account: string): string;
  /** Publishes a host list with some hosts marked as leaving and some left out. */
  publishHosts(leaving: readonly string[], gone?: readonly string[]): Promise<void>;
  stop(): Promise<void>;
}

/**
 * Calls a loopback port and reads the JSON of the answer.
 *
 * @param port - the port
 * @param path - the path
 * @param body - sent as JSON by POST; a GET without it
 * @returns the answer
 */
export function callJson<Answer>(port: number, path: string, body?: unknown): Promise<Answer> {
  return new Promise((resolve, reject) => {
    const options = {
      host: '127.0.0.1',
      port,
      path,
      method: body === undefined ? 'GET' : 'POST',
      agent: false,
    };
    const call = request(options, (answer) => {
      let text = '';
      answer.setEncoding('utf8');
      answer.on('data', (chunk: string) => (text += chunk));
      answer.on('end', () => {
        try {
          resolve(JSON.parse(text) as Answer);
        } catch {
          reject(new Error(`${path}: ${text}`));
        }
      });
    });
    call.on('error', reject);
    call.end(body === undefined ? undefined : JSON.stringify(body));
  });
}

/**
 * Waits until a condition holds.
 *
 * @param condition - is asked again and again
 * @param what - named in the error when it does not hold in time
 * @param limitMs - the longest wait
 */
export async function until(
  condition: () => Promise<boolean> | boolean,
  what: string,
  limitMs = 10_000,
): Promise<void> {
  const giveUpAt = performance.now() + limitMs;
  for (;;) {
    try {
      if (await condition()) {
        return;
      }
    } catch {
      // A process that is not there yet does not meet the condition.
    }
    if (performance.now() > giveUpAt) {
      throw new Error(`not within ${String(limitMs)} ms: ${what}`);
    }
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
}

async function startFake(
  kind: string,
  name: string,
  options: object,
  group: ProcessGroup,
): Promise<FleetFake> {
  const [port = 0] = await freePorts(1);
  const start = (): Promise<FleetProcess> =>
    startProcess(name, 'fakes.cjs', [kind, JSON.stringify({ ...options, port })], group);
  const fake: FleetFake = {
    name,
    port,
    process: await start(),
    restart: async () => {
      fake.process = await start();
    },
  };
  return fake;
}

interface NodeFile {
  readonly name: string;
  readonly dataCentre: string;
  readonly region: string;
  readonly role: 'entry' | 'side';
  readonly table: object;
  readonly scheduler?: Readonly<Record<string, number>>;
}

async function startNode(
  file: NodeFile,
  folder: string,
  platform: object,
  plan: FleetPlan,
  seed: number,
  group: ProcessGroup,
): Promise<FleetNode> {
  const [peerPort = 0, operatorPort = 0, callerPort = 0] = await freePorts(3);
  const { name, dataCentre, region, role } = file;
  const table =
    role === 'entry' ? { callerAddress: `127.0.0.1:${String(callerPort)}`, ...file.table } : file.table;
  const settings = {
    node: {
      name,
      dataCentre,
      region,
      peerAddress: `127.0.0.1:${String(peerPort)}`,
      operatorAddress: `127.0.0.1:${String(operatorPort)}`,
      peerKeys: ['a-peer-key-for-tests-only'],
      seed,
    },
    platform,
    links: plan.linkSettings ?? {},
    log: { level: plan.logLevel ?? 'warn' },
    scheduler: file.scheduler ?? {},
    [role]: table,
  };
  const path = join(folder, `${name}.toml`);
  writeFileSync(path, stringify(settings));
  const start = (): Promise<FleetProcess> =>
    startProcess(name, plan.binary ?? 'toucanbend.cjs', [role, '--settings', path], group);
  const node: FleetNode = {
    name,
    dataCentre,
    peerPort,
    operatorPort,
    callerPort: role === 'entry' ? callerPort : 0,
    process: await start(),
    restart: async () => {
      node.process = await start();
    },
  };
  return node;
}

function serverOf(backend: BackendPlan, side: FleetNode, port: number): object {
  return {
    name: backend.name,
    host: side.name,
    dataCentre: backend.dataCentre,
    address: `127.0.0.1:${String(port)}`,
    kind: backend.engine === undefined ? 'service' : 'model',
    serves: [backend.engine === undefined ? SERVICE : MODEL],
    checksFencing: false,
  };
}

const keyOf = (account: string): string => `key-of-${account}`;

function documentOf(
  plan: FleetPlan,
  sides: readonly FleetNode[],
  ports: readonly number[],
): Record<string, unknown> {
  return {
    revision: 1,
    accounts: plan.accounts.map((account) => ({
      weight: 1,
      defaultRank: 'standard',
      maxConcurrent: 10_000,
      ...account,
      keyHashes: [hashKey(keyOf(account.name))],
    })),
    ranks: plan.ranks ?? defaultRanks,
    models: [{ name: MODEL }],
    services: [{ name: SERVICE, nonIdempotent: ['POST /confirm'] }],
    dataCentres: plan.dataCentres,
    operators: [
      { name: 'keeper', keyHashes: [hashKey(OPERATOR_KEY)], write: true },
      { name: 'reader', keyHashes: [hashKey(READER_KEY)], write: false },
    ],
    servers: plan.backends.flatMap((backend, index) => {
      const side = sides[index];
      return side === undefined ? [] : [serverOf(backend, side, ports[index] ?? side.peerPort)];
    }),
  };
}

async function startBackend(plan: BackendPlan, group: ProcessGroup): Promise<FleetFake> {
  return plan.engine === undefined
    ? startFake('service', plan.name, { delayMs: plan.serviceDelayMs ?? 5 }, group)
    : startFake('engine', plan.name, { ...plan.engine, models: [MODEL] }, group);
}

/**
 * Starts a fleet and waits until every node is ready; where that fails, none of its processes is left.
 *
 * @param plan - what it consists of
 * @returns the fleet
 */
export async function startFleet(plan: FleetPlan): Promise<Fleet> {
  const group = new ProcessGroup();
  try {
    return await startFleetIn(group, plan);
  } catch (error) {
    group.end();
    throw error;
  }
}

async function startFleetIn(group: ProcessGroup, plan: FleetPlan): Promise<Fleet> {
  const folder = mkdtempSync(join(tmpdir(), 'toucanbend-fleet-'));
  const regionOf = (name: string): string =>
    plan.dataCentres.find((item) => item.name === name)?.region ?? '';
  const [store, hosts, ...backends] = await Promise.all([
    startFake('store', 'store', {}, group),
    startFake('hosts', 'hosts', {}, group),
    ...plan.backends.map((backend) => startBackend(backend, group)),
  ]);
  const platform = {
    store: `127.0.0.1:${String(store.port)}`,
    hosts: `127.0.0.1:${String(hosts.port)}`,
    hostsIntervalMs: 500,
    storeTimeoutMs: 500,
  };
  const sides = await Promise.all(
    plan.backends.map((backend, index) => {
      const table = {
        server: backend.name,
        kind: backend.engine === undefined ? 'service' : 'model',
        backend: `127.0.0.1:${String(backends[index]?.port)}`,
        ...plan.sideSettings,
      };
      const { dataCentre } = backend;
      const file = {
        name: `side-${backend.name}`,
        dataCentre,
        region: regionOf(dataCentre),
        role: 'side',
        table,
        scheduler: { memoryTokens: backend.engine?.memoryTokens ?? 400_000, ...backend.scheduler },
      } as const;
      return startNode(file, folder, platform, plan, index + 100, group);
    }),
  );
  const entries = await Promise.all(
    plan.entries.map(({ name, dataCentre }, index) => {
      const file = {
        name,
        dataCentre,
        region: regionOf(dataCentre),
        role: 'entry',
        table: plan.entrySettings ?? {},
      } as const;
      return startNode(file, folder, platform, plan, index + 1, group);
    }),
  );
  const nodes = [...entries, ...sides];
  const relayPorts = plan.relayDelaysMs === undefined ? [] : await freePorts(sides.length);
  const routes = relayPorts.flatMap((port, index): RelayRoute[] => {
    const side = sides[index];
    const delayMs = plan.relayDelaysMs?.[side?.dataCentre ?? ''] ?? 0;
    const jitterMs = plan.relayJitterMs ?? 0;
    return side === undefined ? [] : [{ name: side.name, port, target: side.peerPort, delayMs, jitterMs }];
  });
  const relay = await startFake('relay', 'relay', { routes }, group);
  const document = documentOf(plan, sides, relayPorts);
  await callJson(store.port, '/set', { key: CONFIGURATION_KEY, value: JSON.stringify(document) });

  const publishHosts = async (leaving: readonly string[], gone: readonly string[] = []): Promise<void> => {
    const list = nodes
      .filter((node) => !gone.includes(node.name))
      .map((node) => ({
        name: node.name,
        dataCentre: node.dataCentre,
        state: leaving.includes(node.name) ? 'leaving' : 'live',
        address: `127.0.0.1:${String(node.peerPort)}`,
        role: entries.includes(node) ? 'entry' : 'side',
      }));
    await callJson(hosts.port, '/hosts', list);
  };
  await publishHosts([]);
  const isReady = async (node: FleetNode): Promise<boolean> => {
    const status = await callJson<{ ready: boolean; revision: number }>(node.operatorPort, '/status');
    return status.ready && status.revision >= 1;
  };
  await until(
    async () => (await Promise.all(nodes.map(isReady))).every(Boolean),
    'every node is ready',
    20_000,
  );

  return {
    entries,
    sides,
    backends,
    store,
    hosts,
    relay,
    document,
    keyOf,
    publishHosts,
    stop: async () => {
      const processes = [...nodes, ...backends, store, hosts, relay].map((item) => item.process);
      for (const item of processes) {
        item.signal('SIGCONT');
        item.signal('SIGKILL');
      }
      await Promise.all(processes.map((item) => item.exited));
    },
  };
}
