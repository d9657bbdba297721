/** Runs a fleet of real processes on loopback: entries, sides, and fakes of external systems. */
import { CONFIGURATION_KEY } from '@toucanbend/configuration';
import { mkdtempSync } from 'node:fs';
import { request } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { type FleetFake, type FleetNode, startBackend, startFake, startNode } from './fleet-node.js';
import { documentOf, type FleetPlan, keyOf } from './fleet-plan.js';
import { freePorts } from './ports.js';
import { ProcessGroup } from './processes.js';
import { type RelayRoute } from './relay.js';

export { type FleetFake, type FleetNode } from './fleet-node.js';
export * from './fleet-plan.js';

/** A running fleet. */
export interface Fleet {
  readonly entries: readonly FleetNode[];
  readonly sides: readonly FleetNode[];
  readonly backends: readonly FleetFake[];
  readonly store: FleetFake;
  readonly hosts: FleetFake;
  /** Relays in front of the sides, if the plan configures them. */
  readonly relay: FleetFake;
  readonly document: Readonly<Record<string, unknown>>;
  /** The bearer key of an account. */
  keyOf(account: string): string;
  /** Publishes a host list with some hosts marked as leaving and some omitted. */
  publishHosts(leaving: readonly string[], gone?: readonly string[]): Promise<void>;
  stop(): Promise<void>;
}

/**
 * Calls a loopback port and parses the JSON response.
 *
 * @param port - loopback port to call
 * @param path - path of the request
 * @param body - sent as JSON by POST; a GET without it
 * @returns the parsed body of the response
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
 * @param condition - polled every 20 ms; an exception counts as false
 * @param what - description of the condition for the time-out error
 * @param limitMs - time limit in milliseconds
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
      // Calls fail until the process has started, which counts as false.
    }
    if (performance.now() > giveUpAt) {
      throw new Error(`condition not met within ${String(limitMs)} ms: ${what}`);
    }
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
}

/**
 * Starts a fleet and waits until every node is ready; on failure, kills all of its processes.
 *
 * @param plan - the composition of the fleet
 * @returns the running fleet, with the ports of its nodes and fakes
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
