/** Execution tokens of a side process: wraps the immutable token table and supplies the clock. */
import { type Clock } from '@toucanbend/core';
import {
  createExecutionTable,
  type ExecutionTable,
  expireTokens,
  finishToken,
  mintToken,
  retractToken,
  submitToken,
  type SubmitVerdict,
  voidToken,
} from '@toucanbend/scheduler';
import { TokenState } from '@toucanbend/wire';

/** Execution tokens of a side process. */
export interface ExecutionTokens {
  /** Mints a token that is voided if it is not submitted within the lifetime, in milliseconds, plus a margin. */
  mint(lifetimeMs: number): string;
  /** Checks a submitted token; a valid one becomes running. */
  submit(token: string): SubmitVerdict;
  /** Voids a token that has not been submitted, and returns its resulting state. */
  void(token: string): TokenState;
  /** Voids a running token whose call did not reach the backend server. */
  retract(token: string): void;
  /** Records that the call of a token has ended, and starts the token's retention period. */
  finish(token: string): void;
  /** Voids expired minted tokens, removes entries whose retention has expired, and returns the removed tokens. */
  expire(): string[];
  size(): number;
}

/** Time by which a minted token outlives the request that it was minted for, in milliseconds. */
const LIFETIME_MARGIN_MS = 5_000;

/**
 * Creates the execution tokens of a side process.
 *
 * @param incarnation - identifier of the process, which prefixes its tokens
 * @param clock - clock for lifetimes and retention
 * @param retentionMs - time for which finished tokens are retained, in milliseconds
 * @returns an empty set of tokens
 */
export function createExecutionTokens(
  incarnation: string,
  clock: Clock,
  retentionMs: number,
): ExecutionTokens {
  let table: ExecutionTable = createExecutionTable(incarnation);
  return {
    mint: (lifetimeMs) => {
      const minted = mintToken(table, clock.now() + lifetimeMs + LIFETIME_MARGIN_MS);
      table = minted.table;
      return minted.value;
    },
    submit: (token) => {
      const decided = submitToken(table, token, clock.now());
      table = decided.table;
      return decided.value;
    },
    void: (token) => {
      table = voidToken(table, token, clock.now());
      return (table.entries.get(token)?.state ?? TokenState.Unknown) as TokenState;
    },
    retract: (token) => {
      table = retractToken(table, token, clock.now());
    },
    finish: (token) => {
      table = finishToken(table, token, clock.now() + retentionMs);
    },
    expire: () => {
      const expired = expireTokens(table, clock.now());
      table = expired.table;
      return expired.value;
    },
    size: () => table.entries.size,
  };
}
