/** Drains an entry before its process ends: it stops accepting requests and completes those in flight. */
import { type Clock } from '@toucanbend/core';
import { type Logger } from '@toucanbend/observability';

/** Time within which the load balancer detects that an entry accepts no more connections, in milliseconds. */
const BALANCER_NOTICE_MS = 2_300;
/** Time before the end of the grace period at which the requests still in flight are abandoned, in milliseconds. */
const ANSWER_MARGIN_MS = 700;
/** Time before the end of the grace period at which the process ends, whether all answers are sent or not, in milliseconds. */
const EXIT_MARGIN_MS = 200;
const DRAIN_CHECK_INTERVAL_MS = 50;

/**
 * Determines when a draining entry abandons its requests, so that their callers are answered before the process ends.
 *
 * @param startedAtMs - when the entry was told to stop
 * @param graceMs - grace period from then until the process is killed, in milliseconds
 * @returns the time
 */
export function answersUntil(startedAtMs: number, graceMs: number): number {
  return startedAtMs + graceMs - ANSWER_MARGIN_MS;
}

/** Dependencies and callbacks of a drain. */
export interface DrainOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Grace period from the signal to stop until the process is killed, in milliseconds. */
  readonly graceMs: number;
  /** Number of requests that are being received or processed. */
  readonly inFlight: () => number;
  /** Stops listening and rejects further requests on keep-alive connections. */
  readonly close: () => void;
}

/**
 * Waits until the load balancer has had time to stop sending connections and no request is in flight, or until the
 * grace period is nearly over. A request is in flight until its answer has been handed to the operating system.
 *
 * @param options - dependencies and callbacks
 * @returns a promise that resolves when the process may end
 */
export function drainRequests(options: DrainOptions): Promise<void> {
  const { clock, logger, graceMs, inFlight, close } = options;
  const startedAtMs = clock.now();
  let isClosed = false;
  logger.info('leaving', { inFlight: inFlight() });
  return new Promise((resolve) => {
    const check = (): void => {
      const elapsedMs = clock.now() - startedAtMs;
      if (elapsedMs >= BALANCER_NOTICE_MS && !isClosed) {
        isClosed = true;
        close();
      }
      const isDone = elapsedMs >= BALANCER_NOTICE_MS && inFlight() === 0;
      if (isDone || elapsedMs >= graceMs - EXIT_MARGIN_MS) {
        logger.info('stopped', { inFlight: inFlight(), elapsedMs: Math.round(elapsedMs) });
        clock.after(DRAIN_CHECK_INTERVAL_MS, resolve);
        return;
      }
      clock.after(DRAIN_CHECK_INTERVAL_MS, check);
    };
    check();
  });
}
