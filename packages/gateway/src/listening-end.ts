/**
 * When an entry that stops closes its port for callers.
 *
 * Load pattern: many entries of a data centre restart in turn under the highest load, or some are killed while others stop.
 * If too few entries are ready, the load balancer sends connections to all of them, also to those that stop. A port that is
 * closed while its process still completes requests resets these connections, and the callers have few retries. So the port
 * stays open as long as the process has requests to complete or connections still arrive, within a limit.
 */

/** Time within which the load balancer detects that an entry accepts no more connections, in milliseconds. */
export const BALANCER_NOTICE_MS = 2_300;

/**
 * Time without a new connection after which the load balancer no longer uses an entry, in milliseconds. An entry that
 * callers use receives several connections a second.
 */
const QUIET_MS = 700;

/**
 * Share of the grace period after which an entry that is still used ends as soon as it has no request in progress: from then
 * on it has time for short answers only, and the next process has time for all.
 */
const SERVING_SHARE = 2 / 3;

/** Time before the end of the grace period at which no more connections are accepted, in milliseconds. */
const CLOSE_MARGIN_MS = 1_500;
/** Limit of that time as a share of the grace period. */
const MAX_CLOSE_MARGIN_SHARE = 0.25;

/** State of an entry that stops. */
export interface StoppingEntry {
  /** Time since the entry was told to stop, in milliseconds. */
  readonly elapsedMs: number;
  /** Grace period from then until the process is killed, in milliseconds. */
  readonly graceMs: number;
  /** Time since the last connection was accepted, in milliseconds. */
  readonly sinceConnectionMs: number;
  /** Number of connections on which a request is being received or processed. */
  readonly busyConnections: number;
}

/**
 * Decides whether an entry that stops closes its port for callers.
 *
 * @param entry - the state of the entry
 * @returns whether the entry accepts no more connections from now on
 */
export function endsListening(entry: StoppingEntry): boolean {
  const { elapsedMs, graceMs, sinceConnectionMs, busyConnections } = entry;
  const isIdle = busyConnections === 0;
  const mayEnd = sinceConnectionMs >= QUIET_MS || elapsedMs >= SERVING_SHARE * graceMs;
  const closeMarginMs = Math.min(CLOSE_MARGIN_MS, MAX_CLOSE_MARGIN_SHARE * graceMs);
  return (elapsedMs >= BALANCER_NOTICE_MS && isIdle && mayEnd) || elapsedMs >= graceMs - closeMarginMs;
}
