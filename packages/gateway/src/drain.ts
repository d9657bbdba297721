/** Drains an entry before its process ends: it stops accepting requests and completes those in flight. */
import { type Clock } from '@toucanbend/core';
import { type Logger } from '@toucanbend/observability';
import { BALANCER_NOTICE_MS, endsListening } from './listening-end.js';

/** Time before the end of the grace period at which the requests still in flight are abandoned, in milliseconds. */
const ANSWER_MARGIN_MS = 500;
/**
 * Limit of that time as a share of the grace period, so that a short one is not spent on margins: work that servers do until the
 * last sixth of it is delivered.
 */
const MAX_ANSWER_MARGIN_SHARE = 0.15;
/** Time before the end of the grace period at which the process ends, whether all answers are sent or not, in milliseconds. */
const EXIT_MARGIN_MS = 200;
/** Limit of that time as a share of the grace period; it leaves time to send the answers to abandoned requests. */
const MAX_EXIT_MARGIN_SHARE = 0.05;
const DRAIN_CHECK_INTERVAL_MS = 50;

/**
 * Determines when a draining entry abandons its requests, so that their callers are answered before the process ends.
 *
 * @param startedAtMs - when the entry was told to stop
 * @param graceMs - grace period from then until the process is killed, in milliseconds
 * @returns the time
 */
export function answersUntil(startedAtMs: number, graceMs: number): number {
  return startedAtMs + graceMs - Math.min(ANSWER_MARGIN_MS, MAX_ANSWER_MARGIN_SHARE * graceMs);
}

/**
 * Determines from when on a draining entry gets requests only because too few entries are ready.
 *
 * @param startedAtMs - when the entry was told to stop
 * @returns the time, in milliseconds of the same clock
 */
export function outOfRotationAt(startedAtMs: number): number {
  return startedAtMs + BALANCER_NOTICE_MS;
}

/** Dependencies and callbacks of a drain. */
export interface DrainOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Grace period from the signal to stop until the process is killed, in milliseconds. */
  readonly graceMs: number;
  /** Number of connections on which a request is being received or processed. */
  readonly busyConnections: () => number;
  /** Number of connections that have been accepted since the process started. */
  readonly acceptedConnections: () => number;
  /** Stops listening and rejects further requests on keep-alive connections; resolves when no more connections are accepted. */
  readonly close: () => Promise<void>;
}

/**
 * Waits until the load balancer has stopped sending connections and no connection is in use at two checks in a row, or until
 * the grace period is nearly over. A connection is in use until the answer to its request has been handed to the operating
 * system.
 *
 * @param options - dependencies and callbacks
 * @returns a promise that resolves when the process may end
 */
export function drainRequests(options: DrainOptions): Promise<void> {
  const { clock, logger, graceMs, busyConnections, acceptedConnections, close } = options;
  const startedAtMs = clock.now();
  const exitAfterMs = graceMs - Math.min(EXIT_MARGIN_MS, MAX_EXIT_MARGIN_SHARE * graceMs);
  let isClosing = false;
  let isClosed = false;
  /** Whether no connection was in use at the last check. */
  let wasQuiet = false;
  let accepted = acceptedConnections();
  let acceptedAtMs = startedAtMs;
  /** Number of connections accepted although the load balancer has had time to notice the stop. */
  let lateConnections = 0;
  const observeConnections = (elapsedMs: number): void => {
    const before = accepted;
    accepted = acceptedConnections();
    if (accepted > before) {
      acceptedAtMs = clock.now();
      lateConnections += elapsedMs > BALANCER_NOTICE_MS ? accepted - before : 0;
    }
  };
  const isListeningOver = (elapsedMs: number): boolean =>
    endsListening({
      elapsedMs,
      graceMs,
      sinceConnectionMs: clock.now() - acceptedAtMs,
      busyConnections: busyConnections(),
    });
  logger.info('leaving', { busyConnections: busyConnections() });
  return new Promise((resolve) => {
    const check = (): void => {
      const elapsedMs = clock.now() - startedAtMs;
      observeConnections(elapsedMs);
      if (!isClosing && isListeningOver(elapsedMs)) {
        isClosing = true;
        void close().then(() => {
          isClosed = true;
        });
      }
      const isQuiet = isClosed && busyConnections() === 0;
      if ((isQuiet && wasQuiet) || elapsedMs >= exitAfterMs) {
        logger.info('stopped', {
          busyConnections: busyConnections(),
          lateConnections,
          elapsedMs: Math.round(elapsedMs),
        });
        resolve();
        return;
      }
      wasQuiet = isQuiet;
      clock.after(DRAIN_CHECK_INTERVAL_MS, check);
    };
    check();
  });
}
