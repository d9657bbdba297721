/** Health of servers as an entry observes it: failing servers are ejected, with exponential backoff. */

/** How a server failed. */
export enum FailureKind {
  /** A probe over an open link was not answered in time; the server may only be slow. */
  Unanswered = 'unanswered',
  /** The server could not be reached, or what was sent to it was lost. */
  Lost = 'lost',
}

/** Observed health of one server. */
export interface ServerHealth {
  readonly consecutiveFailures: number;
  /** Time until which the server is not probed. */
  readonly ejectedUntilMs: number;
  /** Whether all failures since the start of the last ejection are unanswered probes. */
  readonly isOnlySlow: boolean;
}

/** Health of a server that has not failed. */
export const healthyServer: ServerHealth = { consecutiveFailures: 0, ejectedUntilMs: 0, isOnlySlow: false };

const FIRST_EJECTION_MS = 500;
const MAX_EJECTION_MS = 10_000;

/**
 * Records a failure. Each further failure doubles the ejection time up to a maximum; failures during an ejection do
 * not lengthen it.
 *
 * @param health - the previous health
 * @param nowMs - current time, in milliseconds
 * @param kind - how the server failed
 * @returns the updated health
 */
export function recordFailure(health: ServerHealth, nowMs: number, kind = FailureKind.Lost): ServerHealth {
  const isSlow = kind === FailureKind.Unanswered;
  if (nowMs < health.ejectedUntilMs) {
    return { ...health, isOnlySlow: health.isOnlySlow && isSlow };
  }
  const ejectionMs = Math.min(MAX_EJECTION_MS, FIRST_EJECTION_MS * 2 ** health.consecutiveFailures);
  return {
    consecutiveFailures: health.consecutiveFailures + 1,
    ejectedUntilMs: nowMs + ejectionMs,
    isOnlySlow: isSlow,
  };
}

/**
 * Records a success, which ends any ejection. The failure count decreases by only one, so that a server that keeps
 * failing is still ejected for longer.
 *
 * @param health - the previous health
 * @returns the updated health
 */
export function recordSuccess(health: ServerHealth): ServerHealth {
  return { ...healthyServer, consecutiveFailures: Math.max(0, health.consecutiveFailures - 1) };
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

/**
 * Returns whether a server is ejected although it may only be slow.
 *
 * @param health - health of the server
 * @param nowMs - current time, in milliseconds
 * @returns true if the server is ejected and all its failures since are unanswered probes
 */
export function isEjectedAsSlow(health: ServerHealth, nowMs: number): boolean {
  return !isAvailable(health, nowMs) && health.isOnlySlow;
}
