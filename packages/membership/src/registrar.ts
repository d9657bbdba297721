/** Keeps an entry registered in the store under a lease, so that other entries can discover it. */
import { type Clock } from '@toucanbend/core';
import { type Logger } from '@toucanbend/observability';
import { type EntryMember, type RegistrySource, SourceErrorKind } from '@toucanbend/registry';
import { type StoreHealth } from './store-health.js';

/** Registers an entry and renews its lease. */
export interface Registrar {
  start(): void;
  /** Stops renewing the lease and releases it. */
  stop(): void;
}

/** Lifetime of a registration without renewal, in milliseconds; several failed renewals fit into it. */
const LEASE_TTL_MS = 10_000;
/**
 * Interval between renewals, in milliseconds. Renewals are the cheapest calls to the store and also serve as its health
 * check: an outage must be detected before registrations of servers expire, which is after three of their heartbeats.
 */
const RENEWAL_INTERVAL_MS = 2_000;
/** Delay before a failed call is repeated, in milliseconds. */
const RETRY_DELAY_MS = 700;

/**
 * Creates the registrar of an entry.
 *
 * @param member - the entry to register
 * @param source - the store
 * @param clock - schedules renewals and retries
 * @param logger - receives registrations, failed ones and expired ones
 * @param storeHealth - receives the result of each call
 * @returns the registrar, which registers the entry on `start`
 */
export function createRegistrar(
  member: EntryMember,
  source: RegistrySource,
  clock: Clock,
  logger: Logger,
  storeHealth: StoreHealth,
): Registrar {
  let lease: string | undefined;
  let isStopped = false;
  let cancelTimer = (): void => undefined;

  const schedule = (delayMs: number): void => {
    if (!isStopped) {
      cancelTimer = clock.after(delayMs, () => {
        void step();
      });
    }
  };

  const register = async (): Promise<void> => {
    const registered = await source.register(member, LEASE_TTL_MS);
    if (registered.isOk()) {
      storeHealth.answered();
      lease = registered.value;
      logger.info('registered', { lease });
    } else {
      storeHealth.failed('register', registered.error.message);
      logger.warn('registration failed', { error: registered.error.message });
    }
    schedule(registered.isOk() ? RENEWAL_INTERVAL_MS : RETRY_DELAY_MS);
  };

  const step = async (): Promise<void> => {
    if (lease === undefined) {
      await register();
      return;
    }
    const renewed = await source.renew(lease);
    if (renewed.isErr() && renewed.error.kind === SourceErrorKind.LeaseEnded) {
      logger.warn('registration expired', { lease });
      lease = undefined;
      schedule(0);
      return;
    }
    renewed.match(storeHealth.answered, (error) => {
      storeHealth.failed('renew', error.message);
    });
    schedule(renewed.isOk() ? RENEWAL_INTERVAL_MS : RETRY_DELAY_MS);
  };

  return {
    start: () => {
      void step();
    },
    stop: () => {
      isStopped = true;
      cancelTimer();
      if (lease !== undefined) {
        void source.release(lease);
      }
    },
  };
}
