/** Retry budget: bounds retries to a fraction of requests, so that retries cannot amplify an overload. */

/** Credit for retries; each retry costs 1. */
export interface RetryBudget {
  readonly credit: number;
}

const CREDIT_PER_REQUEST = 0.2;
const MAX_CREDIT = 50;

/** Initial budget, with the maximum credit. */
export const initialRetryBudget: RetryBudget = { credit: MAX_CREDIT };

/**
 * Adds the credit of a new request.
 *
 * @param budget - the current budget
 * @returns the updated budget, at most the maximum credit
 */
export function depositRetryCredit(budget: RetryBudget): RetryBudget {
  return { credit: Math.min(MAX_CREDIT, budget.credit + CREDIT_PER_REQUEST) };
}

/**
 * Withdraws the credit for a retry.
 *
 * @param budget - the current budget
 * @returns the updated budget, or undefined if the credit does not allow a retry
 */
export function withdrawRetryCredit(budget: RetryBudget): RetryBudget | undefined {
  return budget.credit < 1 ? undefined : { credit: budget.credit - 1 };
}
