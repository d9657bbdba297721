/** Writes answers to callers, and maps the end of a request to its HTTP status. */
import { type ServerResponse } from 'node:http';
import { type ByteBuffer, createByteBuffer, Outcome } from '@toucanbend/core';
import { RejectionReason } from '@toucanbend/placement';
import { MAX_ANSWER_BYTES } from './answer-memory.js';
import { BODILESS_STATUSES } from './attempt.js';
import { type RawHeaders } from './dialect.js';
import { headersByName } from './headers.js';
import { type RequestAccount } from './request-memory.js';

/** The reason for the end of a request. */
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
  /** No server of the service accepts a request now. */
  Restricted = 'restricted',
  /** The engines have had no place to spare for a prompt that is too late to meet its target. */
  Crowded = 'crowded',
  AttemptsUsed = 'attempts_used',
  DeadlinePassed = 'deadline_passed',
  CallerGone = 'caller_gone',
  StreamBroken = 'stream_broken',
  Leaving = 'leaving',
  /** The prompt has a part that crashes servers. */
  Quarantined = 'quarantined',
  /** This process is too far behind with its input to serve the request in time. */
  Overloaded = 'overloaded',
  /** An unexpected exception while this process handled the request. */
  InternalFault = 'internal_fault',
}

const rejectionEnds: Readonly<Record<RejectionReason, EndReason>> = {
  [RejectionReason.NoServer]: EndReason.NoServer,
  [RejectionReason.TooLate]: EndReason.TooLate,
  [RejectionReason.BeyondMemory]: EndReason.BeyondMemory,
  [RejectionReason.Restricted]: EndReason.Restricted,
  [RejectionReason.Crowded]: EndReason.Crowded,
};

/**
 * Returns the reason for the end of a request that placement rejected.
 *
 * @param reason - why placement rejected it
 * @returns the reason for its end
 */
export function endReasonOf(reason: RejectionReason): EndReason {
  return rejectionEnds[reason];
}

/** The end of a request. */
export interface RequestEnd {
  readonly outcome: Outcome;
  readonly reason: EndReason;
  /** Retry delay given to the caller, in milliseconds; 0 if none is given. */
  readonly retryAfterMs: number;
}

/** Why a request ends without a server's answer, and the retry delay that is given if it did not run. */
export type EndCause = Pick<RequestEnd, 'reason' | 'retryAfterMs'>;

const MILLISECONDS_PER_SECOND = 1_000;

const rejectionStatus: Partial<Record<EndReason, number>> = {
  [EndReason.NoRoute]: 404,
  [EndReason.BadKey]: 401,
  [EndReason.BadRequest]: 400,
  [EndReason.BodyTooLong]: 413,
};

/**
 * Determines the HTTP status of a request that ends without a server's answer.
 *
 * @param end - the end of the request
 * @returns 4xx for an unknown route, a wrong key or an invalid request; 503 if the request did not run and never will;
 *   502 or 504 if it may have run
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

/** Status and headers of an answer that is forwarded. */
export interface AnswerHeadLine {
  readonly status: number;
  readonly headers: RawHeaders;
}

/**
 * The answer to one request of a caller. Its end is always marked by a length or by chunks, whatever marked that of the
 * server's answer: the operating system closes the connections of a process that ends in order, which would complete an
 * answer that has neither.
 */
export interface CallerAnswer {
  /** Whether an answer of a server has begun, so that no other one can take its place. */
  hasBegun(): boolean;
  /**
   * Sends the head of an answer whose body follows in pieces. A caller that cannot read chunks gets the answer with its
   * length when it is complete.
   */
  begin(head: AnswerHeadLine): void;
  write(bytes: Buffer): void;
  /**
   * Takes memory for a part of an answer that is held until it is complete; it is given back when the caller has read the
   * answer or its connection has closed.
   *
   * @returns false if there is none left
   */
  tryHold(bytes: number): boolean;
  /** Calls `handle` when the caller has room for more, at once if it has. */
  whenWritable(handle: () => void): void;
  /** Ends a complete answer. */
  end(): void;
  /** Sends a complete answer with its head and body. */
  send(head: AnswerHeadLine, body: Buffer): void;
  /**
   * Sends an error in place of a server's answer. If an answer has begun, closes the connection instead, in a way that
   * does not complete the answer.
   */
  fail(end: RequestEnd): void;
}

/** A stream to a caller that cannot read chunks, kept until its length is known. */
interface KeptStream {
  readonly head: AnswerHeadLine;
  readonly body: ByteBuffer;
}

/**
 * Creates the writer of the answer to one request.
 *
 * @param response - Node's response
 * @param isDraining - returns whether the process is draining, so that the connection is closed after the answer
 * @param memory - memory for what is held of the answer; closed with the response
 * @returns the answer, of which nothing has been sent
 */
export function createCallerAnswer(
  response: ServerResponse,
  isDraining: () => boolean,
  memory: RequestAccount,
): CallerAnswer {
  response.once('close', memory.close.bind(memory));
  let kept: KeptStream | undefined;
  let waiting: (() => void)[] = [];
  response.on('drain', () => {
    const handlers = waiting;
    waiting = [];
    handlers.forEach((handle) => {
      handle();
    });
  });
  const writeHead = (status: number, headers: RawHeaders, extra: Record<string, string>): void => {
    const closing = isDraining() ? { Connection: 'close' } : {};
    response.writeHead(status, { ...headersByName(headers), ...extra, ...closing });
  };
  const send = ({ status, headers }: AnswerHeadLine, body: Buffer): void => {
    // These have no body, so that a length would announce bytes that never follow, or deny those that a GET would get.
    const isBodiless = BODILESS_STATUSES.has(status) || response.req.method === 'HEAD';
    writeHead(status, headers, isBodiless ? {} : { 'Content-Length': String(body.length) });
    response.end(body);
  };
  return {
    hasBegun: () => response.headersSent || kept !== undefined,
    begin: (head) => {
      if (response.useChunkedEncodingByDefault) {
        writeHead(head.status, head.headers, {});
      } else {
        kept = { head, body: createByteBuffer() };
      }
    },
    write: (bytes) => {
      if (kept === undefined) {
        response.write(bytes);
        return;
      }
      if (kept.body.length() + bytes.length <= MAX_ANSWER_BYTES && memory.tryTake(bytes.length)) {
        kept.body.add(bytes);
      } else {
        response.destroy();
      }
    },
    tryHold: memory.tryTake.bind(memory),
    whenWritable: (handle) => {
      if (response.writableNeedDrain) {
        waiting.push(handle);
      } else {
        handle();
      }
    },
    end: () => {
      if (kept === undefined) {
        response.end();
      } else {
        send(kept.head, kept.body.bytes());
      }
    },
    send,
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
