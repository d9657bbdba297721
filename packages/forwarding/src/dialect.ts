/** What the forwarding needs to know of the headers that callers and backend servers speak. */
import { type IncomingHttpHeaders } from 'node:http';

/** A prompt as its caller describes it. */
export interface PromptHead {
  readonly model: string;
  readonly promptTokens: number;
  readonly maxAnswerTokens: number;
  /** The caller's estimate of the answer's length, where it gave one. */
  readonly expectedAnswerTokens: number | undefined;
}

/** What the head of a caller's request says. */
export interface CallerHead {
  /** Name of this request; a caller that tries again gives a new one. */
  readonly requestId: string;
  readonly key: string | undefined;
  /** How long the caller waits, in milliseconds. */
  readonly patienceMs: number | undefined;
  /** The last event that the caller has of the stream that it resumes. */
  readonly lastEventId: number | undefined;
  readonly prompt: PromptHead | undefined;
}

/** A server that prefills a part of the prompt. */
export interface AttemptHelper {
  readonly host: string;
  readonly port: number;
  /** Name of the memory that is set aside for the part; undefined where none is. */
  readonly reservation: string | undefined;
}

/** What the forwarding says to a server besides the caller's own headers. */
export interface AttemptHead {
  readonly timeLeftMs: number;
  /** The run of the server for which the request is meant. */
  readonly serverId: string;
  readonly account: string | undefined;
  /** Order of urgency: 0 is the most urgent. */
  readonly rank: number;
  /** The last event that was delivered, where a stream goes on. */
  readonly lastEventId: number | undefined;
  readonly helpers: readonly AttemptHelper[];
}

/** What the head of a server's answer says. */
export interface AnswerHead {
  readonly requestId: string | undefined;
  /** Whether the server vouches for the answer as its own. */
  readonly isSigned: boolean;
  /** Whether the server says that it did not run the request and never will. */
  readonly isNotRun: boolean;
}

/** Names and values as they travel: names at even places, values at odd ones. */
export type RawHeaders = readonly string[];

/** Translates between headers and what they say. */
export interface Dialect {
  readCaller(headers: IncomingHttpHeaders): CallerHead;
  /**
   * Builds the headers of an attempt.
   *
   * @param callerHeaders - headers of the caller without those that concern its connection
   * @param attempt - what is said besides
   * @returns all headers of the attempt but those that concern its connection
   */
  writeAttempt(callerHeaders: RawHeaders, attempt: AttemptHead): RawHeaders;
  readAnswer(status: number, headers: IncomingHttpHeaders): AnswerHead;
}
