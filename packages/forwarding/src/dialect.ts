/** Interfaces to the headers of callers and backend servers, which differ between deployments. */
import { type IncomingHttpHeaders } from 'node:http';
import { type ServerNotice } from '@toucanbend/restrictions';

/** The properties of a prompt that its caller states in the headers. */
export interface PromptHead {
  readonly model: string;
  readonly promptTokens: number;
  readonly maxAnswerTokens: number;
  /** Number of tokens that the caller asked for at most; undefined if it stated none. */
  readonly answerTokenLimit: number | undefined;
  /** The caller's estimate of the answer's length; undefined if it gave none. */
  readonly expectedAnswerTokens: number | undefined;
  /** Ids of the parts that other prompts may have too, in order; the last part, the request's own, is not among them. */
  readonly sharedParts: readonly string[];
}

/** The decoded headers of a caller's request. */
export interface CallerHead {
  /** Id of this request; a caller that retries sends a new one. */
  readonly requestId: string;
  readonly key: string | undefined;
  /** The caller's timeout, in milliseconds; undefined if it set none. */
  readonly callerTimeoutMs: number | undefined;
  /** Id of the last event that the caller has received, if it resumes a stream. */
  readonly lastEventId: number | undefined;
  readonly prompt: PromptHead | undefined;
}

/** A backend server that prefills a part of the prompt. */
export interface AttemptHelper {
  readonly host: string;
  readonly port: number;
  /** Name of the memory reservation for the part; undefined if there is none. */
  readonly reservation: string | undefined;
}

/** The values that the headers of an attempt carry in addition to the caller's own headers. */
export interface AttemptHead {
  readonly timeLeftMs: number;
  /** Id of the server process that the request is meant for; a restarted server has another id. */
  readonly serverId: string;
  readonly account: string | undefined;
  /** Priority; 0 is the most urgent. */
  readonly rank: number;
  /** Id of the last event that was delivered, if a stream is resumed. */
  readonly lastEventId: number | undefined;
  readonly helpers: readonly AttemptHelper[];
}

/** The decoded headers of a server's answer. */
export interface AnswerHead {
  readonly requestId: string | undefined;
  /** Whether the answer carries a signature of the server. */
  readonly isSigned: boolean;
  /** Whether the server reports that it did not run the request and never will. */
  readonly isNotRun: boolean;
  /** Address (`host:port`) of the server because of which the request was not run; undefined if the answer names none. */
  readonly faultyAddress: string | undefined;
  /** What the server states about the requests that it accepts. */
  readonly notice: ServerNotice;
}

/** Header names and values in the order of transmission: names at even indices, values at odd ones. */
export type RawHeaders = readonly string[];

/** Decodes and encodes the headers of one deployment. */
export interface Dialect {
  readCaller(headers: IncomingHttpHeaders): CallerHead;
  /**
   * Builds the headers of an attempt.
   *
   * @param callerHeaders - the caller's headers without the hop-by-hop headers
   * @param attempt - the values to add
   * @returns all headers of the attempt except hop-by-hop headers
   */
  writeAttempt(callerHeaders: RawHeaders, attempt: AttemptHead): RawHeaders;
  readAnswer(status: number, headers: IncomingHttpHeaders): AnswerHead;
}
