/** Tracks whether the store is reachable, by the results of all calls of this process. */
import { type Clock } from '@toucanbend/core';
import { type Logger } from '@toucanbend/observability';

/** An outage of the store, as this process has seen it. */
export interface StoreOutage {
  /** Time without an answer, in milliseconds. */
  readonly silentMs: number;
  /** When the store is known to have returned: when it answered this entry or, before that, another one. */
  readonly returnedAtMs: number;
}

/** Reachability of the store from this process. */
export interface StoreHealth {
  /** Records an answered call. */
  answered(): void;
  /**
   * Records a call without a usable answer.
   *
   * @param call - name of the call, for the log
   * @param error - reason of the failure, for the log
   * @param startedAtMs - when the call was made; one that was made before the store last answered says nothing of its state since
   */
  failed(call: string, error: string, startedAtMs: number): void;
  /**
   * Records that the store answers another entry again. If it does not answer this entry yet, it returned no later than now, since
   * calls of this entry may still wait for their time limits.
   */
  returned(): void;
  /** Whether the last call was answered. */
  isReachable(): boolean;
  /** Returns the number of calls since the start, and the number of those without a usable answer. */
  counts(): { readonly calls: number; readonly failures: number };
  /** Adds a listener for the end of an outage. */
  onReachable(handle: (outage: StoreOutage) => void): void;
  /** Adds a listener for the start of an outage: the first failed call after an answered one. */
  onUnreachable(handle: () => void): void;
}

/**
 * Creates the health record of a store, which counts as reachable until a call fails.
 *
 * @param clock - measures the time without answers
 * @param logger - receives the start and the end of each outage
 * @returns the health record
 */
export function createStoreHealth(clock: Clock, logger: Logger): StoreHealth {
  const reachableHandlers: ((outage: StoreOutage) => void)[] = [];
  const unreachableHandlers: (() => void)[] = [];
  let lastAnswerAtMs: number | undefined;
  /** When another entry was first answered again since the last answer to this one, and since a later call of this one failed. */
  let returnedAtMs: number | undefined;
  let failures = 0;
  const counts = { calls: 0, failures: 0 };
  return {
    answered: () => {
      counts.calls += 1;
      const nowMs = clock.now();
      const silentMs = lastAnswerAtMs === undefined ? 0 : nowMs - lastAnswerAtMs;
      const outage = { silentMs, returnedAtMs: returnedAtMs ?? nowMs };
      const isReachableAgain = failures > 0;
      lastAnswerAtMs = nowMs;
      returnedAtMs = undefined;
      failures = 0;
      if (isReachableAgain) {
        logger.info('store regained', {
          silentMs: Math.round(silentMs),
          returnedMsAgo: Math.round(nowMs - outage.returnedAtMs),
        });
        reachableHandlers.forEach((handle) => {
          handle(outage);
        });
      }
    },
    failed: (call, error, startedAtMs) => {
      counts.calls += 1;
      counts.failures += 1;
      if (lastAnswerAtMs !== undefined && startedAtMs < lastAnswerAtMs) {
        return;
      }
      if (returnedAtMs !== undefined && startedAtMs >= returnedAtMs) {
        returnedAtMs = undefined;
      }
      failures += 1;
      if (failures === 1) {
        logger.warn('store lost', { call, error });
        unreachableHandlers.forEach((handle) => {
          handle();
        });
      }
    },
    returned: () => {
      returnedAtMs ??= clock.now();
    },
    isReachable: () => failures === 0,
    counts: () => ({ ...counts }),
    onReachable: (handle) => {
      reachableHandlers.push(handle);
    },
    onUnreachable: (handle) => {
      unreachableHandlers.push(handle);
    },
  };
}
