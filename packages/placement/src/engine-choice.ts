/**
 * Chooses an engine for a prompt by the predicted time to its first token and the predicted pauses of all streams on
 * that engine.
 *
 * Handles long prompts that arrive among many short ones: a long prefill lengthens the passes of its engine, so that
 * every stream there pauses for longer than its pause limit.
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
import { type Job, jobValue } from './job.js';

/** A job that was sent to a server, with the state of its answer. */
export interface PlacedJob {
  readonly job: Job;
  /** The entry that placed it. */
  readonly owner: string;
  /** Whether the answer has already missed its target or pause limit; further lateness adds no loss. */
  readonly isLate: boolean;
}

/**
 * Wraps a job that is not on any server yet, so that its loss can be predicted like that of placed jobs.
 *
 * @param job - the job to wrap
 * @returns a placed job with an empty owner that is not late
 */
export function unplacedJob(job: Job): PlacedJob {
  return { job, owner: '', isLate: false };
}

/** An engine that may be chosen for a prompt. */
export interface EngineCandidate {
  readonly server: string;
  /** Published parameters, scaled by the slowdown measured at this engine. */
  readonly engine: EngineParameters;
  readonly state: EngineState;
  readonly jobs: ReadonlyMap<string, PlacedJob>;
  /** Network round-trip time to the server, in milliseconds. */
  readonly roundTripMs: number;
  /** From 0 to 1; among servers of equal cost, this entry prefers the one with the lowest value. */
  readonly affinityPenalty: number;
  /** Whether some other entries place jobs without this entry receiving their load updates. */
  readonly hasPartialLoadView: boolean;
}

/** Predicted effect of sending a job to an engine. */
export interface EnginePrediction {
  readonly server: string;
  /** Predicted time from now to the first event, in milliseconds. */
  readonly firstEventMs: number;
  /** Duration of the longest simulated pass, in milliseconds. */
  readonly longestPassMs: number;
  /** Job value that is expected to be lost, of this job and of the jobs on the engine. */
  readonly cost: number;
  /** Part of the cost that is not this job's own loss: loss of other jobs, and placement preferences. */
  readonly externalCost: number;
}

/** Maximum number of passes that a prediction simulates; enough for the longest prompt that fits into memory. */
const MAX_PASSES = 400;
/** Passes simulated after the first token, in which prefills of other prompts may still delay the new stream. */
const PASSES_AFTER_START = 3;
/** Share of a limit at which the risk of lateness starts; predictions are off by about a fifth. */
const RISK_STARTS_AT = 0.7;
/** Share of a limit from which lateness counts as certain. */
const RISK_ENDS_AT = 1.15;
/** Share of its value that a job loses when it misses its target or its pause limit. */
export const LATE_LOSS = 0.8;
/**
 * Cost of a short prompt on an engine that runs no job with a pause limit as strict, as a share of value. It keeps such
 * engines free for the next long prompt.
 */
const DISSIMILAR_ENGINE_COST = 0.15;
/** A prompt counts as short if no simulated pass takes as long as this share of the job's pause limit. */
const SHORT_PREFILL_SHARE = 0.5;
/** Cost of a pass as long as the job's pause limit, as a share of value; it spreads equal jobs over equal engines. */
const FILL_COST = 0.02;
/** Cost of taking an engine's last slot, as a share of value, since the ends of answers are not known exactly. */
const OCCUPANCY_COST = 0.22;
/** Cost of an affinity penalty of 1, as a share of value, so that simultaneous decisions choose different servers. */
const AFFINITY_COST = 0.02;
/**
 * Costs that apply instead while load updates of other entries are missing, as shares of value. Jobs go to the engines
 * with the most free slots, and entries choose different engines. Handles the load after a restart of all entries, when
 * waiting callers reconnect at the same time.
 */
const PARTIAL_VIEW_OCCUPANCY_COST = 0.5;
const PARTIAL_VIEW_AFFINITY_COST = 0.05;
/** Cost per millisecond of round trip to another data centre, as a share of value. */
const DISTANCE_COST_PER_MS = 0.0005;

function latenessRisk(elapsedMs: number, limitMs: number): number {
  const share = elapsedMs / Math.max(1, limitMs);
  return Math.min(1, Math.max(0, (share - RISK_STARTS_AT) / (RISK_ENDS_AT - RISK_STARTS_AT)));
}

/** Returns the value that a placed job is expected to lose by a pause in its stream. */
function pauseLoss(placed: PlacedJob, pauseMs: number): number {
  const { job, isLate } = placed;
  return isLate ? 0 : latenessRisk(pauseMs, job.targetPauseMs) * LATE_LOSS * jobValue(job);
}

/**
 * Returns the value that a placed job is expected to lose if its first event arrives at a given time. Missing the
 * target loses `LATE_LOSS` of the value; the rest is lost linearly between the target and the deadline.
 *
 * @param placed - the placed job
 * @param firstEventAtMs - time at which the event reaches the entry, in milliseconds
 * @returns the expected loss, in the unit of `jobValue`
 */
export function lateStartLoss(placed: PlacedJob, firstEventAtMs: number): number {
  const { job, isLate } = placed;
  const elapsedMs = firstEventAtMs - job.arrivedAtMs;
  const slackMs = Math.max(1, job.deadlineAtMs - job.arrivedAtMs - job.targetMs);
  const delay = Math.min(1, Math.max(0, (elapsedMs - job.targetMs) / slackMs));
  const lateness = isLate ? 0 : LATE_LOSS * latenessRisk(elapsedMs, job.targetMs);
  return (lateness + (1 - LATE_LOSS) * delay) * jobValue(job);
}

interface SimulationResult {
  /** Value lost by each job, by job id; jobs without loss are absent. */
  readonly losses: ReadonlyMap<string, number>;
  /** Time at which the added request has its first token; infinite if that does not happen within the simulation. */
  readonly firstEventAtMs: number;
  readonly longestPassMs: number;
  /** Number of passes that were simulated. */
  readonly passes: number;
}

/**
 * Simulates passes of an engine, with an additional request if one is given, and records the largest loss of each job.
 */
function simulatePasses(
  candidate: EngineCandidate,
  start: EngineState,
  jobs: ReadonlyMap<string, PlacedJob>,
  added: EngineRequest | undefined,
  passLimit: number,
): SimulationResult {
  const { engine } = candidate;
  const losses = new Map<string, number>();
  const simulation = new EngineSimulation(engine, start, ExpectedEnd.Leaves);
  if (added !== undefined) {
    simulation.add(added);
  }
  let firstEventAtMs = Number.POSITIVE_INFINITY;
  let longestPassMs = 0;
  let passes = 0;
  let passesLeft = passLimit;
  let generatedIds: string[] = [];
  let startedIds: string[] = [];
  const recordLoss = (id: string, loss: number): void => {
    if (loss > 0) {
      losses.set(id, Math.max(losses.get(id) ?? 0, loss));
    }
  };
  while (passesLeft > 0 && simulation.size > 0) {
    generatedIds = [];
    startedIds = [];
    const durationMs = simulation.runPass(
      (id) => generatedIds.push(id),
      (id) => startedIds.push(id),
    );
    passes += 1;
    passesLeft -= 1;
    longestPassMs = Math.max(longestPassMs, durationMs);
    for (const id of generatedIds) {
      const placed = jobs.get(id);
      recordLoss(id, placed === undefined ? 0 : pauseLoss(placed, durationMs));
    }
    for (const id of startedIds) {
      const placed = jobs.get(id);
      recordLoss(
        id,
        placed === undefined ? 0 : lateStartLoss(placed, simulation.passStartsAtMs + candidate.roundTripMs),
      );
    }
    if (added !== undefined && startedIds.includes(added.id)) {
      firstEventAtMs = simulation.passStartsAtMs;
      passesLeft = Math.min(passesLeft, PASSES_AFTER_START);
    }
  }
  return { losses, firstEventAtMs, longestPassMs, passes };
}

function sumLosses(losses: ReadonlyMap<string, number>): number {
  let sum = 0;
  for (const loss of losses.values()) {
    sum += loss;
  }
  return sum;
}

/** Returns whether an engine runs a job whose pause limit is at most that of the given job. */
function hasSimilarJob(candidate: EngineCandidate, job: Job): boolean {
  for (const placed of candidate.jobs.values()) {
    if (placed.job.targetPauseMs <= job.targetPauseMs) {
      return true;
    }
  }
  return false;
}

/**
 * Predicts the time to the first event and the cost of sending a job to an engine.
 *
 * @param candidate - the engine and its current jobs
 * @param job - the job to place
 * @param nowMs - the current time, in milliseconds
 * @returns the prediction; undefined for a call of a plain service
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
  const jobs = new Map(candidate.jobs).set(job.id, unplacedJob(job));
  const withJob = simulatePasses(candidate, state, jobs, newRequest(job.id, job.generation), MAX_PASSES);
  const ownLoss = withJob.losses.get(job.id) ?? 0;
  const lossOfOthers = sumLosses(withJob.losses) - ownLoss;
  // Losses that the other jobs would have without this job are not part of its cost.
  const baselineLoss =
    lossOfOthers > 0
      ? sumLosses(simulatePasses(candidate, state, candidate.jobs, undefined, withJob.passes).losses)
      : 0;
  const value = jobValue(job);
  const fill = Math.min(1, withJob.longestPassMs / Math.max(1, job.targetPauseMs));
  const isShort = withJob.longestPassMs < SHORT_PREFILL_SHARE * job.targetPauseMs;
  const occupancy = (state.requests.length + 1) / Math.max(1, engine.slots);
  const preferenceCost = candidate.hasPartialLoadView
    ? PARTIAL_VIEW_OCCUPANCY_COST * occupancy + PARTIAL_VIEW_AFFINITY_COST * candidate.affinityPenalty
    : (isShort && !hasSimilarJob(candidate, job) ? DISSIMILAR_ENGINE_COST : 0) +
      FILL_COST * fill * fill +
      OCCUPANCY_COST * occupancy ** 4 +
      AFFINITY_COST * candidate.affinityPenalty +
      DISTANCE_COST_PER_MS * candidate.roundTripMs;
  const externalCost = lossOfOthers - baselineLoss + preferenceCost * value;
  return {
    server: candidate.server,
    firstEventMs: withJob.firstEventAtMs + candidate.roundTripMs - nowMs,
    longestPassMs: withJob.longestPassMs,
    cost: externalCost + ownLoss,
    externalCost,
  };
}

/**
 * Chooses the engine on which the job has the lowest cost.
 *
 * @param candidates - engines to choose from
 * @param job - the job to place
 * @param nowMs - the current time, in milliseconds
 * @returns the prediction for that engine; undefined without candidates or for a call of a plain service
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
