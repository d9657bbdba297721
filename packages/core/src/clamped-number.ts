/** Numbers from outside of the process that later calculations have to survive. */
import { z } from 'zod';

/**
 * Longest time that an update states relative to the present, in milliseconds; far above the time-out of any request.
 */
export const MAX_RELATIVE_MS = 86_400_000;

/**
 * Creates the schema of a number that is limited to a range. NaN, infinity and other types are invalid.
 *
 * @param min - lower limit, to which lower numbers are raised
 * @param max - upper limit, to which higher numbers are reduced
 * @returns the schema
 */
export function clampedNumber(min: number, max: number): z.ZodType<number> {
  return z.number().transform((value) => Math.min(max, Math.max(min, value)));
}
