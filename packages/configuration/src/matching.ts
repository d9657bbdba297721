/** How requests are matched with the entries of the document: keys, ranks and calls. The check of a document uses the same functions. */
import { type Rank } from '@toucanbend/core';
import {
  type AccountConfiguration,
  type OperatorConfiguration,
  type RankConfiguration,
  type ServiceConfiguration,
} from './document.js';

/** Limits of requests of a rank that is not declared, in milliseconds: wide, since nothing is known of their targets. */
const UNDECLARED_RANK = { deadlineMs: 60_000, firstTokenTargetMs: 10_000 } as const;

/**
 * Indexes accounts by their keys.
 *
 * @param accounts - the accounts
 * @returns the accounts by key hash; the last one that lists a key has it
 */
export function accountsByKeyHash(
  accounts: readonly AccountConfiguration[],
): ReadonlyMap<string, AccountConfiguration> {
  return new Map(accounts.flatMap((account) => account.keyHashes.map((hash) => [hash, account] as const)));
}

/**
 * Finds the operator who has a key.
 *
 * @param operators - the operators
 * @param keyHash - SHA-256 of the key, as lowercase hexadecimal digits
 * @returns the first operator that lists the key; undefined if none does
 */
export function operatorOfKeyHash(
  operators: readonly OperatorConfiguration[],
  keyHash: string,
): OperatorConfiguration | undefined {
  return operators.find((operator) => operator.keyHashes.includes(keyHash));
}

/**
 * Returns the limits of requests of a rank.
 *
 * @param ranks - the declared ranks
 * @param rank - the rank
 * @returns its limits in milliseconds; defaults if it is not declared
 */
export function rankLimits(
  ranks: readonly RankConfiguration[],
  rank: Rank,
): Pick<RankConfiguration, 'deadlineMs' | 'firstTokenTargetMs'> {
  return ranks.find(({ name }) => name === rank) ?? UNDECLARED_RANK;
}

/**
 * Returns whether a call must not be repeated.
 *
 * @param service - the service; undefined if it is not declared
 * @param method - HTTP method of the call
 * @param path - path of the call; its query is not compared
 * @returns whether the service lists the call; true for a service that is not declared
 */
export function isNonIdempotentCall(
  service: ServiceConfiguration | undefined,
  method: string,
  path: string,
): boolean {
  const plainPath = path.split('?')[0] ?? path;
  return service?.nonIdempotent.includes(`${method} ${plainPath}`) ?? true;
}
