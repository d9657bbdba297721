/** Tracks whether the store is reachable, by the results of all calls of this process. */
import { type Clock } from '@toucanbend/core';
import { type Logger } from '@toucanbend/observability';

/** Reachability of the store from this process. */
export interface StoreHealth {
  /** Records an answered call. */
  answered(): void;
  /**
   * Records a call without a usable answer.
   *
   * @param call - name of the call, for the log
   * @param error - reason of the failure, for the log
   */
  failed(call: string, error: string): void;
  /** Whether the last call was answered. */
  isReachable(): boolean;
  /** Returns the number of calls since the start, and the number of those without a usable answer. */
  counts(): { readonly calls: number; readonly failures: number };
  /** Adds a listener for the end of an outage; it receives the time since the last answer, in milliseconds. */
  onReachable(handle: (outageMs: number) => void): void;
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
  const reachableHandlers: ((outageMs: number) => void)[] = [];
  const unreachableHandlers: (() => void)[] = [];
  let lastAnswerAtMs: number | undefined;
  let failures = 0;
  const counts = { calls: 0, failures: 0 };
  return {
    answered: () => {
      counts.calls += 1;
      const nowMs = clock.now();
      const outageMs = lastAnswerAtMs === undefined ? 0 : nowMs - lastAnswerAtMs;
      const isReachableAgain = failures > 0;
      lastAnswerAtMs = nowMs;
      failures = 0;
      if (isReachableAgain) {
        logger.info('store regained', { silentMs: Math.round(outageMs) });
        reachableHandlers.forEach((handle) => {
          handle(outageMs);
        });
      }
    },
    failed: (call, error) => {
      counts.calls += 1;
      counts.failures += 1;
      failures += 1;
      if (failures === 1) {
        logger.warn('store lost', { call, error });
        unreachableHandlers.forEach((handle) => {
          handle();
        });
      }
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
