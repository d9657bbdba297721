/** Prometheus metrics of a process. The number of label values is bounded, and no label names a client account. */
import { type Outcome, type Rank } from '@toucanbend/core';
import { Counter, Gauge, Histogram, Registry } from 'prom-client';

/** Prompt length class, used as a metric label. */
export enum LengthClass {
  UpTo8k = 'up_to_8k',
  UpTo100k = 'up_to_100k',
  Above100k = 'above_100k',
}

const SHORT_PROMPT_MAX_TOKENS = 8_000;
const MEDIUM_PROMPT_MAX_TOKENS = 100_000;
const FIRST_TOKEN_BUCKETS_SECONDS = [0.05, 0.1, 0.2, 0.4, 0.7, 1.1, 2, 4, 8, 16, 32, 64];
const PREDICTION_RATIO_BUCKETS = [0.25, 0.5, 0.8, 1, 1.25, 1.5, 2, 4, 8];
const TOKEN_INTERVAL_BUCKETS_SECONDS = [0.005, 0.01, 0.02, 0.035, 0.05, 0.1, 0.2, 0.5];

/**
 * Returns the length class of a prompt.
 *
 * @param tokens - length of the prompt in tokens
 * @returns the class
 */
export function lengthClassOf(tokens: number): LengthClass {
  if (tokens <= SHORT_PROMPT_MAX_TOKENS) {
    return LengthClass.UpTo8k;
  }
  return tokens <= MEDIUM_PROMPT_MAX_TOKENS ? LengthClass.UpTo100k : LengthClass.Above100k;
}

/** Records and exports the metrics of a process. */
export interface Metrics {
  /** Counts a finished request by outcome and rank. */
  countOutcome(outcome: Outcome, rank: Rank): void;
  /** Records the time to the first token of a request whose prompt has `tokens` tokens. */
  observeFirstToken(tokens: number, rank: Rank, elapsedMs: number): void;
  /** Records the ratio of the actual to the predicted time to the first token. */
  observePrediction(predictedMs: number, actualMs: number): void;
  /** Records the time between two tokens. */
  observeTokenInterval(rank: Rank, elapsedMs: number): void;
  /** Registers a gauge that calls `read` each time the metrics are exported. */
  gauge(name: string, help: string, read: () => number): void;
  /** Returns all metrics in the Prometheus text format. */
  text(): Promise<string>;
}

/**
 * Creates the metrics of a process.
 *
 * @returns the metrics, all at zero, in a registry of their own
 */
export function createMetrics(): Metrics {
  const registers = [new Registry()];
  const outcomes = new Counter({
    name: 'toucanbend_requests_total',
    help: 'Requests by outcome and rank.',
    labelNames: ['outcome', 'rank'],
    registers,
  });
  const firstToken = new Histogram({
    name: 'toucanbend_first_token_seconds',
    help: 'Time to the first token by length of the prompt and rank.',
    labelNames: ['length', 'rank'],
    buckets: FIRST_TOKEN_BUCKETS_SECONDS,
    registers,
  });
  const tokenInterval = new Histogram({
    name: 'toucanbend_between_tokens_seconds',
    help: 'Time between tokens by rank.',
    labelNames: ['rank'],
    buckets: TOKEN_INTERVAL_BUCKETS_SECONDS,
    registers,
  });
  const predictionRatio = new Histogram({
    name: 'toucanbend_first_token_prediction_ratio',
    help: 'Actual over predicted time to the first token, as predicted when the request was taken.',
    buckets: PREDICTION_RATIO_BUCKETS,
    registers,
  });
  return {
    observePrediction: (predictedMs, actualMs) => {
      predictionRatio.observe(actualMs / Math.max(1, predictedMs));
    },
    countOutcome: (outcome, rank) => {
      outcomes.inc({ outcome, rank });
    },
    observeFirstToken: (tokens, rank, elapsedMs) => {
      firstToken.observe({ length: lengthClassOf(tokens), rank }, elapsedMs / 1_000);
    },
    observeTokenInterval: (rank, elapsedMs) => {
      tokenInterval.observe({ rank }, elapsedMs / 1_000);
    },
    gauge: (name, help, read) => {
      const gauge = new Gauge({
        name: `toucanbend_${name}`,
        help,
        registers,
        collect: () => {
          gauge.set(read());
        },
      });
    },
    text: () => registers[0]?.metrics() ?? Promise.resolve(''),
  };
}
