/** Whether the store answers this process, over all calls to it. */
import { type Clock } from '@toucanbend/core';
import { type Logger } from '@toucanbend/observability';

/** Whether the store answers this process. */
export interface StoreContact {
  /** Notes an answer of the store. */
  answered(): void;
  /**
   * Notes a call without a usable answer.
   *
   * @param call - what was called, for the log
   * @param error - why there is no answer, for the log
   */
  failed(call: string, error: string): void;
  /** Whether the last call was answered. */
  isWell(): boolean;
  /** Calls since the start, and those of them without a usable answer. */
  counts(): { readonly calls: number; readonly failures: number };
  /** Adds one who learns that the store answers again, and for how long it gave no answer. */
  onRegained(handle: (silentMs: number) => void): void;
  /** Adds one who learns that the store is lost. */
  onLost(handle: () => void): void;
}

/**
 * Creates the record of a store that was not called yet.
 *
 * @param clock - measures the time without answers
 * @param logger - learns of a store that is lost or regained
 * @returns the record
 */
export function createStoreContact(clock: Clock, logger: Logger): StoreContact {
  const handlers: ((silentMs: number) => void)[] = [];
  const lostHandlers: (() => void)[] = [];
  let lastAnswerAtMs: number | undefined;
  let failures = 0;
  const counts = { calls: 0, failures: 0 };
  return {
    answered: () => {
      counts.calls += 1;
      const nowMs = clock.now();
      const silentMs = lastAnswerAtMs === undefined ? 0 : nowMs - lastAnswerAtMs;
      const isRegained = failures > 0;
      lastAnswerAtMs = nowMs;
      failures = 0;
      if (isRegained) {
        logger.info('store regained', { silentMs: Math.round(silentMs) });
        handlers.forEach((handle) => {
          handle(silentMs);
        });
      }
    },
    failed: (call, error) => {
      counts.calls += 1;
      counts.failures += 1;
      failures += 1;
      if (failures === 1) {
        logger.warn('store lost', { call, error });
        lostHandlers.forEach((handle) => {
          handle();
        });
      }
    },
    isWell: () => failures === 0,
    counts: () => ({ ...counts }),
    onRegained: (handle) => {
      handlers.push(handle);
    },
    onLost: (handle) => {
      lostHandlers.push(handle);
    },
  };
}
