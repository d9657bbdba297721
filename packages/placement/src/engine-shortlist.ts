/**
 * Selects the engines that a decision simulates.
 *
 * Handles fleets of hundreds of engines: simulating each of them for each request takes more processor time than a small
 * host has. The estimate reads the recorded load as it is, without advancing the model of the engine.
 */
import { type EngineParameters, type Generation, prefillNextMs, runsRequest } from '@toucanbend/engine-model';
import { type EngineCandidate, latenessRisk } from './engine-choice.js';
import { type Job, jobValue } from './job.js';
import { paceCost } from './pace-cost.js';
import { type ServerLoad } from './load-tracker.js';
import { type ReadyServer } from './ready-servers.js';

/** Cost of a taken slot relative to a free engine, as a share of the job's value. */
const OCCUPANCY_COST = 0.1;
/** Cost of an affinity penalty of 1, as a share of the job's value; it only orders engines of equal load. */
const AFFINITY_COST = 0.02;

/** An engine with its load as it was recorded last. */
export interface RecordedEngine {
  readonly view: ReadyServer;
  readonly load: ServerLoad;
  /** Share of the engine's slots that its pace allows, in (0, 1]; 1 if undefined. */
  readonly pace?: number;
}

/** The candidates of a decision, and how to bring the recorded load of some of them up to date. */
export interface PromptCandidates {
  readonly engine: EngineParameters;
  /** All engines, with their load as it was recorded last. */
  readonly engines: readonly RecordedEngine[];
  /** Whether the prompt and its answer fit into the memory of one engine. */
  readonly fitsOneEngine: boolean;
  /** Advances the load of an engine to the current time. */
  readonly advance: (engine: RecordedEngine) => EngineCandidate;
}

/** A prompt, or one engine's part of it, for which engines are compared. */
interface EstimateInputs {
  readonly engine: EngineParameters;
  readonly job: Job;
  readonly generation: Generation;
  /** Value of the job. */
  readonly value: number;
  /** Time that the engine needs for as much of the prompt as one pass prefills, in milliseconds. */
  readonly passPrefillMs: number;
  readonly nowMs: number;
}

/** What an estimate needs of the load of an engine, at published speed. */
interface LoadSummary {
  /** Parameters with which the times were calculated. */
  readonly engine: EngineParameters;
  /** Time that the parts of shared prompts still need, in milliseconds. */
  readonly partBacklogMs: number;
  /** Time that all prompts still need, in milliseconds. */
  readonly backlogMs: number;
  /** Number of requests that take a slot. */
  readonly running: number;
  /** Number of these whose end will be reported. */
  readonly observed: number;
  /** Strictest pause limit of a stream that may still be on time, in milliseconds. */
  readonly strictestPauseMs: number;
  /** Value of these streams. */
  readonly streamValue: number;
}

/** Summaries by load; a load is never modified. */
const summaries = new WeakMap<ServerLoad, LoadSummary>();

function summarize(engine: EngineParameters, load: ServerLoad): LoadSummary {
  let partBacklogMs = 0;
  let backlogMs = 0;
  let running = 0;
  let observed = 0;
  let strictestPauseMs = Infinity;
  let streamValue = 0;
  for (const request of load.engineState.requests) {
    running += runsRequest(request) ? 1 : 0;
    observed += runsRequest(request) && request.isUnobserved !== true ? 1 : 0;
    const leftTokens = request.promptTokens - request.prefilledTokens;
    if (leftTokens > 0) {
      const leftMs = prefillNextMs(engine, request, request.prefilledTokens, leftTokens);
      backlogMs += leftMs;
      partBacklogMs += request.part === undefined ? 0 : leftMs;
      continue;
    }
    const placed = load.jobs.get(request.id);
    if (placed !== undefined && !placed.isLate) {
      strictestPauseMs = Math.min(strictestPauseMs, placed.job.targetPauseMs);
      streamValue += jobValue(placed.job);
    }
  }
  return { engine, partBacklogMs, backlogMs, running, observed, strictestPauseMs, streamValue };
}

function summaryOf(engine: EngineParameters, load: ServerLoad): LoadSummary {
  const known = summaries.get(load);
  if (known?.engine === engine) {
    return known;
  }
  const summary = summarize(engine, load);
  summaries.set(load, summary);
  return summary;
}

/**
 * Returns the number of requests that take a slot at an engine, or wait there for one. A request whose end will not be
 * reported is not counted, since the record of an engine drops it only when it is brought up to date.
 *
 * @param engine - published parameters of the engine
 * @param load - its recorded load
 * @returns the number
 */
export function runningRequests(engine: EngineParameters, load: ServerLoad): number {
  return summaryOf(engine, load).observed;
}

/** Estimates the cost of a job on an engine, as a share of the job's value. */
function estimateCost(inputs: EstimateInputs, { view, load, pace = 1 }: RecordedEngine): number {
  const { engine, job, generation, value, passPrefillMs, nowMs } = inputs;
  const { engineState: state, slowdown } = load;
  const { partBacklogMs, backlogMs, running, strictestPauseMs, streamValue } = summaryOf(engine, load);
  const isPart = generation.part !== undefined;
  const passMs = state.lastPassMs + slowdown * passPrefillMs;
  const beforeMs = slowdown * (isPart ? partBacklogMs : backlogMs);
  const waitMs = state.requests.length === 0 ? 0 : Math.max(0, state.passStartsAtMs - nowMs + beforeMs);
  const occupancy = isPart && !runsRequest(generation) ? 0 : running / Math.max(1, engine.slots);
  return (
    (latenessRisk(passMs, strictestPauseMs) * streamValue) / value +
    waitMs / Math.max(1, job.targetMs) +
    OCCUPANCY_COST * occupancy ** 2 +
    (occupancy >= 1 ? 1 : 0) +
    paceCost(pace, running, engine.slots) +
    AFFINITY_COST * view.affinityPenalty
  );
}

/** The engines of lowest cost so far, the best first. */
class BestEngines {
  readonly #size: number;
  readonly #costs: number[] = [];
  readonly engines: RecordedEngine[] = [];

  constructor(size: number) {
    this.#size = size;
  }

  add(engine: RecordedEngine, cost: number): void {
    let index = this.#costs.length;
    if (index >= this.#size && cost >= (this.#costs[index - 1] ?? 0)) {
      return;
    }
    while (index > 0 && cost < (this.#costs[index - 1] ?? 0)) {
      index -= 1;
    }
    this.#costs.splice(index, 0, cost);
    this.engines.splice(index, 0, engine);
    this.#costs.length = Math.min(this.#costs.length, this.#size);
    this.engines.length = this.#costs.length;
  }
}

/**
 * Selects the engines on which a job has the lowest estimated cost.
 *
 * @param engine - published parameters of the engines
 * @param engines - engines to choose from
 * @param job - the job to place
 * @param generation - the prompt of the job, or one engine's part of it
 * @param size - number of engines to select
 * @param nowMs - the current time, in milliseconds
 * @returns at most `size` engines, the best first
 */
export function shortlistEngines(
  engine: EngineParameters,
  engines: readonly RecordedEngine[],
  job: Job,
  generation: Generation,
  size: number,
  nowMs: number,
): readonly RecordedEngine[] {
  const passTokens = Math.min(generation.promptTokens, engine.chunkTokens * engine.stepsPerPass);
  const passPrefillMs = prefillNextMs(engine, generation, 0, passTokens);
  const inputs = { engine, job, generation, value: jobValue(job), passPrefillMs, nowMs };
  const best = new BestEngines(size);
  for (const candidate of engines) {
    best.add(candidate, estimateCost(inputs, candidate));
  }
  return best.engines;
}
