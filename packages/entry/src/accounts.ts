/** Authenticates callers by API key and limits the requests in flight of each client account. */
import { bearerKey, hashKey } from '@toucanbend/core';
import {
  type AccountConfiguration,
  accountsByKeyHash,
  type ConfigurationHolder,
} from '@toucanbend/configuration';
import { err, ok, type Result } from 'neverthrow';

/** Why a caller is denied access. */
export enum AccessErrorKind {
  NoKey = 'no_key',
  UnknownKey = 'unknown_key',
  Closed = 'closed',
  TooManyRequests = 'too_many_requests',
}

/** Authenticates callers and counts their requests in flight. */
export interface Accounts {
  /**
   * Authenticates a caller and counts a request in flight for its account.
   *
   * @param authorization - value of the `authorization` header
   * @returns the account, or why access is denied
   */
  enter(authorization: string | undefined): Result<AccountConfiguration, AccessErrorKind>;
  /** Ends a request that was counted by {@link Accounts.enter}. */
  leave(account: string): void;
}

/**
 * Creates the account registry of an entry.
 *
 * Keys are looked up by their SHA-256 hash, so the duration of a look-up leaks nothing about a key.
 *
 * @param holder - the configuration in force; the index of keys is rebuilt when it changes
 * @returns the account registry
 */
export function createAccounts(holder: ConfigurationHolder): Accounts {
  let byKeyHash: ReadonlyMap<string, AccountConfiguration> = new Map();
  const inFlight = new Map<string, number>();
  const rebuild = (): void => {
    const { accounts } = holder.current();
    byKeyHash = accountsByKeyHash(accounts);
  };
  holder.onChange(rebuild);
  rebuild();

  return {
    enter: (authorization) => {
      const key = bearerKey(authorization);
      if (key === undefined) {
        return err(AccessErrorKind.NoKey);
      }
      const account = byKeyHash.get(hashKey(key));
      if (account === undefined) {
        return err(AccessErrorKind.UnknownKey);
      }
      if (account.closed) {
        return err(AccessErrorKind.Closed);
      }
      const count = inFlight.get(account.name) ?? 0;
      if (count >= account.maxConcurrent) {
        return err(AccessErrorKind.TooManyRequests);
      }
      inFlight.set(account.name, count + 1);
      return ok(account);
    },
    leave: (account) => {
      const count = (inFlight.get(account) ?? 1) - 1;
      if (count > 0) {
        inFlight.set(account, count);
      } else {
        inFlight.delete(account);
      }
    },
  };
}
