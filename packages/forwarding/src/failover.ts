/** Decides whether another server would answer soon enough for an unresponsive one to be abandoned. */
import { DecisionKind, type PlacementDecision } from '@toucanbend/placement';

/**
 * Multiple of the route's target within which another server must be predicted to send its next event; a later event does
 * not justify abandoning the current server.
 */
const FAILOVER_TARGET_FACTOR = 2;

/**
 * Decides whether a placement justifies abandoning the current server.
 *
 * @param decision - the placement at another server
 * @param targetMs - the route's target for the first event, in milliseconds
 * @param timeLeftMs - the time until the request's deadline, in milliseconds
 * @returns whether the placement is predicted to answer soon enough
 */
export function isSoonEnough(decision: PlacementDecision, targetMs: number, timeLeftMs: number): boolean {
  return (
    decision.kind === DecisionKind.Send &&
    decision.expectedMs < Math.min(FAILOVER_TARGET_FACTOR * targetMs, timeLeftMs)
  );
}
