/** An attempt: one request to one backend server, on a connection of its own. */
import { request as httpRequest, type ClientRequest, type IncomingMessage } from 'node:http';
import { type Socket } from 'node:net';
import { type Clock } from '@toucanbend/core';
import { type AnswerHead, type Dialect, type RawHeaders } from './dialect.js';
import { endToEndHeaders, headersByName } from './headers.js';

/** How an attempt failed. */
export enum AttemptFailure {
  /** No connection was made, so that no byte of the request was sent. */
  NotSent = 'not_sent',
  /** The server says that it did not run the request. */
  NotRun = 'not_run',
  /** The connection or the answer broke off, or the answer is not this request's: it may have run. */
  InDoubt = 'in_doubt',
}

/** The head of a server's answer. */
export interface AnswerStart extends AnswerHead {
  readonly status: number;
  /** Headers that are passed on. */
  readonly headers: RawHeaders;
  /** Whether the answer says where it ends; else only the end of its connection does. */
  readonly isFramed: boolean;
}

/** What an attempt reports, in the order in which it happens. */
export type AttemptEvent =
  | { readonly type: AttemptEventType.Started; readonly start: AnswerStart }
  | { readonly type: AttemptEventType.Body; readonly chunk: Buffer }
  | { readonly type: AttemptEventType.Ended }
  | { readonly type: AttemptEventType.Failed; readonly failure: AttemptFailure; readonly detail: string };

/** The kinds of {@link AttemptEvent}. */
export enum AttemptEventType {
  Started = 'started',
  Body = 'body',
  /** The answer is whole. */
  Ended = 'ended',
  Failed = 'failed',
}

/** What an attempt sends, and where. */
export interface AttemptOptions {
  readonly host: string;
  readonly port: number;
  readonly method: string;
  readonly path: string;
  readonly headers: RawHeaders;
  readonly body: Buffer;
  readonly requestId: string;
  /** Longest time for a connection, in milliseconds. */
  readonly connectTimeoutMs: number;
  readonly clock: Clock;
  readonly dialect: Dialect;
  readonly report: (event: AttemptEvent) => void;
}

/** A running attempt. */
export interface Attempt {
  /** Whether a connection was made, so that the server may have the request. */
  isSent(): boolean;
  /** Ends the attempt; nothing is reported any more. */
  cancel(): void;
}

/** Longest head of an answer in bytes, with interim responses and blank lines before it. */
const MAX_HEAD_BYTES = 64 * 1024;

/** Statuses whose answers have no body (RFC 9112, section 6.3). */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

function methodHasBody(options: AttemptOptions): boolean {
  return options.body.length > 0 || options.method === 'POST' || options.method === 'PUT';
}

function readStart(options: AttemptOptions, message: IncomingMessage): AnswerStart {
  const status = message.statusCode ?? 0;
  const head = options.dialect.readAnswer(status, message.headers);
  const { headers, rawHeaders } = message;
  const isFramed =
    headers['content-length'] !== undefined ||
    headers['transfer-encoding'] !== undefined ||
    BODILESS_STATUSES.has(status);
  return { ...head, status, headers: endToEndHeaders(rawHeaders, headers), isFramed };
}

/** Reports on one attempt: what comes after its end is dropped. */
class AttemptReporter {
  readonly #options: AttemptOptions;
  #isOver = false;
  isSent = false;
  hasHead = false;

  constructor(options: AttemptOptions) {
    this.#options = options;
  }

  get isOver(): boolean {
    return this.#isOver;
  }

  report(event: AttemptEvent): void {
    if (!this.#isOver) {
      this.#isOver = event.type === AttemptEventType.Ended || event.type === AttemptEventType.Failed;
      this.#options.report(event);
    }
  }

  fail(failure: AttemptFailure, detail: string): void {
    this.report({ type: AttemptEventType.Failed, failure, detail });
  }

  breakOff(detail: string): void {
    this.fail(this.isSent ? AttemptFailure.InDoubt : AttemptFailure.NotSent, detail);
  }

  mute(): void {
    this.#isOver = true;
  }
}

/** Reports what arrives in one read of the connection as one piece, however many chunks a server makes of it. */
function gatherBody(reporter: AttemptReporter): { add: (chunk: Buffer) => void; flush: () => void } {
  let chunks: Buffer[] = [];
  const flush = (): void => {
    const gathered = chunks;
    chunks = [];
    const [only] = gathered;
    if (only !== undefined) {
      const chunk = gathered.length === 1 ? only : Buffer.concat(gathered);
      reporter.report({ type: AttemptEventType.Body, chunk });
    }
  };
  return {
    add: (chunk) => {
      chunks.push(chunk);
      if (chunks.length === 1) {
        queueMicrotask(flush);
      }
    },
    flush,
  };
}

function followAnswer(
  options: AttemptOptions,
  reporter: AttemptReporter,
  outgoing: ClientRequest,
  message: IncomingMessage,
): void {
  const start = readStart(options, message);
  const body = gatherBody(reporter);
  message.on('error', (error) => {
    body.flush();
    reporter.breakOff(`answer broke off: ${error.message}`);
  });
  if (start.isNotRun) {
    reporter.fail(AttemptFailure.NotRun, `status ${String(start.status)}`);
    message.resume();
    return;
  }
  if (start.requestId !== options.requestId) {
    reporter.breakOff('answer of another request');
    outgoing.destroy();
    return;
  }
  reporter.report({ type: AttemptEventType.Started, start });
  message.on('data', body.add);
  message.on('end', () => {
    body.flush();
    if (message.complete) {
      reporter.report({ type: AttemptEventType.Ended });
    }
  });
  message.on('close', () => {
    body.flush();
    reporter.breakOff('answer ended early');
  });
}

/** Ends an attempt whose server sends interim responses or blank lines without end. */
function boundHead(reporter: AttemptReporter, outgoing: ClientRequest, socket: Socket): void {
  let received = 0;
  socket.on('data', (chunk: Buffer) => {
    received += reporter.hasHead ? 0 : chunk.length;
    if (!reporter.hasHead && received > MAX_HEAD_BYTES) {
      reporter.breakOff('head beyond its longest length');
      outgoing.destroy();
    }
  });
}

/**
 * Starts an attempt.
 *
 * @param options - what is sent, where, and who is told
 * @returns the attempt
 */
export function startAttempt(options: AttemptOptions): Attempt {
  const reporter = new AttemptReporter(options);
  const headers = headersByName(options.headers);
  if (methodHasBody(options)) {
    headers['Content-Length'] = String(options.body.length);
  }
  const outgoing = httpRequest({
    host: options.host,
    port: options.port,
    method: options.method,
    path: options.path,
    headers,
    agent: false,
  });
  const cancelTimer = options.clock.after(options.connectTimeoutMs, () => {
    if (!reporter.isSent) {
      reporter.fail(AttemptFailure.NotSent, 'no connection in time');
      outgoing.destroy();
    }
  });
  outgoing.on('socket', (socket) => {
    socket.setNoDelay(true);
    boundHead(reporter, outgoing, socket);
    socket.once('connect', () => {
      cancelTimer();
      reporter.isSent = true;
    });
  });
  outgoing.on('response', (message) => {
    reporter.hasHead = true;
    followAnswer(options, reporter, outgoing, message);
  });
  outgoing.on('error', (error) => {
    cancelTimer();
    reporter.breakOff(error.message);
  });
  outgoing.on('close', () => {
    cancelTimer();
    reporter.breakOff('connection closed');
  });
  outgoing.end(options.body);
  return {
    isSent: () => reporter.isSent,
    cancel: () => {
      cancelTimer();
      reporter.mute();
      outgoing.destroy();
    },
  };
}
