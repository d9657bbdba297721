/** Keeps an entry registered in the store, so that other entries find it. */
import { type Clock } from '@toucanbend/core';
import { type Logger } from '@toucanbend/observability';
import { type EntryMember, type RegistrySource, SourceErrorKind } from '@toucanbend/registry';
import { type StoreContact } from './store-contact.js';

/** Keeps an entry registered. */
export interface Registrar {
  start(): void;
  /** Stops renewing and gives the registration up. */
  stop(): void;
}

/** How long a registration holds without renewal; several outages of a renewal fit in. */
const LIFETIME_MS = 10_000;
/**
 * Time between renewals, in milliseconds. Renewals are the cheapest calls to the store and show whether it answers: an
 * outage must be noticed before registrations of servers lapse in it, which is after three of their heartbeats.
 */
const RENEWAL_MS = 2_000;
/** Pause after a failed call, in milliseconds. */
const RETRY_MS = 700;

/**
 * Creates the registrar of an entry.
 *
 * @param member - the entry
 * @param source - the store
 * @param clock - measures the time between renewals
 * @param logger - learns of registrations that are lost
 * @param contact - learns whether the store answers
 * @returns the registrar, which does not run yet
 */
export function createRegistrar(
  member: EntryMember,
  source: RegistrySource,
  clock: Clock,
  logger: Logger,
  contact: StoreContact,
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
    const registered = await source.register(member, LIFETIME_MS);
    if (registered.isOk()) {
      contact.answered();
      lease = registered.value;
      logger.info('registered', { lease });
    } else {
      contact.failed('register', registered.error.message);
      logger.warn('not registered', { error: registered.error.message });
    }
    schedule(registered.isOk() ? RENEWAL_MS : RETRY_MS);
  };

  const step = async (): Promise<void> => {
    if (lease === undefined) {
      await register();
      return;
    }
    const renewed = await source.renew(lease);
    if (renewed.isErr() && renewed.error.kind === SourceErrorKind.LeaseEnded) {
      logger.warn('registration lapsed', { lease });
      lease = undefined;
      schedule(0);
      return;
    }
    renewed.match(contact.answered, (error) => {
      contact.failed('renew', error.message);
    });
    schedule(renewed.isOk() ? RENEWAL_MS : RETRY_MS);
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
