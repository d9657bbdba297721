/** A port for callers with a dialect of the tests, before scripted servers. */
import { createRandom, createSystemClock, type ManualClock } from '@toucanbend/core';
import {
  type CallerPort,
  createCallerPort,
  createForwardingMetrics,
  type Dialect,
  type EngineMemory,
  type ForwardingContext,
} from '@toucanbend/forwarding';
import { type DecisionLine, type Logger } from '@toucanbend/observability';
import { createLoadBook, createRetryWindow } from '@toucanbend/placement';
import {
  AnswerForm,
  type Catalogue,
  emptyRegistry,
  mergeRecords,
  RecordKind,
  type Registry,
  type RegistryRecord,
  RepeatPolicy,
  type Route,
  ServerState,
} from '@toucanbend/registry';
import { ok } from 'neverthrow';
import { Registry as MetricsRegistry } from 'prom-client';

const REPLACED = new Set(['key', 'patience', 'account', 'for-server']);

/** A dialect with plain names. */
export const testDialect: Dialect = {
  readCaller: (headers) => ({
    requestId: String(headers['request-id'] ?? ''),
    key: headers.key === undefined ? undefined : String(headers.key),
    patienceMs: headers.patience === undefined ? undefined : Number(headers.patience),
    lastEventId: headers['last-event-id'] === undefined ? undefined : Number(headers['last-event-id']),
    prompt:
      headers['prompt-tokens'] === undefined
        ? undefined
        : {
            model: 'm',
            promptTokens: Number(headers['prompt-tokens']),
            maxAnswerTokens: 100,
            expectedAnswerTokens: 100,
          },
  }),
  writeAttempt: (callerHeaders, attempt) => {
    if (callerHeaders.includes('planted-fault')) {
      throw new Error('a fault that a test has planted');
    }
    const written: string[] = [];
    for (let index = 0; index + 1 < callerHeaders.length; index += 2) {
      const name = callerHeaders[index] ?? '';
      if (!REPLACED.has(name.toLowerCase())) {
        written.push(name, callerHeaders[index + 1] ?? '');
      }
    }
    written.push('for-server', attempt.serverId, 'time-left', String(Math.floor(attempt.timeLeftMs)));
    if (attempt.account !== undefined) {
      written.push('account', attempt.account);
    }
    if (attempt.lastEventId !== undefined) {
      written.push('last-event-id', String(attempt.lastEventId));
    }
    return written;
  },
  readAnswer: (_status, headers) => ({
    requestId: headers['request-id'] === undefined ? undefined : String(headers['request-id']),
    isSigned: headers.signature !== undefined,
    isNotRun: headers['not-run'] !== undefined,
  }),
};

/** Path of a route for each policy. */
export const paths = {
  once: '/once/',
  repeatable: '/repeatable/',
  stream: '/stream/',
} as const;

function route(name: string, repeat: RepeatPolicy, form: AnswerForm): Route {
  return {
    name,
    host: 'vanes.example',
    pathPrefix: `/${name}/`,
    targets: [{ service: 'vanes', weight: 1 }],
    repeat,
    form,
    timeoutMs: 4_000,
    targetMs: 300,
    targetPauseMs: 250,
    rank: 0,
    attempts: 2,
    isPublic: false,
  };
}

/** The catalogue of the tests. */
export const catalogue: Catalogue = {
  version: 3,
  routes: [
    route('once', RepeatPolicy.Once, AnswerForm.Whole),
    route('repeatable', RepeatPolicy.Repeatable, AnswerForm.Whole),
    route('stream', RepeatPolicy.Resumable, AnswerForm.EventStream),
  ],
  services: [{ name: 'vanes', maxConnections: 10, engine: undefined }],
  accounts: [{ name: 'workshop', keys: ['key-1'], rank: undefined }],
  limits: { maxHeaderBytes: 16_384, maxBodyBytes: 1_000, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
};

function serverRecord(id: string, port: number): RegistryRecord {
  const value = {
    id,
    service: 'vanes',
    host: '127.0.0.1',
    port,
    dataCentre: 'bagmati-a',
    slots: 4,
    state: ServerState.Ready,
    bornAtMs: 0,
  };
  return { kind: RecordKind.Server, id, revision: 1, value };
}

/** A running port and what it has logged. */
export interface TestGateway {
  readonly port: number;
  readonly lines: DecisionLine[];
  readonly callerPort: CallerPort;
  setLeaving(): void;
  refuseRequests(): void;
  /** Makes a catalogue known. */
  learn(value: Catalogue): void;
  close(): void;
}

const noMemory: EngineMemory = {
  reserve: () => Promise.resolve(ok()),
  release: () => Promise.resolve(ok()),
  list: () => Promise.resolve(ok([])),
};

function createRecordingLogger(lines: DecisionLine[]): Logger {
  const ignore = (): void => undefined;
  return {
    decision: (line) => lines.push(line),
    info: ignore,
    warn: ignore,
    error: ignore,
    explain: () => [],
  };
}

/** What may differ from a port with a known catalogue on the system's time. */
export interface TestGatewayOptions {
  /** Null where none is known yet. */
  readonly known?: Catalogue | null;
  /** Time that stands still unless a test moves it. */
  readonly clock?: ManualClock;
  /** Whether requests wait until the test makes a catalogue known. */
  readonly learnsLater?: boolean;
  readonly memory?: EngineMemory;
}

/**
 * Starts a port for callers before servers.
 *
 * @param ports - ports of the servers, in order of preference while all are idle
 * @param options - what differs
 * @returns the port, once it listens
 */
export async function startTestGateway(
  ports: readonly number[],
  options: TestGatewayOptions = {},
): Promise<TestGateway> {
  const { known = catalogue, clock = createSystemClock(), learnsLater = false, memory = noMemory } = options;
  const lines: DecisionLine[] = [];
  let isLeaving = false;
  let takesRequests = true;
  const records: RegistryRecord[] = ports.map((port, index) => serverRecord(`s${String(index)}`, port));
  if (known !== null) {
    records.push({ kind: RecordKind.Catalogue, id: '', revision: 1, value: known });
  }
  let registry: Registry = mergeRecords(emptyRegistry, records, {});
  let learn = (): void => undefined;
  const learned = new Promise<void>((resolve) => {
    learn = resolve;
  });
  const context: ForwardingContext = {
    clock,
    random: createRandom(1),
    logger: createRecordingLogger(lines),
    metrics: createForwardingMetrics(new MetricsRegistry()),
    dialect: testDialect,
    planner: { entry: 'entry-1', dataCentre: 'bagmati-a', crossRoundTripMs: 7 },
    book: createLoadBook(),
    retries: createRetryWindow({ ratio: 0.2, allowance: 100, windowMs: 10_000 }),
    memory,
    memoryBounds: { returnMs: 4_000, unusedMs: 9_000 },
    registry: () => registry,
    configured: () => (learnsLater ? learned : Promise.resolve()),
    entryCount: () => 1,
    isLeaving: () => isLeaving,
    takesRequests: () => takesRequests,
    isBlind: () => false,
    tell: () => undefined,
  };
  const callerPort = createCallerPort(context);
  const port = await callerPort.listen('127.0.0.1', 0);
  return {
    port,
    lines,
    callerPort,
    refuseRequests: () => {
      takesRequests = false;
    },
    learn: (value) => {
      const record: RegistryRecord = { kind: RecordKind.Catalogue, id: '', revision: 2, value };
      registry = mergeRecords(registry, [record], {});
      learn();
    },
    setLeaving: () => {
      isLeaving = true;
    },
    close: () => {
      callerPort.close();
    },
  };
}
