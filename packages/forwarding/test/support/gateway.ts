/** An HTTP server for callers with a test dialect, in front of scripted backend servers. */
import { type IncomingHttpHeaders } from 'node:http';
import { createManualClock, createRandom, type ManualClock } from '@toucanbend/core';
import {
  type CallerHead,
  type CallerPort,
  createCallerPort,
  createForwardingMetrics,
  type Dialect,
  type EngineMemory,
  type ForwardingContext,
} from '@toucanbend/forwarding';
import { type DecisionLine, type Logger } from '@toucanbend/observability';
import {
  applyLoadUpdate,
  createLoadTracker,
  createRetryBudget,
  type LoadUpdate,
} from '@toucanbend/placement';
import { createQuarantine } from '@toucanbend/quarantine';
import {
  AnswerForm,
  type Catalogue,
  emptyRegistry,
  listServers,
  mergeRecords,
  RecordKind,
  type Registry,
  type RegistryRecord,
  RepeatPolicy,
  type Route,
  runIdOf,
  ServerState,
} from '@toucanbend/registry';
import {
  type ColdOptions,
  createServerRestrictions,
  type RestrictionUpdate,
  UNLIMITED,
} from '@toucanbend/restrictions';
import { ok } from 'neverthrow';
import { Registry as MetricsRegistry } from 'prom-client';

const REPLACED = new Set(['key', 'timeout', 'account', 'for-server']);

const readTestHead = (headers: IncomingHttpHeaders): CallerHead => ({
  requestId: String(headers['request-id'] ?? ''),
  key: headers.key === undefined ? undefined : String(headers.key),
  callerTimeoutMs: headers.timeout === undefined ? undefined : Number(headers.timeout),
  lastEventId: headers['last-event-id'] === undefined ? undefined : Number(headers['last-event-id']),
  prompt:
    headers['prompt-tokens'] === undefined
      ? undefined
      : {
          model: 'm',
          promptTokens: Number(headers['prompt-tokens']),
          maxAnswerTokens: Number(headers['answer-tokens'] ?? 100),
          answerTokenLimit: Number(headers['answer-tokens'] ?? 100),
          expectedAnswerTokens: Number(headers['answer-tokens'] ?? 100),
          sharedParts: headers.parts === undefined ? [] : String(headers.parts).split(','),
        },
});

/** A dialect with short header names. */
export const testDialect: Dialect = {
  readCaller: (headers) => {
    if (headers['injected-head-fault'] !== undefined) {
      throw new Error('fault injected by a test');
    }
    return readTestHead(headers);
  },
  writeAttempt: (callerHeaders, attempt) => {
    if (callerHeaders.includes('injected-fault')) {
      throw new Error('fault injected by a test');
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
    if (attempt.helpers.length > 0) {
      written.push('helpers', attempt.helpers.map(({ host, port }) => `${host}:${String(port)}`).join(','));
    }
    return written;
  },
  readAnswer: (_status, headers) => ({
    requestId: headers['request-id'] === undefined ? undefined : String(headers['request-id']),
    isSigned: headers.signature !== undefined,
    isNotRun: headers['not-run'] !== undefined,
    faultyAddress: headers['at-fault'] === undefined ? undefined : String(headers['at-fault']),
    notice: {
      limitPerSecond: headers.limit === undefined ? UNLIMITED : Number(headers.limit),
      isLeaving: headers.leaving !== undefined,
      backOffMs: headers['back-off-ms'] === undefined ? undefined : Number(headers['back-off-ms']),
      invalid: [],
    },
  }),
};

/** The path of the route for each repeat policy. */
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

/** The default catalogue of the tests. */
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

function serverRecord(id: string, port: number, bornAtMs = 0, dataCentre = 'bagmati-a'): RegistryRecord {
  const value = {
    id,
    service: 'vanes',
    host: '127.0.0.1',
    port,
    dataCentre,
    slots: 4,
    state: ServerState.Ready,
    bornAtMs,
  };
  return { kind: RecordKind.Server, id, position: { era: 1, revision: 1 }, value };
}

/** A running HTTP server for callers and the decisions that it has logged. */
export interface TestGateway {
  readonly port: number;
  readonly decisions: DecisionLine[];
  /** The load updates that the other entries would receive. */
  readonly updates: readonly LoadUpdate[];
  /** Handles a load update of another entry. */
  receive(from: string, update: LoadUpdate): void;
  /** Handles another entry's update about a restriction of a server. */
  receiveRestriction(update: RestrictionUpdate): void;
  readonly callerPort: CallerPort;
  /** Starts a planned stop, which abandons the requests without an answer at a time, if it is given, unused by the balancer from another. */
  startDraining(answersUntilMs?: number, unusedFromMs?: number): void;
  stopAccepting(): void;
  /** Puts a catalogue into the registry. */
  setCatalogue(value: Catalogue): void;
  /** Puts the evacuation of a data centre into the registry. */
  evacuate(dataCentre: string): void;
  /** Replaces the record of the server on a port by that of its next run, which has a new id unless it keeps that of before. */
  restartServer(port: number, keepsId?: boolean): void;
  close(): void;
}

const noMemory: EngineMemory = {
  reserve: () => Promise.resolve(ok()),
  release: () => Promise.resolve(ok()),
  list: () => Promise.resolve(ok([])),
};

function createRecordingLogger(decisions: DecisionLine[]): Logger {
  const ignore = (): void => undefined;
  return {
    decision: (line) => decisions.push(line),
    info: ignore,
    warn: ignore,
    error: ignore,
    explain: () => [],
  };
}

/** Deviations from a server with the default catalogue, at a time that stands still. */
export interface TestGatewayOptions {
  /** The catalogue at the start; null if there is none yet. */
  readonly initialCatalogue?: Catalogue | null;
  /** The clock, which only the test advances. */
  readonly clock?: ManualClock;
  /** Whether requests wait until the test sets a catalogue. */
  readonly waitsForCatalogue?: boolean;
  readonly memory?: EngineMemory;
  /** Name of this entry. */
  readonly entry?: string;
  /** Called with each load update for the other entries. */
  readonly onUpdate?: (update: LoadUpdate) => void;
  /** Called with each update about a restriction of a server for the other entries. */
  readonly onRestriction?: (update: RestrictionUpdate) => void;
  /** Number of entries that share the limits of servers. */
  readonly entries?: number;
  /** Ports of the servers that are in the data centre `bagmati-b`. */
  readonly remotePorts?: readonly number[];
  /** The bound on the requests of cold servers; none by default. */
  readonly cold?: ColdOptions;
}

/**
 * Starts an HTTP server for callers in front of backend servers.
 *
 * @param ports - ports of the backend servers, in order of preference while all are idle
 * @param options - deviations from the defaults
 * @returns the server, when it listens
 */
export async function startTestGateway(
  ports: readonly number[],
  options: TestGatewayOptions = {},
): Promise<TestGateway> {
  const {
    initialCatalogue = catalogue,
    clock = createManualClock(),
    waitsForCatalogue = false,
    memory = noMemory,
    entry = 'entry-1',
    onUpdate = () => undefined,
    onRestriction = () => undefined,
    entries = 1,
    remotePorts = [],
    cold,
  } = options;
  const decisions: DecisionLine[] = [];
  const updates: LoadUpdate[] = [];
  let revision = 1;
  let isLeaving = false;
  let requestsUntilMs = Number.POSITIVE_INFINITY;
  let outOfRotationAtMs = Number.POSITIVE_INFINITY;
  let takesRequests = true;
  const records: RegistryRecord[] = ports.map((port, index) =>
    serverRecord(`s${String(index)}`, port, 0, remotePorts.includes(port) ? 'bagmati-b' : undefined),
  );
  if (initialCatalogue !== null) {
    const position = { era: 1, revision: 1 };
    records.push({ kind: RecordKind.Catalogue, id: '', position, value: initialCatalogue });
  }
  let registry: Registry = mergeRecords(emptyRegistry, records, {});
  let resolveCatalogue = (): void => undefined;
  const catalogueKnown = new Promise<void>((resolve) => {
    resolveCatalogue = resolve;
  });
  const quarantine = createQuarantine({
    clock,
    wallClock: () => 0,
    random: createRandom(1),
    logger: createRecordingLogger(decisions),
    broadcast: () => undefined,
    publish: () => Promise.resolve(true),
    withdraw: () => undefined,
  });
  const restrictions = createServerRestrictions({
    entry,
    clock,
    logger: createRecordingLogger(decisions),
    share: () => ({ fraction: 1, entries }),
    broadcast: onRestriction,
    ...(cold === undefined ? {} : { cold }),
  });
  const context: ForwardingContext = {
    clock,
    random: createRandom(1),
    logger: createRecordingLogger(decisions),
    metrics: createForwardingMetrics(new MetricsRegistry()),
    dialect: testDialect,
    planner: { entry, dataCentre: 'bagmati-a', crossRoundTripMs: 7 },
    loadTracker: createLoadTracker(),
    restrictions,
    retries: createRetryBudget({ ratio: 0.2, allowance: 100, windowMs: 10_000 }),
    memory,
    memoryBounds: { maxReleaseDelayMs: 4_000, maxUnusedMs: 9_000 },
    registry: () => registry,
    waitForConfiguration: () => (waitsForCatalogue ? catalogueKnown : Promise.resolve()),
    entryCount: () => 1,
    isDraining: () => isLeaving,
    answersUntilMs: () => requestsUntilMs,
    outOfRotationAtMs: () => outOfRotationAtMs,
    acceptsRequests: () => takesRequests,
    holdsPrompts: true,
    hasPartialLoadView: () => false,
    broadcast: (update) => {
      updates.push(update);
      onUpdate(update);
    },
    quarantine,
  };
  const callerPort = createCallerPort(context);
  const port = await callerPort.listen('127.0.0.1', 0);
  return {
    port,
    decisions,
    updates,
    receive: (from, update) => {
      applyLoadUpdate(context.loadTracker, restrictions, from, update, () => undefined, clock.now());
    },
    receiveRestriction: restrictions.receive.bind(restrictions),
    callerPort,
    stopAccepting: () => {
      takesRequests = false;
    },
    setCatalogue: (value) => {
      const version = Math.max(value.version, (registry.catalogue?.version ?? 0) + 1);
      const position = { era: 1, revision: 2 };
      const record: RegistryRecord = {
        kind: RecordKind.Catalogue,
        id: '',
        position,
        value: { ...value, version },
      };
      registry = mergeRecords(registry, [record], {});
      resolveCatalogue();
    },
    evacuate: (dataCentre) => {
      const kind = RecordKind.Evacuation;
      const record = { kind, id: dataCentre, position: { era: 1, revision: 1 }, value: { dataCentre } };
      registry = mergeRecords(registry, [record as RegistryRecord], {});
    },
    restartServer: (port, keepsId = false) => {
      revision += 1;
      const position = { era: 1, revision };
      const ended = listServers(registry).find((server) => server.port === port);
      const id = keepsId && ended !== undefined ? ended.id : `s${String(port)}-${String(revision)}`;
      const next = serverRecord(id, port, revision);
      const removed =
        ended === undefined || keepsId ? [] : [{ kind: RecordKind.Server as const, id: ended.id, position }];
      registry = mergeRecords(registry, [...removed, { ...next, position }], {});
      if (ended !== undefined) {
        quarantine.serverEnded(runIdOf(ended));
      }
    },
    startDraining: (answersUntilMs, unusedFromMs = Number.POSITIVE_INFINITY) => {
      isLeaving = true;
      outOfRotationAtMs = unusedFromMs;
      if (answersUntilMs !== undefined) {
        requestsUntilMs = answersUntilMs;
        callerPort.startDraining();
      }
    },
    close: () => {
      callerPort.close();
    },
  };
}
