/**
 * Runs a complete session in memory: the request process of one entry, the server controller of one side, and a
 * scripted backend server.
 */
import { createChannel, startProcess } from '@toucanbend/channel';
import { checkDocument, createConfigurationHolder } from '@toucanbend/configuration';
import { createManualClock, createRandom, type ManualClock, RequestKind } from '@toucanbend/core';
import {
  type CallRequest,
  type CompletionRequest,
  createBindings,
  createDirectory,
  createExchange,
  type EntryContext,
  type Inbox,
  InboxMessageType,
  type RequestEnd,
  serveCall,
  serveCompletion,
} from '@toucanbend/entry';
import { createMetrics, type DecisionLine, type Logger } from '@toucanbend/observability';
import { defaultSchedulerSettings } from '@toucanbend/scheduler';
import { parseSettings, type Settings } from '@toucanbend/settings';
import {
  BackendEnd,
  type BackendServer,
  type BackendSink,
  type BackendWork,
  createServerController,
  type SideEvent,
  SideEventType,
} from '@toucanbend/side';
import { type KeyValueStore, type StoredValue, type WriteOutcome } from '@toucanbend/store';
import { type Frame, FrameType, type Link, type LinkPool, NodeRole } from '@toucanbend/wire';
import { ok } from 'neverthrow';

const STEP_MS = 5;
const PREFILL_TOKENS_PER_MS = 20;
const TOKEN_MS = 25;
const CALL_MS = 20;
const LOCATION = { dataCentre: 'dc-1', region: 'bagmati' };

const document = checkDocument(
  {
    revision: 1,
    accounts: [{ name: 'patan' }],
    models: [{ name: 'model-a' }],
    services: [{ name: 'orders', nonIdempotent: ['POST /confirm'] }],
    dataCentres: [{ name: 'dc-1', region: 'bagmati' }],
    servers: [
      {
        name: 'engine-1',
        host: 'host-1',
        dataCentre: 'dc-1',
        address: '10.0.0.1:7001',
        kind: 'model',
        serves: ['model-a'],
      },
      {
        name: 'orders-1',
        host: 'host-1',
        dataCentre: 'dc-1',
        address: '10.0.0.1:7001',
        kind: 'service',
        serves: ['orders'],
      },
    ],
  },
  'session',
)._unsafeUnwrap();

/** A session that records every frame, backend call and log line. */
export interface Session {
  /** Starts a completion; its result appears in the recording. */
  complete(request: CompletionRequest): void;
  call(request: CallRequest): void;
  /** Closes the caller's connection of a request. */
  disconnectCaller(requestId: string): void;
  /** Advances the clock. */
  advance(forMs: number): Promise<void>;
  /** The recording so far, with one line per event. */
  recording(): string;
}

/** What identifies a kind of session. */
export interface SessionOptions {
  readonly kind: RequestKind;
  /** Delays of the side's first frames to the entry, in milliseconds; later frames are not delayed. */
  readonly delaysMs?: readonly number[];
}

function settingsOf(kind: RequestKind): Settings {
  return parseSettings(
    `
[node]
name = "host-1"
dataCentre = "dc-1"
region = "bagmati"
peerAddress = "10.0.0.1:7001"
operatorAddress = "10.0.0.1:9001"
peerKeys = ["a-peer-key-for-sessions"]
[platform]
store = "10.0.0.9:2379"
hosts = "10.0.0.9:8500"
[side]
server = "engine-1"
kind = "${kind}"
backend = "10.0.0.1:8000"
`,
    'session',
  )._unsafeUnwrap();
}

/** Waits until everything scheduled at the current time has run; js-csp schedules through turns of the event loop. */
async function settleTurns(): Promise<void> {
  for (let turn = 0; turn < 6; turn += 1) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}

function describeFrame(frame: Frame): string {
  const { type, ...fields } = frame;
  const shown = Object.fromEntries(
    Object.entries(fields).map(([name, value]) => [
      name,
      value instanceof Uint8Array ? `${String(value.length)} bytes` : value,
    ]),
  );
  return `${FrameType[type]} ${JSON.stringify(shown)}`;
}

/** An in-memory key-value store. */
function createMemoryStore(record: (line: string) => void): KeyValueStore {
  const values = new Map<string, StoredValue>();
  let revision = 0;
  return {
    read: (key) => Promise.resolve(ok(values.get(key))),
    write: (writes) => {
      const outcomes = writes.map(({ key, value, expectedModRevision }): WriteOutcome => {
        const current = values.get(key);
        const applied = (current?.modRevision ?? 0) === expectedModRevision;
        record(`entry -> store  write ${applied ? 'taken' : 'refused'} ${value}`);
        if (applied) {
          revision += 1;
          values.set(key, { key, value, modRevision: revision });
        }
        return { applied, current: applied ? undefined : current };
      });
      return Promise.resolve(ok(outcomes));
    },
    watch: () => () => undefined,
  };
}

/** A backend server with fixed service times. */
class ScriptedBackend implements BackendServer {
  readonly #clock: ManualClock;
  readonly #record: (line: string) => void;

  constructor(clock: ManualClock, record: (line: string) => void) {
    this.#clock = clock;
    this.#record = record;
  }

  start(work: BackendWork, sink: BackendSink): () => void {
    const { requestId, target, maxTokens, priority, body, call } = work;
    const what = call === undefined ? `complete ${target}` : `${call.method} ${call.path}`;
    this.#record(
      `side -> backend ${what} ${requestId} body=${String(body.length)} priority=${String(priority)}`,
    );
    let cancelled = false;
    const at = (delayMs: number, action: () => void): void => {
      this.#clock.after(delayMs, () => {
        if (!cancelled) {
          action();
        }
      });
    };
    if (call === undefined) {
      const firstMs = body.length / 4 / PREFILL_TOKENS_PER_MS;
      for (let index = 0; index < maxTokens; index += 1) {
        at(firstMs + index * TOKEN_MS, () => {
          sink.onTokens([` t${String(index)}`]);
        });
      }
      at(firstMs + maxTokens * TOKEN_MS, () => {
        sink.onEnd(BackendEnd.Finished, '');
      });
    } else {
      at(CALL_MS, () => {
        sink.onAnswer({ status: 200, contentType: 'text/plain', body: Buffer.from('confirmed') });
        sink.onEnd(BackendEnd.Finished, '');
      });
    }
    return () => {
      cancelled = true;
      this.#record(`side -> backend cancel ${requestId}`);
    };
  }
}

/**
 * Creates a session.
 *
 * @param options - kind of the backend server
 * @returns the session, at time 0
 */
export function createSession(options: SessionOptions): Session {
  const clock = createManualClock();
  const lines: string[] = [];
  const delaysMs = [...(options.delaysMs ?? [])];
  const record = (line: string): void => {
    lines.push(`${String(clock.now()).padStart(6)} ${line}`);
  };
  const loggerOf = (node: string): Logger => ({
    decision: ({ decision, request, fields }: DecisionLine) => {
      record(`${node} log ${decision} ${request} ${JSON.stringify(fields)}`);
    },
    info: () => undefined,
    warn: () => undefined,
    error: () => undefined,
    explain: () => [],
  });

  const holder = createConfigurationHolder();
  holder.offer(document);
  const settings = settingsOf(options.kind);
  const events: SideEvent[] = [];
  const handleEvents = (): void => {
    for (let event = events.shift(); event !== undefined; event = events.shift()) {
      controller.handle(event);
    }
  };
  const raise = (event: SideEvent): void => {
    events.push(event);
    setImmediate(handleEvents);
  };
  if (settings.side === undefined) {
    throw new Error('a session needs the settings of a side');
  }
  const controller = createServerController({
    incarnation: 'run-1',
    settings: settings.side,
    scheduler: {
      ...defaultSchedulerSettings,
      initialPrefillTokensPerMs: PREFILL_TOKENS_PER_MS,
      ...(options.kind === RequestKind.Service ? { memoryTokens: Number.MAX_SAFE_INTEGER } : {}),
    },
    clock,
    logger: loggerOf('side'),
    backend: new ScriptedBackend(clock, record),
    raise,
    onFirstToken: () => undefined,
    onIdle: () => undefined,
  });

  const linkTo = (label: string, node: string, deliver: (frame: Frame) => void): Link => ({
    peer: { node, role: NodeRole.Side, dataCentre: 'dc-1', incarnation: 'run-1' },
    send: (frame) => {
      record(`${label} ${describeFrame(frame)}`);
      deliver(frame);
      return true;
    },
    onFrame: () => undefined,
    onEnd: () => undefined,
    setActive: () => undefined,
    queuedBytes: () => 0,
    close: () => undefined,
    isOpen: () => true,
  });
  const toEntry: Link = linkTo('side -> entry   ', 'entry-1', (frame) => {
    const delayMs = delaysMs.shift() ?? 0;
    const deliver = (): void => {
      exchange.handle(toSide, frame);
    };
    if (delayMs > 0) {
      clock.after(delayMs, deliver);
    } else {
      setImmediate(deliver);
    }
  });
  const toSide: Link = linkTo('entry -> side   ', 'host-1', (frame) => {
    raise({ type: SideEventType.Frame, link: toEntry, frame });
  });
  const pool: LinkPool = {
    get: () => Promise.resolve(ok(toSide)),
    find: () => toSide,
    closeIdle: () => undefined,
    closeAll: () => undefined,
    size: () => 1,
  };
  const noHosts = { hosts: () => undefined, find: () => undefined, stop: () => undefined };
  const directory = createDirectory(holder, noHosts, clock);
  const exchange = createExchange(pool, directory, clock, 80);
  const context: EntryContext = {
    clock,
    random: createRandom(1),
    logger: loggerOf('entry'),
    metrics: createMetrics(),
    settings: {
      callerAddress: '10.0.0.2:8080',
      maxBodyBytes: 1,
      maxPromptTokens: 1,
      maxAnswerTokens: 1,
      probeTimeoutMs: 80,
      answerMarginMs: 30,
      receiveTimeoutMs: 1_000,
      probesByPrefix: 1,
      probesAtRandom: 2,
    },
    directory,
    exchange,
    bindings: createBindings(createMemoryStore(record), clock, 1_000),
    mayRetry: () => true,
  };
  const inboxes = new Map<string, Inbox>();
  const openInbox = (requestId: string): Inbox => {
    const inbox: Inbox = createChannel();
    inboxes.set(requestId, inbox);
    return inbox;
  };
  const end = (requestId: string, { outcome, reason }: RequestEnd): void => {
    record(`entry -> caller  ${requestId} ends ${outcome} ${reason}`);
  };

  return {
    complete: (request) => {
      const { requestId } = request;
      record(`caller -> entry  ${requestId} prompt=${String(request.promptTokens)} rank=${request.rank}`);
      const inbox = openInbox(requestId);
      startProcess(function* () {
        const onTokens = (tokens: readonly string[]): void => {
          record(`entry -> caller  ${requestId} tokens ${JSON.stringify(tokens)}`);
        };
        end(requestId, yield* serveCompletion(context, LOCATION, request, inbox, onTokens));
      });
    },
    call: (request) => {
      const { requestId } = request;
      record(`caller -> entry  ${requestId} ${request.call.method} ${request.call.path}`);
      const inbox = openInbox(requestId);
      startProcess(function* () {
        const onAnswer = (): void => {
          record(`entry -> caller  ${requestId} answer`);
        };
        end(requestId, yield* serveCall(context, LOCATION, request, inbox, onAnswer));
      });
    },
    disconnectCaller: (requestId) => {
      record(`caller -> entry  ${requestId} gone`);
      inboxes.get(requestId)?.send({ type: InboxMessageType.CallerGone });
    },
    advance: async (forMs) => {
      await settleTurns();
      for (let passed = 0; passed < forMs; passed += STEP_MS) {
        clock.advance(STEP_MS);
        await settleTurns();
      }
    },
    recording: () => `${lines.join('\n')}\n`,
  };
}
