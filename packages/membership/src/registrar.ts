/** Keeps an entry registered in the store under a lease, so that other entries can discover it. */
import { type Clock, type Random } from '@toucanbend/core';
import { type Logger } from '@toucanbend/observability';
import {
  type EntryMember,
  type Registration,
  type RegistrySource,
  SourceErrorKind,
} from '@toucanbend/registry';
import { type StoreHealth } from './store-health.js';

/** Registers an entry and renews its lease. */
export interface Registrar {
  start(): void;
  /** Stops renewing the lease and removes the registration. */
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

/** Upper bound of the random delay of a registration after the store has lost it, in milliseconds. */
const MAX_REGISTRATION_DELAY_MS = 500;

/** Dependencies of a registrar. */
export interface RegistrarOptions {
  /** The entry to register. */
  readonly member: EntryMember;
  readonly source: RegistrySource;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  /** Receives the result of each call. */
  readonly storeHealth: StoreHealth;
}

/**
 * Creates the registrar of an entry.
 *
 * @param options - the entry and the dependencies
 * @returns the registrar, which registers the entry on `start`
 */
export function createRegistrar(options: RegistrarOptions): Registrar {
  const { member, source, clock, random, logger, storeHealth } = options;
  let registration: Registration | undefined;
  let isCalling = false;
  let isStopped = false;
  let cancelTimer = (): void => undefined;

  const schedule = (delayMs: number): void => {
    if (!isStopped) {
      cancelTimer = clock.after(delayMs, () => {
        void step();
      });
    }
  };

  /** Registers the entry and returns the delay before the next call. */
  const register = async (): Promise<number> => {
    const startedAtMs = clock.now();
    const registered = await source.register(member, LEASE_TTL_MS);
    return registered.match(
      (value) => {
        storeHealth.answered();
        registration = value;
        logger.info('registered', { lease: value.lease, era: value.position.era });
        return RENEWAL_INTERVAL_MS;
      },
      ({ message }) => {
        storeHealth.failed('register', message, startedAtMs);
        logger.warn('registration failed', { error: message });
        return RETRY_DELAY_MS;
      },
    );
  };

  /** Renews the lease and returns the delay before the next call. */
  const renew = async (renewed: Registration): Promise<number> => {
    const startedAtMs = clock.now();
    const result = await source.renew(renewed);
    if (result.isErr() && result.error.kind === SourceErrorKind.LeaseEnded) {
      const { lease, position } = renewed;
      logger.warn('registration expired', { lease, era: position.era, error: result.error.message });
      registration = undefined;
      return 0;
    }
    result.match(storeHealth.answered, ({ message }) => {
      storeHealth.failed('renew', message, startedAtMs);
    });
    return result.isOk() ? RENEWAL_INTERVAL_MS : RETRY_DELAY_MS;
  };

  const step = async (): Promise<void> => {
    isCalling = true;
    const delayMs = registration === undefined ? await register() : await renew(registration);
    isCalling = false;
    schedule(delayMs);
  };

  source.onRestored(() => {
    // A call that is running ends with an error or a registration of the new era.
    if (registration !== undefined && !isCalling) {
      registration = undefined;
      cancelTimer();
      schedule(MAX_REGISTRATION_DELAY_MS * random.fraction());
    }
  });

  return {
    start: () => {
      void step();
    },
    stop: () => {
      isStopped = true;
      cancelTimer();
      if (registration !== undefined) {
        void source.release(registration);
      }
    },
  };
}
