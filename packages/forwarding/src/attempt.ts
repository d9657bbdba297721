/** An attempt: one HTTP request to one backend server, on a connection of its own. */
import { request as httpRequest, type ClientRequest, type IncomingMessage } from 'node:http';
import { type Clock, observeReset } from '@toucanbend/core';
import { type AnswerForm } from '@toucanbend/registry';
import { type ServerNotice } from '@toucanbend/restrictions';
import { createChunkLimit } from './chunk-limit.js';
import { type AnswerHead, type Dialect, type RawHeaders } from './dialect.js';
import { limitHeadSize } from './head-limit.js';
import { endToEndHeaders, headersByName } from './headers.js';
import { createReadLimit, type ReadLimit } from './read-limit.js';

/** How an attempt failed. */
export enum AttemptFailure {
  /** The connection was not established, so no byte of the request was sent. */
  NotSent = 'not_sent',
  /** The server reported that it did not run the request. */
  NotRun = 'not_run',
  /** The connection or the answer was interrupted, or the answer belongs to another request: the server may have run it. */
  InDoubt = 'in_doubt',
}

/** The head of a server's answer. */
export interface AnswerStart extends AnswerHead {
  readonly status: number;
  /** End-to-end headers, which are forwarded to the caller. */
  readonly headers: RawHeaders;
  /**
   * Whether the length, the chunked coding or the status of the answer determines where its body ends; if not, only the
   * close of the connection does.
   */
  readonly isFramed: boolean;
}

/** Why an attempt failed. */
export interface AttemptFault {
  readonly failure: AttemptFailure;
  readonly detail: string;
  /** Address of the server at fault, if the answer names one. */
  readonly faultyAddress?: string | undefined;
  /** Whether the connection was lost after it was established, as happens when the server crashes. */
  readonly isConnectionLost?: boolean;
}

/** The events of an attempt, reported in the order in which they occur. */
export type AttemptEvent =
  | { readonly type: AttemptEventType.Started; readonly start: AnswerStart }
  | { readonly type: AttemptEventType.Body; readonly chunk: Buffer }
  | { readonly type: AttemptEventType.Ended }
  | ({ readonly type: AttemptEventType.Failed } & AttemptFault);

/** The kinds of {@link AttemptEvent}. */
export enum AttemptEventType {
  Started = 'started',
  Body = 'body',
  /** The answer is complete. */
  Ended = 'ended',
  Failed = 'failed',
}

/** The request and the server of an attempt. */
export interface AttemptOptions {
  readonly host: string;
  readonly port: number;
  readonly method: string;
  readonly path: string;
  readonly headers: RawHeaders;
  readonly body: Buffer;
  readonly requestId: string;
  readonly form: AnswerForm;
  /** Connect timeout, in milliseconds. */
  readonly connectTimeoutMs: number;
  readonly clock: Clock;
  readonly dialect: Dialect;
  readonly report: (event: AttemptEvent) => void;
  /** Called with what the server states in the head of its answer, before the events of the answer. */
  readonly onNotice: (notice: ServerNotice) => void;
}

/** A running attempt. */
export interface Attempt {
  /** Whether the connection was established, so that the server may have received the request. */
  isSent(): boolean;
  /** Records that a piece of the answer was handled; what is unhandled is limited. */
  consumed(piece: Buffer): void;
  /** Whether the answer is not read since too much of it is unhandled. */
  isPaused(): boolean;
  /** Cancels the attempt and stops its reports. */
  cancel(): void;
}

/** Limit on the ids of answers in the log, in characters. */
const MAX_LOGGED_ID_LENGTH = 64;

/** Lowest status of an answer; Node's parser accepts lower ones, which no answer to a caller can have. */
const MIN_FINAL_STATUS = 200;

/** Statuses whose answers have no body (RFC 9112, section 6.3). */
export const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

function methodHasBody(options: AttemptOptions): boolean {
  return options.body.length > 0 || options.method === 'POST' || options.method === 'PUT';
}

function readAnswerStart(options: AttemptOptions, message: IncomingMessage): AnswerStart {
  const status = message.statusCode ?? 0;
  const head = options.dialect.readAnswer(status, message.headers);
  const { headers, rawHeaders } = message;
  const isFramed =
    headers['content-length'] !== undefined ||
    headers['transfer-encoding'] !== undefined ||
    BODILESS_STATUSES.has(status);
  return { ...head, status, headers: endToEndHeaders(rawHeaders, headers), isFramed };
}

/** Reports the events of one attempt; drops those that follow its end. */
class AttemptReporter {
  readonly #options: AttemptOptions;
  #isFinished = false;
  isSent = false;
  hasHead = false;
  /** Whether the server reset the connection. */
  isReset = (): boolean => false;

  constructor(options: AttemptOptions) {
    this.#options = options;
  }

  get isFinished(): boolean {
    return this.#isFinished;
  }

  report(event: AttemptEvent): void {
    if (!this.#isFinished) {
      this.#isFinished = event.type === AttemptEventType.Ended || event.type === AttemptEventType.Failed;
      this.#options.report(event);
    }
  }

  fail(failure: AttemptFailure, detail: string, faultyAddress?: string): void {
    this.report({ type: AttemptEventType.Failed, failure, detail, faultyAddress });
  }

  failInterrupted(detail: string): void {
    this.fail(this.isSent ? AttemptFailure.InDoubt : AttemptFailure.NotSent, detail);
  }

  failDisconnected(detail: string): void {
    const failure = this.isSent ? AttemptFailure.InDoubt : AttemptFailure.NotSent;
    this.report({ type: AttemptEventType.Failed, failure, detail, isConnectionLost: this.isSent });
  }

  stopReporting(): void {
    this.#isFinished = true;
  }
}

/** Reports all chunks that arrive in one read of the connection as one event. */
function coalesceBody(
  reporter: AttemptReporter,
  limit: ReadLimit,
): { add: (chunk: Buffer) => void; flush: () => void } {
  let chunks: Buffer[] = [];
  const flush = (): void => {
    const pending = chunks;
    chunks = [];
    const [only] = pending;
    if (only !== undefined) {
      const chunk = pending.length === 1 ? only : Buffer.concat(pending);
      limit.received(chunk);
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

function handleResponse(
  options: AttemptOptions,
  reporter: AttemptReporter,
  outgoing: ClientRequest,
  message: IncomingMessage,
  limit: ReadLimit,
): void {
  const start = readAnswerStart(options, message);
  const body = coalesceBody(reporter, limit);
  message.on('error', (error) => {
    body.flush();
    reporter.failDisconnected(`answer interrupted: ${error.message}`);
  });
  if (start.requestId !== options.requestId) {
    const id = start.requestId?.slice(0, MAX_LOGGED_ID_LENGTH) ?? 'none';
    reporter.failInterrupted(
      `answer with status ${String(start.status)} has the id of another request: ${id}`,
    );
    outgoing.destroy();
    return;
  }
  if (start.status < MIN_FINAL_STATUS) {
    reporter.failInterrupted(`answer has the invalid status ${String(start.status)}`);
    outgoing.destroy();
    return;
  }
  if (!reporter.isFinished) {
    options.onNotice(start.notice);
  }
  if (start.isNotRun) {
    reporter.fail(AttemptFailure.NotRun, `status ${String(start.status)}`, start.faultyAddress);
    message.resume();
    return;
  }
  reporter.report({ type: AttemptEventType.Started, start });
  const chunkLimit = createChunkLimit(options.form);
  message.on('data', (chunk: Buffer) => {
    if (chunkLimit.isExceededBy(chunk.length)) {
      reporter.failInterrupted('answer in too many short chunks');
      outgoing.destroy();
      return;
    }
    body.add(chunk);
  });
  message.on('end', () => {
    body.flush();
    if (message.complete && (start.isFramed || !reporter.isReset())) {
      reporter.report({ type: AttemptEventType.Ended });
    }
  });
  message.on('close', () => {
    body.flush();
    reporter.failDisconnected('connection closed before the end of the answer');
  });
}

/**
 * Starts an attempt.
 *
 * @param options - the request, the server, and the callback for events
 * @returns the running attempt
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
      reporter.fail(AttemptFailure.NotSent, 'connection timed out');
      outgoing.destroy();
    }
  });
  let stopWatchingHead = (): void => undefined;
  outgoing.on('socket', (socket) => {
    socket.setNoDelay(true);
    stopWatchingHead = limitHeadSize(socket, () => {
      reporter.failInterrupted('head of the answer too long');
      outgoing.destroy();
    });
    reporter.isReset = observeReset(socket);
    socket.once('connect', () => {
      cancelTimer();
      reporter.isSent = true;
    });
  });
  let answer: IncomingMessage | undefined;
  const limit = createReadLimit(
    () => answer?.pause(),
    () => answer?.resume(),
  );
  outgoing.on('response', (message) => {
    stopWatchingHead();
    reporter.hasHead = true;
    answer = message;
    handleResponse(options, reporter, outgoing, message, limit);
  });
  outgoing.on('error', (error) => {
    cancelTimer();
    reporter.failDisconnected(error.message);
  });
  outgoing.on('close', () => {
    cancelTimer();
    // Once there is a head, the answer reports its own end, which may still wait to be read.
    if (!reporter.hasHead) {
      reporter.failDisconnected('connection closed');
    }
  });
  outgoing.end(options.body);
  return {
    isSent: () => reporter.isSent,
    consumed: limit.consumed.bind(limit),
    isPaused: limit.isPaused.bind(limit),
    cancel: () => {
      cancelTimer();
      reporter.stopReporting();
      outgoing.destroy();
    },
  };
}
