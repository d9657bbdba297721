/** The planned stop of an entry: it takes no new work and finishes what it has. */
import { type Clock } from '@toucanbend/core';
import { type Logger } from '@toucanbend/observability';

/** Time in which the balancer notices that an entry takes no more connections. */
const NOTICE_MS = 2_300;
/** Time before the end of the grace in which what is still in flight is given up. */
const GRACE_MARGIN_MS = 700;
const LEAVE_CHECK_MS = 50;

/** What a stop needs to know and do. */
export interface DepartureOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Time from the signal to stop until the process is ended from outside, in milliseconds. */
  readonly graceMs: number;
  /** Requests that are read or in flight. */
  readonly inFlight: () => number;
  /** Refuses what still comes on kept connections. */
  readonly close: () => void;
}

/**
 * Waits until the balancer has noticed and no request is in flight, or the grace is nearly over.
 *
 * @param options - the entry
 * @returns resolves when the process may end
 */
export function finishRequests(options: DepartureOptions): Promise<void> {
  const { clock, logger, graceMs, inFlight, close } = options;
  const startedAtMs = clock.now();
  let isClosed = false;
  logger.info('leaving', { inFlight: inFlight() });
  return new Promise((resolve) => {
    const check = (): void => {
      const elapsedMs = clock.now() - startedAtMs;
      if (elapsedMs >= NOTICE_MS && !isClosed) {
        isClosed = true;
        close();
      }
      const isDone = elapsedMs >= NOTICE_MS && inFlight() === 0;
      if (isDone || elapsedMs >= graceMs - GRACE_MARGIN_MS) {
        logger.info('stopped', { inFlight: inFlight(), elapsedMs: Math.round(elapsedMs) });
        clock.after(LEAVE_CHECK_MS, resolve);
        return;
      }
      clock.after(LEAVE_CHECK_MS, check);
    };
    check();
  });
}
