/** Health of servers as an entry observes it: failing servers are ejected, with exponential backoff. */

/** Observed health of one server. */
export interface ServerHealth {
  readonly consecutiveFailures: number;
  /** Time until which the server is not probed. */
  readonly ejectedUntilMs: number;
}

/** Health of a server that has not failed. */
export const healthyServer: ServerHealth = { consecutiveFailures: 0, ejectedUntilMs: 0 };

const FIRST_EJECTION_MS = 500;
const MAX_EJECTION_MS = 10_000;

/**
 * Records a failure. Each further failure doubles the ejection time up to a maximum; failures during an ejection do
 * not count.
 *
 * @param health - the previous health
 * @param nowMs - current time, in milliseconds
 * @returns the updated health
 */
export function recordFailure(health: ServerHealth, nowMs: number): ServerHealth {
  if (nowMs < health.ejectedUntilMs) {
    return health;
  }
  const ejectionMs = Math.min(MAX_EJECTION_MS, FIRST_EJECTION_MS * 2 ** health.consecutiveFailures);
  return { consecutiveFailures: health.consecutiveFailures + 1, ejectedUntilMs: nowMs + ejectionMs };
}

/**
 * Records a success, which ends any ejection. The failure count decreases by only one, so that a server that keeps
 * failing is still ejected for longer.
 *
 * @param health - the previous health
 * @returns the updated health
 */
export function recordSuccess(health: ServerHealth): ServerHealth {
  return { consecutiveFailures: Math.max(0, health.consecutiveFailures - 1), ejectedUntilMs: 0 };
}

/**
 * Returns whether a server may be probed.
 *
 * @param health - health of the server
 * @param nowMs - current time, in milliseconds
 * @returns true unless the server is ejected
 */
export function isAvailable(health: ServerHealth, nowMs: number): boolean {
  return nowMs >= health.ejectedUntilMs;
}
