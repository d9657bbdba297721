/** Starts the processes of a fleet: nodes of the system, and fakes of external systems. */
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { stringify } from 'smol-toml';
import { type BackendPlan, type FleetPlan, MODEL } from './fleet-plan.js';
import { freePorts } from './ports.js';
import { type FleetProcess, type ProcessGroup, startProcess } from './processes.js';

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

/** A fake in a running fleet. */
export interface FleetFake {
  readonly name: string;
  process: FleetProcess;
  readonly port: number;
  readonly restart: () => Promise<void>;
}

/**
 * Starts the process of a fake.
 *
 * @param kind - command name of the fake, as in main.ts
 * @param name - its name in the fleet
 * @param options - options of the fake, without the port
 * @param group - the process group that the new process joins
 * @returns the fake, once it is ready
 */
export async function startFake(
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

/** Settings of a node. */
export interface NodeFile {
  readonly name: string;
  readonly dataCentre: string;
  readonly region: string;
  readonly role: 'entry' | 'side';
  readonly table: object;
  readonly scheduler?: Readonly<Record<string, number>>;
}

/**
 * Starts a node.
 *
 * @param file - settings of the node
 * @param folder - folder in which the settings file is written
 * @param platform - addresses of the platform's fakes
 * @param plan - composition and settings of the fleet
 * @param seed - seed of the node's random generator
 * @param group - the process group that the new process joins
 * @returns the node, once it is ready
 */
export async function startNode(
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

/**
 * Starts a fake engine or a fake plain service.
 *
 * @param plan - the backend server to imitate
 * @param group - the process group that the new process joins
 * @returns the fake, once it is ready
 */
export async function startBackend(plan: BackendPlan, group: ProcessGroup): Promise<FleetFake> {
  return plan.engine === undefined
    ? startFake('service', plan.name, { delayMs: plan.serviceDelayMs ?? 5 }, group)
    : startFake('engine', plan.name, { ...plan.engine, models: [MODEL] }, group);
}
