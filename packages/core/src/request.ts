/** Types that describe a request from a caller to a backend server. */
import { type Rank } from './rank.js';

/** The kind of backend server that serves a request. */
export enum RequestKind {
  Model = 'model',
  Service = 'service',
}

/** The properties of a request that a side uses to predict its times and to schedule it. */
export interface WorkDescription {
  readonly kind: RequestKind;
  /** Name of the requested model or plain service. */
  readonly target: string;
  readonly rank: Rank;
  /** Name of the client account. */
  readonly account: string;
  /** Weight of the client account in fair-share scheduling. */
  readonly weight: number;
  readonly promptTokens: number;
  readonly maxTokens: number;
  /** Latest useful time of the first token, in milliseconds from now. */
  readonly firstTokenLimitMs: number;
  /** Hashes of prompt prefixes of increasing length, the shortest first. */
  readonly prefix: readonly number[];
}

/** The parts of an HTTP call to a plain service besides its body. */
export interface ServiceCall {
  readonly method: string;
  readonly path: string;
  readonly contentType: string;
}

/** Estimated number of characters per token. */
export const CHARACTERS_PER_TOKEN = 4;

/**
 * Estimates the length of a text in tokens.
 *
 * @param characters - length of the text in characters
 * @returns the estimated number of tokens, rounded up
 */
export function estimateTokens(characters: number): number {
  return Math.ceil(characters / CHARACTERS_PER_TOKEN);
}
