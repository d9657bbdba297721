/** Answers to callers. */
import { type ServerResponse } from 'node:http';
import { Outcome } from '@toucanbend/core';
import { type RawHeaders } from './dialect.js';
import { headersByName } from './headers.js';

/** Why a request ends without a server's answer. */
export enum EndReason {
  Answered = 'answered',
  NoConfiguration = 'no_configuration',
  NoRoute = 'no_route',
  BadKey = 'bad_key',
  BadRequest = 'bad_request',
  BodyTooLong = 'body_too_long',
  NoServer = 'no_server',
  TooLate = 'too_late',
  BeyondMemory = 'beyond_memory',
  AttemptsUsed = 'attempts_used',
  DeadlinePassed = 'deadline_passed',
  CallerGone = 'caller_gone',
  StreamBroken = 'stream_broken',
  Leaving = 'leaving',
  /** An exception in this process. */
  InternalFault = 'internal_fault',
}

/** How a request ended. */
export interface RequestEnd {
  readonly outcome: Outcome;
  readonly reason: EndReason;
  /** When the caller may try again, in milliseconds; 0 where nothing is said. */
  readonly retryAfterMs: number;
}

const MILLISECONDS_PER_SECOND = 1_000;

const rejectionStatus: Partial<Record<EndReason, number>> = {
  [EndReason.NoRoute]: 404,
  [EndReason.BadKey]: 401,
  [EndReason.BadRequest]: 400,
  [EndReason.BodyTooLong]: 413,
};

/**
 * Gives the status of an end without a server's answer.
 *
 * @param end - how the request ended
 * @returns 503 for requests that did not run and never will, 502 or 504 for those that may have run
 */
export function statusOfEnd(end: RequestEnd): number {
  const rejected = rejectionStatus[end.reason];
  if (rejected !== undefined) {
    return rejected;
  }
  if (end.outcome === Outcome.NotRun) {
    return 503;
  }
  return end.reason === EndReason.DeadlinePassed ? 504 : 502;
}

/** Status and headers of an answer that is passed on. */
export interface AnswerHeadLine {
  readonly status: number;
  readonly headers: RawHeaders;
  readonly isFramed: boolean;
}

/** The answer to one request of a caller. */
export interface CallerAnswer {
  /** Whether a head was sent. */
  hasBegun(): boolean;
  /**
   * Sends a head; its body follows.
   *
   * @param head - status and headers; an answer that was not framed is passed on without framing, since nobody can
   *   tell whether it is whole
   */
  begin(head: AnswerHeadLine): void;
  write(bytes: Buffer): void;
  /** Ends an answer that is whole. */
  end(): void;
  /** Sends an answer at once. */
  send(head: AnswerHeadLine, body: Buffer): void;
  /** Answers without a server's answer; an answer that has begun is broken off instead. */
  fail(end: RequestEnd): void;
}

/**
 * Creates the answer to one request.
 *
 * @param response - Node's response
 * @param isLeaving - whether the process takes no further requests on the connection
 * @returns the answer, of which nothing was sent
 */
export function createCallerAnswer(response: ServerResponse, isLeaving: () => boolean): CallerAnswer {
  const writeHead = (status: number, headers: RawHeaders, extra: Record<string, string>): void => {
    const closing = isLeaving() ? { Connection: 'close' } : {};
    response.writeHead(status, { ...headersByName(headers), ...extra, ...closing });
  };
  const dropFraming = (head: AnswerHeadLine): void => {
    if (!head.isFramed) {
      response.shouldKeepAlive = false;
      response.removeHeader('Content-Length');
      response.removeHeader('Transfer-Encoding');
    }
  };
  return {
    hasBegun: () => response.headersSent,
    begin: (head) => {
      dropFraming(head);
      writeHead(head.status, head.headers, {});
    },
    write: (bytes) => {
      response.write(bytes);
    },
    end: () => {
      response.end();
    },
    send: (head, body) => {
      dropFraming(head);
      const length = head.isFramed ? { 'Content-Length': String(body.length) } : {};
      writeHead(head.status, head.headers, length);
      response.end(body);
    },
    fail: (end) => {
      if (response.headersSent) {
        response.destroy();
        return;
      }
      const retryAfter =
        end.retryAfterMs > 0
          ? { 'Retry-After': (end.retryAfterMs / MILLISECONDS_PER_SECOND).toFixed(3) }
          : {};
      const body = Buffer.from(`${JSON.stringify({ outcome: end.outcome, reason: end.reason })}\n`);
      writeHead(statusOfEnd(end), [], {
        'Content-Type': 'application/json',
        'Content-Length': String(body.length),
        ...retryAfter,
      });
      response.end(body);
    },
  };
}
