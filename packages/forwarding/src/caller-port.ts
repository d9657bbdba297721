/** The HTTP server for callers: reads requests, checks them against the catalogue and starts their processes. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { type AddressInfo, Server as NetServer, type Socket } from 'node:net';
import { type Channel, startProcess } from '@toucanbend/channel';
import { Outcome } from '@toucanbend/core';
import { DecisionKind } from '@toucanbend/observability';
import { type Catalogue } from '@toucanbend/registry';
import { type CallerAnswer, createCallerAnswer, EndReason, type RequestEnd } from './caller-answer.js';
import { createCallerConnections, type RequestTurn } from './caller-connections.js';
import { type CallerRequest } from './caller-request.js';
import { type ForwardingContext } from './context.js';
import { type CallerHead } from './dialect.js';
import { LEAVING_RETRY_MS } from './drain-limit.js';
import { createForwardInbox, type ForwardMessage, ForwardMessageType } from './forward-message.js';
import { forwardRequest, type ForwardResult } from './forward.js';
import { answerLogFields } from './log-fields.js';
import { admitRequest } from './admission.js';
import { createAnswerMemory } from './answer-memory.js';
import { createBodyMemory } from './body-memory.js';
import { createBodyReader } from './body-reader.js';
import { isIncompleteInput, reasonOfClientError, statusOfClientError } from './client-error.js';
import { limitConnections, MAX_CALLER_CONNECTIONS } from './connection-limits.js';
import { endToEndHeaders } from './headers.js';
import { isOverloaded } from './overload.js';
import { acceptPendingConnections, readPendingInput } from './pending-input.js';

/** The HTTP server for callers. */
export interface CallerPort {
  /**
   * Starts listening.
   *
   * @param host - address to listen on
   * @param port - port to listen on; 0 for any free port
   * @returns the port on which the server listens
   */
  listen(host: string, port: number): Promise<number>;
  /** Returns the number of requests that are being read or are in flight. */
  inFlight(): number;
  /** Returns the number of connections that are in use, also by a request of which only a part, or nothing, has arrived. */
  busyConnections(): number;
  /** Returns the number of connections that have been accepted. */
  acceptedConnections(): number;
  /** Applies the limits of a catalogue. */
  applyLimits(catalogue: Catalogue): void;
  /** Limits the time of the requests, by {@link ForwardingContext.answersUntilMs}. */
  startDraining(): void;
  /**
   * Accepts the connections that are established and reads the input that has arrived; then accepts no more connections, and
   * closes idle ones.
   *
   * @returns resolves when the port no longer listens
   */
  stopListening(): Promise<void>;
  /** Stops listening and closes all connections. */
  close(): void;
}

/** Interval at which Node checks for connections that exceed the header timeout, in milliseconds. */
const HEAD_CHECK_INTERVAL_MS = 500;
/** Limit on the head of a request in bytes; it applies from the start, when no catalogue is known yet. */
const MAX_HEAD_BYTES = 65_536;
/** Retry delay given by an entry without configuration, in milliseconds: about the time needed to read one. */
const NO_CONFIGURATION_RETRY_MS = 500;

/**
 * Longest time that a request waits for the first configuration, in milliseconds. A process that has just started reads it
 * in less, while a rejected caller would retry later than that.
 */
const CONFIGURATION_WAIT_MS = 400;

/** Retry delay given by an overloaded entry, in milliseconds; the caller retries at another entry. */
const OVERLOADED_RETRY_MS = 20;

/** Paths that can be sent on: Node's parser accepts a tab and a form feed, which its client rejects with an exception. */
const FORWARDABLE_PATH = /^[\x21-\xff]+$/;

const rejectionRetryAfterMs: Partial<Record<EndReason, number>> = {
  [EndReason.NoConfiguration]: NO_CONFIGURATION_RETRY_MS,
  [EndReason.Leaving]: LEAVING_RETRY_MS,
  [EndReason.Overloaded]: OVERLOADED_RETRY_MS,
};

const DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024;
/** Longest time that a body may take, in milliseconds, if the caller does not state that it waits less long. */
const MAX_BODY_TIME_MS = 60_000;

/** Reads requests and starts their processes. */
class RequestReader {
  readonly #context: ForwardingContext;
  readonly #inboxes = new Set<Channel<ForwardMessage>>();
  readonly #bodies;
  readonly #memory = createAnswerMemory();
  readonly #bodyMemory = createBodyMemory();
  readonly #closeAfter: (response: ServerResponse) => void;

  constructor(context: ForwardingContext, closeAfter: (response: ServerResponse) => void) {
    this.#context = context;
    this.#closeAfter = closeAfter;
    this.#bodies = createBodyReader(context.clock);
  }

  startDraining(): void {
    const { clock, answersUntilMs } = this.#context;
    this.#inboxes.forEach((inbox) => inbox.send({ type: ForwardMessageType.Draining }));
    clock.after(answersUntilMs() - clock.now(), () => {
      this.#bodies.abandon();
    });
  }

  /** Ends a request whose body cannot arrive completely, so that it gets an answer and its connection is closed. */
  failBody(message: IncomingMessage, reason: EndReason): void {
    this.#bodies.fail(message, reason);
  }

  async handle(
    message: IncomingMessage,
    response: ServerResponse,
    turn: RequestTurn,
    isLast: () => boolean,
  ): Promise<void> {
    const isClosing = (): boolean => this.#context.isDraining() && isLast();
    const answer = createCallerAnswer(response, isClosing, this.#memory.open());
    try {
      await this.#read(message, response, answer, turn);
    } catch (error) {
      // The process of the request has not been started, so the request has not run.
      this.#failInternally('', -1, answer, Outcome.NotRun, error);
    }
  }

  async #read(
    message: IncomingMessage,
    response: ServerResponse,
    answer: CallerAnswer,
    { whenEarlierEnded, whenEnded }: RequestTurn,
  ): Promise<void> {
    const receivedAtMs = this.#context.clock.now();
    const head = this.#context.dialect.readCaller(message.headers);
    response.on('error', () => undefined);
    message.on('error', () => undefined);
    const limits = this.#context.registry().catalogue?.limits;
    const bodyMemory = this.#bodyMemory.open();
    void whenEnded.then(bodyMemory.close.bind(bodyMemory));
    const bodyTimeoutMs = Math.min(MAX_BODY_TIME_MS, head.callerTimeoutMs ?? MAX_BODY_TIME_MS);
    const body = await this.#bodies.read(
      message,
      limits?.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES,
      bodyTimeoutMs,
      bodyMemory,
    );
    if (typeof body === 'string') {
      this.#closeAfter(response);
      this.#reject(head, answer, body);
      return;
    }
    await whenEarlierEnded;
    await this.#context.waitForConfiguration(CONFIGURATION_WAIT_MS);
    const inputDelayMs = await readPendingInput(this.#context.clock);
    if (message.socket.readableEnded || message.socket.destroyed || response.destroyed) {
      this.#reject(head, answer, EndReason.CallerGone);
      return;
    }
    if (!this.#context.acceptsRequests()) {
      this.#reject(head, answer, EndReason.Leaving);
      return;
    }
    const path = message.url ?? '/';
    if (!FORWARDABLE_PATH.test(path)) {
      this.#reject(head, answer, EndReason.BadRequest);
      return;
    }
    const host = message.headers.host ?? '';
    const admission = admitRequest(
      this.#context.registry().catalogue,
      host,
      path.split('?')[0] ?? '/',
      head,
      this.#context.random.fraction(),
    );
    if (admission.rejected !== undefined) {
      this.#reject(head, answer, admission.rejected);
      return;
    }
    const { route } = admission;
    if (isOverloaded(inputDelayMs, route.targetMs)) {
      this.#reject(head, answer, EndReason.Overloaded, { inputDelayMs: Math.round(inputDelayMs) });
      return;
    }
    const timeoutMs = Math.min(route.timeoutMs, head.callerTimeoutMs ?? route.timeoutMs);
    this.#start(message, response, answer, {
      ...admission,
      head,
      method: message.method ?? 'GET',
      host,
      path,
      headers: endToEndHeaders(message.rawHeaders, message.headers),
      body,
      receivedAtMs,
      inputDelayMs,
      deadlineAtMs: receivedAtMs + timeoutMs,
    });
  }

  #start(
    message: IncomingMessage,
    response: ServerResponse,
    answer: CallerAnswer,
    request: CallerRequest,
  ): void {
    const inbox = createForwardInbox();
    this.#inboxes.add(inbox);
    const { socket } = message;
    const sendCallerGone = (): void => {
      if (!response.writableFinished) {
        inbox.send({ type: ForwardMessageType.CallerGone });
      }
    };
    // The response closes only some turns of the event loop after the end of the caller's input.
    socket.once('end', sendCallerGone);
    response.once('close', () => {
      socket.off('end', sendCallerGone);
      this.#inboxes.delete(inbox);
      sendCallerGone();
    });
    const serve = forwardRequest.bind(undefined, this.#context, request, answer, inbox);
    const { head, rank } = request;
    const record = (result: ForwardResult): void => {
      this.#record(head.requestId, rank, result.end, answerLogFields(request, result.timing));
    };
    // Its attempts may have run.
    const fail = this.#failInternally.bind(this, head.requestId, rank, answer, Outcome.Unknown);
    startProcess(function* () {
      try {
        record(yield* serve());
      } catch (error) {
        fail(error);
      }
    });
  }

  /** Ends a request that caused an exception. */
  #failInternally(
    requestId: string,
    rank: number,
    answer: CallerAnswer,
    outcome: Outcome,
    error: unknown,
  ): void {
    const end = { outcome, reason: EndReason.InternalFault, retryAfterMs: 0 };
    const detail = error instanceof Error ? (error.stack ?? error.message) : String(error);
    this.#context.logger.error('request failed by a fault of this process', {
      request: requestId,
      error: detail,
    });
    answer.fail(end);
    this.#record(requestId, rank, end);
  }

  #reject(
    head: CallerHead,
    answer: CallerAnswer,
    reason: EndReason,
    details: Record<string, number> = {},
  ): void {
    const end = { outcome: Outcome.NotRun, reason, retryAfterMs: rejectionRetryAfterMs[reason] ?? 0 };
    answer.fail(end);
    this.#record(head.requestId, -1, end, details);
  }

  #record(
    requestId: string,
    rank: number,
    end: RequestEnd,
    details: Record<string, string | number> = {},
  ): void {
    this.#context.metrics.countEnd(rank, end.outcome, end.reason);
    this.#context.logger.decision({
      decision: DecisionKind.Answer,
      request: requestId,
      fields: { ...end, ...details, catalogue: this.#context.registry().catalogue?.version ?? 0 },
    });
  }
}

function listen(server: Server, host: string, port: number): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      resolve((server.address() as AddressInfo).port);
    });
  });
}

/**
 * Creates the HTTP server for callers.
 *
 * @param context - the state that all requests share
 * @returns the server, which does not listen yet
 */
export function createCallerPort(context: ForwardingContext): CallerPort {
  const connections = createCallerConnections(context.clock);
  const server = createServer(
    {
      maxHeaderSize: MAX_HEAD_BYTES,
      connectionsCheckingInterval: HEAD_CHECK_INTERVAL_MS,
      keepAlive: true,
      noDelay: true,
    },
    (message, response) => {
      const turn = connections.received(message, response);
      void reader.handle(message, response, turn, () => connections.isLast(message));
    },
  );
  const limited = limitConnections(server, MAX_CALLER_CONNECTIONS, (cause) => {
    context.logger.warn('connection closed by a limit', { cause });
  });
  const reader = new RequestReader(context, limited.closeAfter);
  // With this listener, Node leaves it to the listener to close the connection.
  server.on('timeout', (socket: Socket) => {
    void connections.expired(socket);
  });
  // Without this listener, Node puts its error in the place of the answer to a request in flight.
  server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
    if (isIncompleteInput(error)) {
      // The caller has left. Answers that are complete are still delivered; others are cancelled by the end of its input.
      socket.end();
      return;
    }
    limited.stop(socket);
    const unread = connections.lastUnread(socket);
    if (unread !== undefined) {
      reader.failBody(unread, reasonOfClientError(error));
    }
    if (!connections.closeAfterAnswers(socket)) {
      const status = statusOfClientError(error);
      if (socket.writable) {
        socket.write(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
      }
      socket.destroy(error);
    }
  });
  server.on('connection', connections.accepted.bind(connections));
  return {
    listen: (host, port) => listen(server, host, port),
    inFlight: connections.requestCount.bind(connections),
    busyConnections: connections.busyCount.bind(connections),
    acceptedConnections: connections.acceptedCount.bind(connections),
    applyLimits: ({ limits }) => {
      server.headersTimeout = limits.headerTimeoutMs;
      server.keepAliveTimeout = limits.idleTimeoutMs;
    },
    startDraining: reader.startDraining.bind(reader),
    stopListening: async () => {
      await acceptPendingConnections(server, context.clock);
      // The HTTP server's own method also closes connections whose answers are not sent completely.
      NetServer.prototype.close.call(server);
      connections.closeIdle();
    },
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}
