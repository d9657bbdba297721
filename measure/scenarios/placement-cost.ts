/** Measures the processor time of one placement decision over the number of engines. */
import { createRandom, type Random } from '@toucanbend/core';
import { type EngineParameters } from '@toucanbend/engine-model';
import { createLoadTracker, type Job, type LoadTracker, planJob } from '@toucanbend/placement';
import {
  emptyRegistry,
  mergeRecords,
  RecordKind,
  type Registry,
  type RegistryRecord,
  ServerState,
} from '@toucanbend/registry';
import { smallEngine } from '../../fakes/engine-parameters.js';
import { round } from '../figures.js';
import { atMost, type Scenario, type ScenarioReport } from '../scenario.js';

/** An engine whose memory holds the longest prompt, so that all ways to serve it are compared. */
const engine: EngineParameters = { ...smallEngine, memoryTokens: 450_000 };
const SERVICE = { name: 'model', maxConnections: 100, engine };
const FLEET_SIZES = [60, 170, 600] as const;
const SHORT_JOBS_PER_ENGINE = 3;
/** One engine in this many runs a long prompt besides. */
const ENGINES_PER_LONG_JOB = 6;
/** Time over which the jobs of the load were sent. */
const LOAD_MS = 1_500;
const DECISIONS = 300;
const DECISION_INTERVAL_MS = 5;

/** Upper bounds: time of a decision on the longest prompt at 60 engines, and cost at 600 engines relative to 60. */
const MAX_LONGEST_MS = 5;
const MAX_GROWTH = 2;

function shortJob(id: string, atMs: number): Job {
  return {
    id,
    service: SERVICE.name,
    generation: { promptTokens: 5_000, answerTokens: 1_300 },
    rank: 1,
    arrivedAtMs: atMs,
    targetMs: 300,
    targetPauseMs: 250,
    deadlineAtMs: atMs + 10_000,
  };
}

function longJob(id: string, atMs: number, promptTokens: number): Job {
  const generation = { promptTokens, answerTokens: 700 };
  return {
    ...shortJob(id, atMs),
    generation,
    targetMs: 4_000,
    targetPauseMs: 800,
    deadlineAtMs: atMs + 15_000,
  };
}

function createRegistry(engines: number): Registry {
  const records = Array.from({ length: engines }, (_, index): RegistryRecord => {
    const id = `e${String(index)}`;
    const dataCentre = `dc-${String(index % 5)}`;
    const address = { host: '10.0.0.1', port: 80, dataCentre };
    const value = { id, service: SERVICE.name, ...address, slots: engine.slots, bornAtMs: 0 };
    return {
      kind: RecordKind.Server,
      id,
      position: { era: 1, revision: 1 },
      value: { ...value, state: ServerState.Ready },
    };
  });
  return mergeRecords(emptyRegistry, records, {});
}

function createLoad(engines: number, random: Random): LoadTracker {
  const tracker = createLoadTracker();
  const sentAtMs = Array.from({ length: engines * SHORT_JOBS_PER_ENGINE }, (_, index) => ({
    atMs: random.fraction() * LOAD_MS,
    index,
  })).sort((left, right) => left.atMs - right.atMs);
  for (const { atMs, index } of sentAtMs) {
    const server = index % engines;
    tracker.placed('entry-2', `e${String(server)}`, engine, shortJob(`s${String(index)}`, atMs), atMs);
  }
  for (let server = 0; server < engines; server += ENGINES_PER_LONG_JOB) {
    const job = longJob(`l${String(server)}`, LOAD_MS, 100_000);
    tracker.placed('entry-2', `e${String(server)}`, engine, job, LOAD_MS);
  }
  return tracker;
}

/** Returns the mean time of a decision in milliseconds. */
function measureDecision(engines: number, seed: number, jobAt: (atMs: number) => Job): number {
  const inputs = {
    registry: createRegistry(engines),
    loadTracker: createLoad(engines, createRandom(seed)),
    restrictions: { availableAtMs: () => Number.NEGATIVE_INFINITY },
    settings: { entry: 'entry-1', dataCentre: 'dc-0', crossRoundTripMs: 8 },
    mayWait: true,
    mayYield: true,
    hasPartialLoadView: false,
    replacesAttempt: false,
  };
  let elapsedMs = 0;
  for (let index = 0; index < 2 * DECISIONS; index += 1) {
    const nowMs = LOAD_MS + index * DECISION_INTERVAL_MS;
    const job = jobAt(nowMs);
    const startedAtMs = performance.now();
    planJob(job, SERVICE, new Set(), inputs, nowMs);
    // The first half warms up the compiler.
    elapsedMs += index < DECISIONS ? 0 : performance.now() - startedAtMs;
  }
  return elapsedMs / DECISIONS;
}

function run(seed: number): ScenarioReport {
  const kinds: Readonly<Record<string, (atMs: number) => Job>> = {
    shortPrompt: (atMs) => shortJob('short', atMs),
    longPrompt: (atMs) => longJob('long', atMs, 130_000),
    longestPrompt: (atMs) => longJob('longest', atMs, 400_000),
  };
  const policies: Record<string, Record<string, number>> = {};
  const ratios: Record<string, number> = {};
  for (const [kind, jobAt] of Object.entries(kinds)) {
    const costs = FLEET_SIZES.map((engines) => measureDecision(engines, seed, jobAt));
    policies[kind] = Object.fromEntries(
      FLEET_SIZES.map((engines, index) => [engines, round(costs[index] ?? 0)]),
    );
    ratios[`${kind}Growth`] = round((costs[costs.length - 1] ?? 0) / (costs[0] ?? 1));
  }
  const growths = Object.entries(ratios).map(([name, growth]) => atMost(name, MAX_GROWTH, growth));
  const longestMs = policies.longestPrompt?.[String(FLEET_SIZES[0])] ?? Infinity;
  return {
    policies,
    ratios,
    targets: [atMost('longestPromptMsAt60', MAX_LONGEST_MS, longestMs), ...growths],
  };
}

/** Processor time of a placement decision with 60, 170 and 600 engines. */
export const placementCost: Scenario = {
  name: 'placement-cost',
  description: 'processor time of one placement decision with 60, 170 and 600 engines',
  seconds: 0,
  run: ({ seed }) => Promise.resolve(run(seed)),
};
