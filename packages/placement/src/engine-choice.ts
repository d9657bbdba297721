/**
 * The choice of an engine for a prompt, by the effect on its first token and on the pauses of all that run there.
 *
 * Answers the load pattern of long prompts arriving beside many short ones: a long prefill lengthens the passes of
 * its engine, so that every stream there pauses for longer than its callers accept.
 */
import {
  advanceEngine,
  type EngineParameters,
  type EngineRequest,
  EngineSimulation,
  type EngineState,
  ExpectedEnd,
  newRequest,
} from '@toucanbend/engine-model';
import { type Job, valueOf } from './job.js';

/** A job at an engine, and what is known of its answer so far. */
export interface PlacedJob {
  readonly job: Job;
  /** The entry that placed it. */
  readonly owner: string;
  /** Whether its answer is late already; further delay costs nothing more. */
  readonly isLate: boolean;
}

/**
 * Describes a job that no server has yet.
 *
 * @param job - the job
 * @returns the job as a placed one without an owner
 */
export function unplaced(job: Job): PlacedJob {
  return { job, owner: '', isLate: false };
}

/** An engine that may take a prompt. */
export interface EngineCandidate {
  readonly server: string;
  /** Parameters at the speed that the engine is known to have. */
  readonly engine: EngineParameters;
  readonly state: EngineState;
  readonly jobs: ReadonlyMap<string, PlacedJob>;
  /** Time for bytes to the server and back, in milliseconds. */
  readonly roundTripMs: number;
  /** From 0 to 1: how little this entry prefers the server to others that are as good. */
  readonly strangeness: number;
  /** Whether other entries place work there that this one does not hear of. */
  readonly isBlind: boolean;
}

/** What is expected of a placement. */
export interface EnginePrediction {
  readonly server: string;
  /** Expected time from now to the first event, in milliseconds. */
  readonly firstEventMs: number;
  /** Longest pass while the prompt is prefilled, in milliseconds. */
  readonly longestPassMs: number;
  /** Value that is expected to be lost, of this job and of those that run there. */
  readonly cost: number;
  /** The part of the cost that others bear. */
  readonly harm: number;
}

/** Passes that a prediction looks ahead at most; enough for the longest prompt that fits into memory. */
const MAX_PASSES = 400;
/** Passes after the first token in which further prefills may still delay the new stream. */
const PASSES_AFTER_START = 3;
/** Share of a limit at which lateness becomes possible: predictions are off by about a fifth. */
const RISK_STARTS_AT = 0.7;
/** Share of a limit at which lateness is certain. */
const RISK_ENDS_AT = 1.15;
/** Share of its value that a job loses when it comes late. */
export const LATE_LOSS = 0.8;
/**
 * Cost of a short prompt on an engine without others of its kind, which the next long prompt would need, as a share of
 * value.
 */
const UNLIKE_ENGINE_COST = 0.15;
/** Prompts whose prefill takes less than this share of their pause limit count as short. */
const SHORT_PREFILL_SHARE = 0.5;
/** Weight of how full a pass is, which spreads equal work over equal engines. */
const FILL_COST = 0.02;
/** Cost of the last slot of an engine, as a share of value: the ends of answers are not known exactly. */
const OCCUPANCY_COST = 0.22;
/** Cost of a server that other entries prefer, as a share of value: entries that decide at once go apart. */
const AFFINITY_COST = 0.02;
/**
 * Costs while other entries are not heard, as shares of value: work goes to the emptiest engines, and entries go apart.
 * Answers the load pattern after all entries were restarted at once, when those that wait come back together.
 */
const BLIND_OCCUPANCY_COST = 0.5;
const BLIND_AFFINITY_COST = 0.05;
/** Cost of bytes between data centres, as a share of value. */
const DISTANCE_COST_PER_MS = 0.0005;

function riskOf(elapsedMs: number, limitMs: number): number {
  const share = elapsedMs / Math.max(1, limitMs);
  return Math.min(1, Math.max(0, (share - RISK_STARTS_AT) / (RISK_ENDS_AT - RISK_STARTS_AT)));
}

/** What a placed job loses by a pause in its stream. */
function lossOfPause(placed: PlacedJob, pauseMs: number): number {
  const { job, isLate } = placed;
  return isLate ? 0 : riskOf(pauseMs, job.targetPauseMs) * LATE_LOSS * valueOf(job);
}

/**
 * Gives what a placed job loses if its first event comes at a time: most of its value once it is late, and the rest
 * bit by bit until its caller stops waiting.
 *
 * @param placed - the job
 * @param firstEventAtMs - when the event reaches the entry
 * @returns value that is expected to be lost
 */
export function lossOfStart(placed: PlacedJob, firstEventAtMs: number): number {
  const { job, isLate } = placed;
  const elapsedMs = firstEventAtMs - job.arrivedAtMs;
  const patienceMs = Math.max(1, job.deadlineAtMs - job.arrivedAtMs - job.targetMs);
  const delay = Math.min(1, Math.max(0, (elapsedMs - job.targetMs) / patienceMs));
  const lateness = isLate ? 0 : LATE_LOSS * riskOf(elapsedMs, job.targetMs);
  return (lateness + (1 - LATE_LOSS) * delay) * valueOf(job);
}

interface Outlook {
  /** Value lost by each job, by its name. */
  readonly losses: ReadonlyMap<string, number>;
  readonly firstEventAtMs: number;
  readonly longestPassMs: number;
  readonly passes: number;
}

/** Runs an engine ahead and adds up what its jobs lose. */
function lookAhead(
  candidate: EngineCandidate,
  start: EngineState,
  jobs: ReadonlyMap<string, PlacedJob>,
  added: EngineRequest | undefined,
  passLimit: number,
): Outlook {
  const { engine } = candidate;
  const losses = new Map<string, number>();
  const run = new EngineSimulation(engine, start, ExpectedEnd.Leaves);
  if (added !== undefined) {
    run.add(added);
  }
  let firstEventAtMs = Number.POSITIVE_INFINITY;
  let longestPassMs = 0;
  let passes = 0;
  let passesLeft = passLimit;
  let generated: string[] = [];
  let started: string[] = [];
  const lose = (id: string, loss: number): void => {
    if (loss > 0) {
      losses.set(id, Math.max(losses.get(id) ?? 0, loss));
    }
  };
  while (passesLeft > 0 && run.size > 0) {
    generated = [];
    started = [];
    const durationMs = run.runPass(
      (id) => generated.push(id),
      (id) => started.push(id),
    );
    passes += 1;
    passesLeft -= 1;
    longestPassMs = Math.max(longestPassMs, durationMs);
    for (const id of generated) {
      const placed = jobs.get(id);
      lose(id, placed === undefined ? 0 : lossOfPause(placed, durationMs));
    }
    for (const id of started) {
      const placed = jobs.get(id);
      lose(id, placed === undefined ? 0 : lossOfStart(placed, run.passStartsAtMs + candidate.roundTripMs));
    }
    if (added !== undefined && started.includes(added.id)) {
      firstEventAtMs = run.passStartsAtMs;
      passesLeft = Math.min(passesLeft, PASSES_AFTER_START);
    }
  }
  return { losses, firstEventAtMs, longestPassMs, passes };
}

function total(losses: ReadonlyMap<string, number>): number {
  let sum = 0;
  for (const loss of losses.values()) {
    sum += loss;
  }
  return sum;
}

/** Tells whether jobs run at an engine that accept no longer pauses than a job does. */
function hasAlike(candidate: EngineCandidate, job: Job): boolean {
  for (const placed of candidate.jobs.values()) {
    if (placed.job.targetPauseMs <= job.targetPauseMs) {
      return true;
    }
  }
  return false;
}

/**
 * Predicts what a placement brings.
 *
 * @param candidate - the engine
 * @param job - the job, with its lengths
 * @param nowMs - now
 * @returns the prediction; undefined for a job without lengths
 */
export function predictPlacement(
  candidate: EngineCandidate,
  job: Job,
  nowMs: number,
): EnginePrediction | undefined {
  if (job.generation === undefined) {
    return undefined;
  }
  const { engine } = candidate;
  const state = advanceEngine(engine, candidate.state, nowMs);
  const jobs = new Map(candidate.jobs).set(job.id, unplaced(job));
  const withJob = lookAhead(candidate, state, jobs, newRequest(job.id, job.generation), MAX_PASSES);
  const ownLoss = withJob.losses.get(job.id) ?? 0;
  const othersLose = total(withJob.losses) - ownLoss;
  // What the others would lose anyway is not caused by this job.
  const unavoidable =
    othersLose > 0 ? total(lookAhead(candidate, state, candidate.jobs, undefined, withJob.passes).losses) : 0;
  const value = valueOf(job);
  const fill = Math.min(1, withJob.longestPassMs / Math.max(1, job.targetPauseMs));
  const isShort = withJob.longestPassMs < SHORT_PREFILL_SHARE * job.targetPauseMs;
  const occupancy = (state.requests.length + 1) / Math.max(1, engine.slots);
  const preference = candidate.isBlind
    ? BLIND_OCCUPANCY_COST * occupancy + BLIND_AFFINITY_COST * candidate.strangeness
    : (isShort && !hasAlike(candidate, job) ? UNLIKE_ENGINE_COST : 0) +
      FILL_COST * fill * fill +
      OCCUPANCY_COST * occupancy ** 4 +
      AFFINITY_COST * candidate.strangeness +
      DISTANCE_COST_PER_MS * candidate.roundTripMs;
  const harm = othersLose - unavoidable + preference * value;
  return {
    server: candidate.server,
    firstEventMs: withJob.firstEventAtMs + candidate.roundTripMs - nowMs,
    longestPassMs: withJob.longestPassMs,
    cost: harm + ownLoss,
    harm,
  };
}

/**
 * Chooses the engine whose jobs, with the new one, lose least.
 *
 * @param candidates - engines that may take the prompt
 * @param job - the job
 * @param nowMs - now
 * @returns the best prediction, or undefined where there is no engine
 */
export function chooseEngine(
  candidates: readonly EngineCandidate[],
  job: Job,
  nowMs: number,
): EnginePrediction | undefined {
  let best: EnginePrediction | undefined;
  for (const candidate of candidates) {
    const prediction = predictPlacement(candidate, job, nowMs);
    if (prediction !== undefined && (best === undefined || prediction.cost < best.cost)) {
      best = prediction;
    }
  }
  return best;
}
