/** Numbers from outside of the process that later calculations have to survive. */

/**
 * Longest time that an update states relative to the present, in milliseconds; far above the time-out of any request.
 */
export const MAX_RELATIVE_MS = 86_400_000;

/**
 * Limits a number to a range.
 *
 * @param value - the number, which is not NaN
 * @param min - lower limit, to which lower numbers are raised
 * @param max - upper limit, to which higher numbers are reduced
 * @returns the limited number
 */
export function clamp(value: number, min: number, max: number): number {
  return Math.min(max, Math.max(min, value));
}
