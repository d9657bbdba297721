/** Estimates the speed of a backend server from measured prefill and decode times. */

/** Estimated speed of a backend server. */
export interface Speed {
  readonly prefillTokensPerMs: number;
  /** Time between consecutive tokens of one answer, in milliseconds. */
  readonly stepMs: number;
}

const SMOOTHING_FACTOR = 0.1;
const MIN_SAMPLE_TOKENS = 200;
const MAX_SAMPLE_RATIO = 4;

function smooth(old: number, sample: number): number {
  const bounded = Math.min(old * MAX_SAMPLE_RATIO, Math.max(old / MAX_SAMPLE_RATIO, sample));
  return old + SMOOTHING_FACTOR * (bounded - old);
}

/**
 * Updates the prefill speed with the prefill of one prompt, by exponential smoothing. Ignores prompts shorter than
 * `MIN_SAMPLE_TOKENS`.
 *
 * @param speed - the current estimate
 * @param tokens - number of tokens prefilled
 * @param elapsedMs - duration of the prefill, in milliseconds
 * @returns the updated estimate
 */
export function updatePrefillSpeed(speed: Speed, tokens: number, elapsedMs: number): Speed {
  if (tokens < MIN_SAMPLE_TOKENS || elapsedMs <= 0) {
    return speed;
  }
  return { ...speed, prefillTokensPerMs: smooth(speed.prefillTokensPerMs, tokens / elapsedMs) };
}

/**
 * Updates the time between tokens with the decode of one answer, by exponential smoothing.
 *
 * @param speed - the current estimate
 * @param tokens - number of tokens after the first
 * @param elapsedMs - time from the first token to the last, in milliseconds
 * @returns the updated estimate
 */
export function updateStepTime(speed: Speed, tokens: number, elapsedMs: number): Speed {
  if (tokens <= 0 || elapsedMs <= 0) {
    return speed;
  }
  return { ...speed, stepMs: smooth(speed.stepMs, elapsedMs / tokens) };
}
