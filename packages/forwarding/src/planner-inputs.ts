/** Collects the inputs of a placement decision. */
import { type PlannerInputs } from '@toucanbend/placement';
import { type ForwardingContext } from './context.js';

/**
 * Collects the inputs of a placement decision.
 *
 * @param context - the state that all requests share
 * @param options - whether the job may wait, whether it may leave its place to others, and whether it replaces a running attempt
 * @returns the inputs
 */
export function plannerInputs(
  context: ForwardingContext,
  options: Pick<PlannerInputs, 'mayWait' | 'mayYield' | 'replacesAttempt'>,
): PlannerInputs {
  const { registry, loadTracker, restrictions, paces: pace, planner: settings, hasPartialLoadView } = context;
  return {
    registry: registry(),
    loadTracker,
    restrictions,
    pace,
    settings,
    hasPartialLoadView: hasPartialLoadView(),
    ...options,
  };
}
