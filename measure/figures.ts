/** Computes latency, goodput and outcome figures from the records of a run. */
import { build, type Histogram } from 'hdr-histogram-js';
import { type RunRecord } from './run.js';

/** Number and percentiles of a set of latencies, in milliseconds. */
export interface LatencySummary {
  readonly count: number;
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
}

const MICROSECONDS_PER_MILLISECOND = 1_000;

/**
 * Computes percentiles of latencies with an HDR histogram.
 *
 * @param values - latencies in milliseconds
 * @returns the count, and percentiles rounded to 0.1 ms
 */
export function summariseLatencies(values: readonly number[]): LatencySummary {
  const histogram: Histogram = build();
  for (const value of values) {
    histogram.recordValue(Math.max(0, Math.round(value * MICROSECONDS_PER_MILLISECOND)));
  }
  const percentileMs = (percentile: number): number =>
    Math.round(histogram.getValueAtPercentile(percentile) / (MICROSECONDS_PER_MILLISECOND / 10)) / 10;
  return { count: values.length, p50: percentileMs(50), p95: percentileMs(95), p99: percentileMs(99) };
}

/**
 * Returns the times to first token, leaving out requests that received no token.
 *
 * @param records - the requests
 * @returns times from the intended start, in milliseconds
 */
export function firstTokenTimes(records: readonly RunRecord[]): number[] {
  return records.flatMap((record) => record.firstTokenMs ?? []);
}

/** Prompt length classes, in tokens; `from` is inclusive and `to` exclusive. */
export const lengthClasses = [
  { name: 'under8k', from: 0, to: 8_000 },
  { name: 'under100k', from: 8_000, to: 100_000 },
  { name: 'over100k', from: 100_000, to: Number.MAX_SAFE_INTEGER },
] as const;

/**
 * Selects the requests whose prompt length is in [from, to).
 *
 * @param records - the requests
 * @param from - shortest prompt length in tokens, inclusive
 * @param to - upper bound of the prompt length in tokens, exclusive
 * @returns the matching requests
 */
export function filterByLength(records: readonly RunRecord[], from: number, to: number): RunRecord[] {
  return records.filter(({ request }) => request.promptTokens >= from && request.promptTokens < to);
}

/**
 * Returns the fraction of requests that completed and received their first token within the target.
 *
 * @param records - the requests
 * @param targetMs - target time to first token, in milliseconds
 * @returns a fraction from 0 to 1; 1 if there are no requests
 */
export function fractionWithinTarget(records: readonly RunRecord[], targetMs: number): number {
  if (records.length === 0) {
    return 1;
  }
  const met = records.filter(
    ({ result, firstTokenMs }) => result.outcome === 'complete' && (firstTokenMs ?? Infinity) <= targetMs,
  );
  return round(met.length / records.length);
}

/**
 * Sums the prompt tokens and requested answer tokens of the requests that completed within the deadline.
 *
 * @param records - the requests
 * @param deadlineMs - deadline, in milliseconds from the intended start
 * @returns number of tokens
 */
export function goodputTokens(records: readonly RunRecord[], deadlineMs: number): number {
  return records
    .filter(({ result, elapsedMs }) => result.outcome === 'complete' && elapsedMs <= deadlineMs)
    .reduce((sum, { request }) => sum + request.promptTokens + request.maxTokens, 0);
}

/**
 * Counts the requests by outcome.
 *
 * @param records - the requests
 * @returns number of requests by outcome; requests without an outcome count as `none`
 */
export function countOutcomes(records: readonly RunRecord[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const { result } of records) {
    const name = result.outcome === '' ? 'none' : result.outcome;
    counts[name] = (counts[name] ?? 0) + 1;
  }
  return counts;
}

/**
 * Rounds to three decimal places.
 *
 * @param value - the value to round
 * @returns the rounded value
 */
export function round(value: number): number {
  return Math.round(value * 1_000) / 1_000;
}

/**
 * Divides and rounds to three decimal places; returns 0 if the divisor is 0.
 *
 * @param value - the dividend
 * @param divisor - the divisor
 * @returns the rounded quotient
 */
export function ratio(value: number, divisor: number): number {
  return divisor === 0 ? 0 : round(value / divisor);
}

/** Figures that scenarios report for each run. */
export interface RunFigures {
  readonly requests: number;
  readonly outcomes: Readonly<Record<string, number>>;
  /** Times to first token by length class. */
  readonly firstToken: Readonly<Record<string, LatencySummary>>;
  /** Number of complete responses whose text differs from the expected text. */
  readonly violations: number;
}

/**
 * Computes the figures that scenarios report for each run.
 *
 * @param records - the requests
 * @returns the figures
 */
export function runFigures(records: readonly RunRecord[]): RunFigures {
  const firstToken = Object.fromEntries(
    lengthClasses.map(({ name, from, to }) => [
      name,
      summariseLatencies(firstTokenTimes(filterByLength(records, from, to))),
    ]),
  );
  return {
    requests: records.length,
    outcomes: countOutcomes(records),
    firstToken,
    violations: records.filter((record) => !record.isCorrect).length,
  };
}
