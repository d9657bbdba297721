/** The fleet that the scenarios run on. Engines are five times as fast as real ones, and all times are a fifth. */
import { type BackendPlan, type Fleet, type FleetPlan, startFleet } from '../fakes/fleet.js';

/** Factor by which the bench runs faster than real time. */
export const SPEED_UP = 5;

/** Speed and KV cache size of each engine of the bench. */
export const benchEngine = {
  prefillTokensPerMs: 20 * SPEED_UP,
  chunkTokens: 512,
  iterationMs: 6 / SPEED_UP,
  perAnswerMs: 0.1 / SPEED_UP,
  memoryTokens: 400_000,
};

/** Peak prefill throughput of a bench engine, in tokens per second. */
export const ENGINE_TOKENS_PER_SECOND =
  (benchEngine.chunkTokens /
    (benchEngine.chunkTokens / benchEngine.prefillTokensPerMs + benchEngine.iterationMs)) *
  1_000;

/** Floors, and targets and deadlines in scaled milliseconds, by rank. */
export const benchRanks = {
  urgent: { firstTokenTargetMs: 1_100 / SPEED_UP, deadlineMs: 30_000 / SPEED_UP, floor: 0.5 },
  standard: { firstTokenTargetMs: 2_500 / SPEED_UP, deadlineMs: 60_000 / SPEED_UP, floor: 0.2 },
  batch: { firstTokenTargetMs: 30_000 / SPEED_UP, deadlineMs: 120_000 / SPEED_UP, floor: 0.1 },
} as const;

/** Scheduler settings, scaled by `SPEED_UP`. */
const scheduler = {
  prefillWindowMs: 60 / SPEED_UP,
  claimAfterMs: 1_000 / SPEED_UP,
  shareWindowMs: 4_000 / SPEED_UP,
  initialPrefillTokensPerMs: 16 * SPEED_UP,
  initialStepMs: 25 / SPEED_UP,
};

/** Accounts of the bench, two large and eight small, with their shares of the load in percent. */
export const benchAccounts = [
  { name: 'large-1', share: 30 },
  { name: 'large-2', share: 30 },
  ...Array.from({ length: 8 }, (_, index) => ({ name: `small-${String(index + 1)}`, share: 5 })),
];

/** Changes to the default bench fleet; numbers of processes, and settings of the fleet plan. */
export interface BenchOverrides {
  readonly engines?: number;
  readonly services?: number;
  readonly entries?: number;
  readonly plan?: Partial<FleetPlan>;
}

/**
 * Starts the bench fleet: six engines and two entries in one data centre, unless overridden.
 *
 * @param overrides - differences from the default fleet
 * @returns the running fleet
 */
export function startBench(overrides: BenchOverrides = {}): Promise<Fleet> {
  const engines = Array.from({ length: overrides.engines ?? 6 }, (_, index): BackendPlan => ({
    name: `engine-${String(index + 1)}`,
    dataCentre: 'dc-1',
    engine: benchEngine,
    scheduler,
  }));
  const services = Array.from({ length: overrides.services ?? 0 }, (_, index): BackendPlan => ({
    name: `orders-${String(index + 1)}`,
    dataCentre: 'dc-1',
  }));
  return startFleet({
    dataCentres: [{ name: 'dc-1', region: 'bagmati' }],
    entries: Array.from({ length: overrides.entries ?? 2 }, (_, index) => ({
      name: `entry-${String(index + 1)}`,
      dataCentre: 'dc-1',
    })),
    backends: [...engines, ...services],
    accounts: benchAccounts.map(({ name }) => ({ name })),
    ranks: Object.entries(benchRanks).map(([name, rank]) => ({ name, ...rank })),
    ...overrides.plan,
  });
}
