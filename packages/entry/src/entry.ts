/** The entry: accepts HTTP requests of callers and starts a sequential process for each. */
import { randomUUID } from 'node:crypto';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { createAdministrationHandler } from '@toucanbend/administration';
import { createChannel, startProcess } from '@toucanbend/channel';
import { type Clock, createByteBuffer, Outcome, Reason } from '@toucanbend/core';
import { createConfigurationClient } from '@toucanbend/operator';
import { createNode, type Node } from '@toucanbend/node';
import { DecisionKind } from '@toucanbend/observability';
import {
  depositRetryCredit,
  initialRetryBudget,
  type Location,
  withdrawRetryCredit,
} from '@toucanbend/routing';
import { type EntrySettings, type Settings } from '@toucanbend/settings';
import { NodeRole, parseAddress } from '@toucanbend/wire';
import { AccessErrorKind, createAccounts } from './accounts.js';
import {
  createStreamedAnswer,
  createBufferedAnswer,
  sendCallAnswer,
  sendOutcome,
  sendFindings,
} from './answer.js';
import { createBindings } from './bindings.js';
import { serveCall } from './call.js';
import { serveCompletion } from './completion.js';
import { type EntryContext } from './context.js';
import { createDirectory } from './directory.js';
import { createExchange } from './exchange.js';
import { type Inbox, InboxMessageType } from './inbox.js';
import {
  type CallerMessage,
  CompletionStyle,
  parseCall,
  parseCompletion,
  type ParsedCompletion,
} from './parse.js';
import { type CallAnswer, type CallRequest, type EntryRequest, type RequestEnd } from './request.js';

/** A running entry. */
export interface Entry {
  /** Drains the entry: stops listening for callers and resolves once no request is in flight. */
  leave(): Promise<void>;
  /** Returns the number of requests in flight. */
  inFlight(): number;
  /** Closes all connections and stops the node at once. */
  close(): void;
}

const IDLE_CHECK_MS = 10_000;
const CHANGE_ATTEMPTS = 8;

const accessStatus: Readonly<Record<AccessErrorKind, number>> = {
  [AccessErrorKind.NoKey]: 401,
  [AccessErrorKind.UnknownKey]: 401,
  [AccessErrorKind.Closed]: 403,
  [AccessErrorKind.TooManyRequests]: 429,
};

const completionPaths = new Map([
  ['/v1/completions', CompletionStyle.Text],
  ['/v1/chat/completions', CompletionStyle.Chat],
]);

/**
 * Reads a request body; resolves to undefined if it exceeds the limit or the connection closes before its
 * end.
 */
function readBody(request: IncomingMessage, limitBytes: number): Promise<Buffer | undefined> {
  return new Promise((resolve) => {
    const received = createByteBuffer();
    let length = 0;
    request.on('data', (chunk: Buffer) => {
      length += chunk.length;
      if (length <= limitBytes) {
        received.add(chunk);
      }
    });
    request.on('end', () => {
      resolve(length <= limitBytes ? received.bytes() : undefined);
    });
    request.on('close', () => {
      resolve(undefined);
    });
  });
}

/** Authenticates callers, parses their requests and sends the answers. */
class CallerPort {
  readonly #node: Node;
  readonly #settings: EntrySettings;
  readonly #context: EntryContext;
  readonly #location: Location;
  readonly #accounts: ReturnType<typeof createAccounts>;
  readonly #onRequest: () => void;
  #inFlight = 0;
  #onIdle: () => void = () => undefined;

  constructor(
    node: Node,
    settings: EntrySettings,
    context: EntryContext,
    location: Location,
    onRequest: () => void,
  ) {
    this.#node = node;
    this.#settings = settings;
    this.#context = context;
    this.#location = location;
    this.#accounts = createAccounts(node.holder);
    this.#onRequest = onRequest;
  }

  get inFlight(): number {
    return this.#inFlight;
  }

  /** Resolves once no request is in flight. */
  whenIdle(): Promise<void> {
    return new Promise((resolve) => {
      this.#onIdle = resolve;
      if (this.#inFlight === 0) {
        resolve();
      }
    });
  }

  /** Handles one HTTP request; it counts as in flight until its response closes. */
  async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const requestId = randomUUID();
    const receivedAtMs = this.#node.clock.now();
    request.on('error', () => undefined);
    response.on('error', () => undefined);
    const account = this.#accounts.enter(request.headers.authorization);
    if (account.isErr()) {
      request.resume();
      const findings = [{ place: 'header authorization', message: account.error }];
      sendFindings(response, requestId, accessStatus[account.error], findings);
      return;
    }
    this.#inFlight += 1;
    response.once('close', () => {
      this.#accounts.leave(account.value.name);
      this.#inFlight -= 1;
      if (this.#inFlight === 0) {
        this.#onIdle();
      }
    });
    const body = await readBody(request, this.#settings.maxBodyBytes);
    if (body === undefined) {
      const findings = [
        {
          place: 'body',
          message: `exceeds ${String(this.#settings.maxBodyBytes)} bytes or is incomplete`,
        },
      ];
      sendFindings(response, requestId, 413, findings);
      return;
    }
    const { method = 'GET', url: path = '/', headers } = request;
    this.#dispatch(
      { requestId, method, path, headers, body, account: account.value, receivedAtMs },
      response,
    );
  }

  #dispatch(message: CallerMessage, response: ServerResponse): void {
    const { requestId, method, path } = message;
    if (!this.#node.isReady()) {
      sendOutcome(response, requestId, {
        outcome: Outcome.NotRun,
        reason: Reason.NotReady,
        retryAfterMs: 1_000,
      });
      return;
    }
    this.#onRequest();
    const style = completionPaths.get(path);
    if (style !== undefined && method === 'POST') {
      const parsed = parseCompletion(message, style, this.#node.holder.current(), this.#settings);
      if (parsed.isErr()) {
        sendFindings(response, requestId, 400, parsed.error);
      } else if (this.#checkDeclared(parsed.value.request, response)) {
        this.#startCompletion(parsed.value, response, message.receivedAtMs);
      }
    } else if (path.startsWith('/services/')) {
      const parsed = parseCall(message, this.#node.holder.current());
      if (parsed.isErr()) {
        sendFindings(response, requestId, 400, parsed.error);
      } else if (this.#checkDeclared(parsed.value, response)) {
        this.#startCall(parsed.value, response);
      }
    } else {
      sendFindings(response, requestId, 404, [{ place: 'path', message: `${method} ${path} is not served` }]);
    }
  }

  /** Returns whether any server is declared for the request's target; answers 404 if none is. */
  #checkDeclared(request: EntryRequest, response: ServerResponse): boolean {
    const isDeclared = this.#context.directory.isDeclared(request.kind, request.target);
    if (!isDeclared) {
      const message = `no server is declared for the ${request.kind} ${request.target}`;
      sendFindings(response, request.requestId, 404, [{ place: request.kind, message }]);
    }
    return isDeclared;
  }

  /**
   * Creates the inbox of a request, which is notified if the caller disconnects before the answer is
   * complete.
   */
  #openInbox(response: ServerResponse): Inbox {
    const inbox: Inbox = createChannel();
    response.once('close', () => {
      if (!response.writableFinished) {
        inbox.send({ type: InboxMessageType.CallerGone });
      }
    });
    return inbox;
  }

  #startCompletion(parsed: ParsedCompletion, response: ServerResponse, receivedAtMs: number): void {
    const { request, style, isStreamed } = parsed;
    const inbox = this.#openInbox(response);
    const create = isStreamed ? createStreamedAnswer : createBufferedAnswer;
    const answer = create(response, request, style);
    const observe = this.#createTokenObserver(request.promptTokens, request, receivedAtMs);
    const onTokens = (tokens: readonly string[]): void => {
      observe(tokens.length);
      answer.push(tokens);
    };
    const finish = (end: RequestEnd): void => {
      answer.end(end);
      this.#record(request, end);
    };
    const serve = serveCompletion.bind(undefined, this.#context, this.#location, request, inbox, onTokens);
    startProcess(function* () {
      finish(yield* serve());
    });
  }

  #startCall(request: CallRequest, response: ServerResponse): void {
    const inbox = this.#openInbox(response);
    let answer: CallAnswer | undefined;
    const onAnswer = (received: CallAnswer): void => {
      answer = received;
    };
    const finish = (end: RequestEnd): void => {
      if (end.outcome === Outcome.Complete && answer !== undefined) {
        sendCallAnswer(response, request.requestId, answer);
      } else {
        sendOutcome(response, request.requestId, end);
      }
      this.#record(request, end);
    };
    const serve = serveCall.bind(undefined, this.#context, this.#location, request, inbox, onAnswer);
    startProcess(function* () {
      finish(yield* serve());
    });
  }

  /** Returns a function that records the time to the first token and the time between later tokens. */
  #createTokenObserver(
    promptTokens: number,
    request: EntryRequest,
    receivedAtMs: number,
  ): (tokens: number) => void {
    const { clock, metrics } = this.#node;
    let lastAtMs: number | undefined;
    return (tokens) => {
      const nowMs = clock.now();
      if (lastAtMs === undefined) {
        metrics.observeFirstToken(promptTokens, request.rank, nowMs - receivedAtMs);
      } else {
        metrics.observeTokenInterval(request.rank, (nowMs - lastAtMs) / Math.max(1, tokens));
      }
      lastAtMs = nowMs;
    };
  }

  /** Counts the outcome of a request and logs it as a decision. */
  #record(request: EntryRequest, end: RequestEnd): void {
    this.#node.metrics.countOutcome(end.outcome, request.rank);
    const { requestId, account, rank, target } = request;
    this.#node.logger.decision({
      decision: DecisionKind.Answer,
      request: requestId,
      fields: { account, rank, target, outcome: end.outcome, reason: end.reason },
    });
  }
}

function listen(server: Server, address: string): Promise<void> {
  const { host, port } = parseAddress(address);
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      resolve();
    });
  });
}

/**
 * Starts an entry.
 *
 * @param settings - settings of the process
 * @param entrySettings - the table `entry` of these settings
 * @param clock - clock of the process
 * @returns resolves to the entry once it listens for callers
 */
export async function startEntry(
  settings: Settings,
  entrySettings: EntrySettings,
  clock: Clock,
): Promise<Entry> {
  const node = createNode({ settings, role: NodeRole.Entry, clock });
  const directory = createDirectory(node.holder, node.hosts, clock);
  const exchange = createExchange(node.pool, directory, clock, entrySettings.probeTimeoutMs);
  let budget = initialRetryBudget;
  const context: EntryContext = {
    clock,
    random: node.random,
    logger: node.logger,
    metrics: node.metrics,
    settings: entrySettings,
    directory,
    exchange,
    bindings: createBindings(node.store, clock, settings.platform.storeTimeoutMs),
    mayRetry: () => {
      const next = withdrawRetryCredit(budget);
      budget = next ?? budget;
      return next !== undefined;
    },
  };
  const { dataCentre, region } = settings.node;
  const port = new CallerPort(node, entrySettings, context, { dataCentre, region }, () => {
    budget = depositRetryCredit(budget);
  });
  const operator = createConfigurationClient({
    store: node.store,
    timeoutMs: settings.platform.storeTimeoutMs,
    attempts: CHANGE_ATTEMPTS,
    wallClock: Date.now,
  });
  await node.listen({
    status: () => ({ inFlight: port.inFlight, ejected: directory.ejectedCount(), links: node.pool.size() }),
    onLink: exchange.addLink,
    onFrame: exchange.handle,
    administer: createAdministrationHandler({ operator, holder: node.holder, logger: node.logger }),
  });

  const server = createServer({ requestTimeout: entrySettings.receiveTimeoutMs }, (request, response) => {
    void port.handle(request, response);
  });
  await listen(server, entrySettings.callerAddress);

  let cancelIdleCheck = (): void => undefined;
  const closeIdle = (): void => {
    node.pool.closeIdle(clock.now() - settings.links.idleMs, exchange.isBusy);
    cancelIdleCheck = clock.after(IDLE_CHECK_MS, closeIdle);
  };
  closeIdle();

  return {
    inFlight: () => port.inFlight,
    leave: async () => {
      node.logger.decision({
        decision: DecisionKind.Leave,
        request: '',
        fields: { inFlight: port.inFlight },
      });
      server.close();
      server.closeIdleConnections();
      await port.whenIdle();
    },
    close: () => {
      cancelIdleCheck();
      server.close();
      server.closeAllConnections();
      node.close();
    },
  };
}
