/**
 * Decides whether an entry that is short of processor time accepts a request.
 *
 * Load pattern: more requests arrive at one entry than its processor can forward, while other entries have processor time
 * left. Without a limit every request waits in a receive buffer, all of them miss their targets, and the entry goes on
 * with requests whose callers have given up. A request that is rejected costs a fraction of one that is forwarded, so that
 * the requests that are accepted are served in time, and a caller that retries reaches another entry.
 */

/**
 * Share of a request's target that the delay of the entry's input may take. The delay occurs about three times: before the
 * request is read, before it is sent, and before its first event is read.
 */
const MAX_INPUT_DELAY_SHARE = 0.25;

/**
 * Decides whether a request is rejected because this process is behind with its input.
 *
 * @param inputDelayMs - delay with which the process handles its input, in milliseconds
 * @param targetMs - the route's target for the answer or its first event, in milliseconds
 * @returns whether to reject the request
 */
export function isOverloaded(inputDelayMs: number, targetMs: number): boolean {
  return inputDelayMs > MAX_INPUT_DELAY_SHARE * targetMs;
}
