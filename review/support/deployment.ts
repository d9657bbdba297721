/** A small deployment on loopback: the project's fake store, and real entries started as the deploy file states. */
import { type ChildProcess, spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { parse } from 'smol-toml';
import { freePorts } from '../../fakes/ports.js';
import { type PlatformStore, startPlatformStore } from '../../platform/fakes/platform-store.js';
import { type Recorder } from './recorder.js';

export const HOST = 'vanes.example';
export const ACCOUNT = 'patan';
export const API_KEY = 'key-of-patan';
/** Grace period between SIGTERM and SIGKILL, in seconds, as in the users' site files. */
export const GRACE_S = 8;

/** Exit code of a script whose case could not run. */
export const CANNOT_RUN = 2;

/** An entry and its current process. */
export interface Entry {
  readonly name: string;
  readonly callerPort: number;
  readonly readyPort: number;
  readonly metricsPort: number;
  readonly settingsPath: string;
  child: ChildProcess;
  /** Output of the entry, across restarts. */
  readonly lines: string[];
  /** Ends of the process that the script did not order. */
  readonly ownExits: string[];
}

/** A route of the configuration, in the words of the platform. */
export interface RouteOptions {
  readonly name: string;
  readonly service: string;
  readonly kind: 'streaming' | 'idempotent' | 'non_idempotent';
  readonly timeoutMs?: number;
  readonly targetMs?: number;
  readonly attempts?: number;
  readonly resumable?: boolean;
}

/** Size of a deployment. */
export interface DeploymentOptions {
  readonly entries: number;
  readonly routes: readonly RouteOptions[];
  readonly record: Recorder;
  /** Further headers of the settings file, as TOML lines of the table `bounds`. */
  readonly bounds?: readonly string[];
}

/** A registration of a server in the store. */
export interface Registration {
  readonly id: string;
  readonly service: string;
  readonly port: number;
  readonly zone?: string;
  readonly slots?: number;
  readonly born?: number;
  readonly state?: 'ready' | 'draining';
}

/** A running deployment. */
export interface Deployment {
  readonly store: PlatformStore;
  readonly entries: readonly Entry[];
  register(server: Registration): void;
  start(entry: Entry): void;
  /** Sends a signal to the process of an entry; its end is then expected. */
  signal(entry: Entry, signal: NodeJS.Signals): void;
  whenReady(entries: readonly Entry[]): Promise<void>;
  stop(): Promise<void>;
}

/** Parameters of the engines, as in the users' sheet for himvane-hq. */
const engine = {
  slots: 16,
  kv_capacity_tokens: 232_000,
  stride: 43,
  chunk: 2_048,
  step_ms: 1.02,
  per_seq_ms: 0.002,
  context_per_k: 0.004,
  read_per_s: 206_000,
  pairs_per_m: 0.138,
};

interface DeployRole {
  readonly run: string;
  readonly env?: Readonly<Record<string, string>>;
}

function readRole(): DeployRole {
  const file = parse(readFileSync(join('deploy', 'system.toml'), 'utf8')) as unknown as {
    readonly roles: Readonly<Record<string, DeployRole>>;
  };
  const role = file.roles.entry;
  if (role === undefined) {
    throw new Error('the deploy file has no role entry');
  }
  return role;
}

function settingsText(
  name: string,
  ports: readonly number[],
  seed: number,
  storePort: number,
  bounds: readonly string[],
): string {
  const [front, ready, control] = ports.map(String);
  return `node = "${name}"
role = "entry"
machine_class = "edge"
ip = "127.0.0.1"
zone = "bagmati-a"
region = "bagmati"
seeds = ["127.0.0.1:${String(seed)}"]
heartbeat_ms = 1200
[listen]
front = "127.0.0.1:${front ?? ''}"
ready = "127.0.0.1:${ready ?? ''}"
control = "127.0.0.1:${control ?? ''}"
[bounds]
grace_s = ${String(GRACE_S)}
retry_budget_ratio = 0.2
retry_window_s = 10
retry_budget_extra = 106
free_ms = 4000
max_idle_ms = 9000
${bounds.join('\n')}
[platform]
address = "127.0.0.1:${String(storePort)}"
`;
}

function wireRoute(route: RouteOptions): object {
  const { name, service, kind, timeoutMs = 10_000, targetMs = 300, attempts = 2, resumable } = route;
  return {
    name,
    host: HOST,
    path_prefix: `/${name}/`,
    kind,
    service,
    timeout_ms: timeoutMs,
    target_latency_ms: targetMs,
    attempts,
    ...(kind === 'streaming' ? { target_gap_ms: 250, resumable: resumable ?? false, sticky: true } : {}),
  };
}

async function isReady(port: number): Promise<boolean> {
  try {
    const response = await fetch(`http://127.0.0.1:${String(port)}/api/ready`);
    return response.status === 200;
  } catch {
    return false;
  }
}

/**
 * Selects an entry in turn.
 *
 * @param entries - the entries, of which there is at least one
 * @param turn - a number that rises
 * @returns the entry
 */
export function entryOfTurn(entries: readonly Entry[], turn: number): Entry {
  const entry = entries[turn % entries.length];
  if (entry === undefined) {
    throw new Error('there is no entry');
  }
  return entry;
}

/**
 * Waits.
 *
 * @param ms - the time in milliseconds
 * @returns resolves after that time
 */
export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/**
 * Starts a deployment.
 *
 * @param options - its size and its configuration
 * @returns the deployment; its entries are not ready yet
 */
export async function startDeployment(options: DeploymentOptions): Promise<Deployment> {
  const { record } = options;
  const role = readRole();
  const [program = '', ...parameters] = role.run.split(' ');
  const store = await startPlatformStore();
  const folder = mkdtempSync(join(tmpdir(), 'toucanbend-review-'));
  const ports = await freePorts(4 * options.entries);
  const expectedEnds = new Set<ChildProcess>();
  store.write('op/config', {
    version: 1,
    routes: options.routes.map(wireRoute),
    services: [...new Set(options.routes.map(({ service }) => service))].map((name) =>
      name === 'model' ? { name, engine } : { name },
    ),
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
    tenants: [{ name: ACCOUNT, api_keys: [API_KEY] }],
  });
  const spawnEntry = (
    entry: Pick<Entry, 'name' | 'settingsPath' | 'metricsPort' | 'lines' | 'ownExits'>,
  ): ChildProcess => {
    const child = spawn(program === 'node' ? process.execPath : program, parameters, {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: {
        ...role.env,
        TOUCANBEND_CONFIG: entry.settingsPath,
        TOUCANBEND_METRICS_PORT: String(entry.metricsPort),
      },
    });
    const keep = (text: string): void => {
      entry.lines.push(...text.split('\n').filter((line) => line !== ''));
    };
    child.stdout.setEncoding('utf8').on('data', keep);
    child.stderr.setEncoding('utf8').on('data', keep);
    child.once('exit', (code, signal) => {
      record.note(`${entry.name} ends: code ${String(code)}, signal ${String(signal)}`);
      if (!expectedEnds.has(child)) {
        entry.ownExits.push(`code ${String(code)}, signal ${String(signal)}`);
      }
    });
    return child;
  };
  const entries = Array.from({ length: options.entries }, (_, index): Entry => {
    const [front = 0, ready = 0, control = 0, metricsPort = 0] = ports.slice(4 * index, 4 * index + 4);
    const name = `edge-${String(index)}`;
    const settingsPath = join(folder, `${name}.toml`);
    const text = settingsText(name, [front, ready, control], ports[2] ?? 0, store.port, options.bounds ?? []);
    writeFileSync(settingsPath, text);
    const parts = { name, settingsPath, metricsPort, lines: [], ownExits: [] };
    return { ...parts, callerPort: front, readyPort: ready, child: spawnEntry(parts) };
  });
  // Also after an error or a time-out, no process of the script is left running.
  process.once('exit', () => {
    entries.forEach(({ child }) => child.kill('SIGKILL'));
  });
  for (const signal of ['SIGTERM', 'SIGINT'] as const) {
    process.once(signal, () => process.exit(CANNOT_RUN));
  }
  for (const event of ['uncaughtException', 'unhandledRejection'] as const) {
    process.once(event, (error: unknown) => {
      record.note(
        `the case cannot run: ${error instanceof Error ? (error.stack ?? error.message) : String(error)}`,
      );
      process.exit(CANNOT_RUN);
    });
  }
  return {
    store,
    entries,
    register: ({ id, service, port, zone = 'bagmati-a', slots = 16, born, state = 'ready' }) => {
      const address = `127.0.0.1:${String(port)}`;
      store.write(`servers/${id}`, {
        service,
        address,
        zone,
        version: 1,
        slots,
        state,
        cold_ms: 0,
        seq: 0,
        ...(born === undefined ? {} : { born }),
      });
    },
    start: (entry) => {
      entry.child = spawnEntry(entry);
    },
    signal: (entry, signal) => {
      if (signal !== 'SIGSTOP' && signal !== 'SIGCONT') {
        expectedEnds.add(entry.child);
      }
      record.note(`${signal} to ${entry.name}`);
      entry.child.kill(signal);
    },
    whenReady: async (waited) => {
      const endsAtMs = performance.now() + 15_000;
      for (const { name, readyPort } of waited) {
        while (!(await isReady(readyPort))) {
          if (performance.now() > endsAtMs) {
            throw new Error(`${name} is not ready`);
          }
          await sleep(50);
        }
      }
    },
    stop: async () => {
      await Promise.all(
        entries.map(async ({ child }) => {
          expectedEnds.add(child);
          if (child.exitCode !== null || child.signalCode !== null) {
            return;
          }
          const ended = new Promise((resolve) => child.once('exit', resolve));
          child.kill('SIGKILL');
          await ended;
        }),
      );
      store.close();
      rmSync(folder, { recursive: true, force: true });
    },
  };
}
