/**
 * Predicts what a prompt, or a part of one, does to an engine: the time to its first token, and the pauses and first
 * tokens of all streams on that engine.
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
  type Generation,
  newRequest,
  prefillMs,
  runsRequest,
} from '@toucanbend/engine-model';
import { type Job, jobValue } from './job.js';
import { paceCost } from './pace-cost.js';

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
  /** Share of the engine's slots that its pace allows, in (0, 1]; 1 if undefined. */
  readonly pace?: number;
}

/** Predicted effect of sending a job to an engine. Losses and costs are in the unit of `jobValue`. */
export interface EnginePrediction {
  readonly server: string;
  /** Predicted time from now to the first event, in milliseconds. */
  readonly firstEventMs: number;
  /** Job value that this job is expected to lose by a late first event or a long pause. */
  readonly ownLoss: number;
  /** Job value that the other jobs on the engine are expected to lose through this job. */
  readonly lossOfOthers: number;
  /** Cost of the placement preferences. */
  readonly preferenceCost: number;
  /** Cost of a reduced pace of the engine, which only compares engines. */
  readonly paceCost: number;
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
 * Cost of a short prompt on an engine that runs no job with a pause limit as strict, as a share of value. It falls to 0 as
 * such jobs take `PACKED_SHARE` of the slots: they are packed, so that engines stay free for the next long prompts.
 */
const DISSIMILAR_ENGINE_COST = 0.15;
const PACKED_SHARE = 0.5;
/** A prompt counts as short if its prefill takes less than this share of the job's pause limit. */
const SHORT_PREFILL_SHARE = 0.5;
/** Cost of a pass as long as the job's pause limit, as a share of value; it spreads equal jobs over equal engines. */
const FILL_COST = 0.02;
/** Cost of taking an engine's last slot, as a share of value, since the ends of answers are not known exactly. */
const OCCUPANCY_COST = 0.22;
/** Cost of an affinity penalty of 1, as a share of value, so that simultaneous decisions choose different servers. */
const AFFINITY_COST = 0.02;
/** The same for a part that is prefilled for another engine; far below the cost of a delay there. */
const PART_AFFINITY_COST = 0.001;
/**
 * Costs that apply instead while load updates of other entries are missing, as shares of value. Jobs go to the engines
 * with the most free slots, and entries choose different engines. Handles the load after a restart of all entries, when
 * waiting callers reconnect at the same time.
 */
const PARTIAL_VIEW_OCCUPANCY_COST = 0.5;
const PARTIAL_VIEW_AFFINITY_COST = 0.05;
/** Cost per millisecond of round trip to another data centre, as a share of value. */
const DISTANCE_COST_PER_MS = 0.0005;

/**
 * Returns the risk that a limit is exceeded.
 *
 * @param elapsedMs - predicted time, in milliseconds
 * @param limitMs - the limit, in milliseconds
 * @returns a probability from 0 to 1
 */
export function latenessRisk(elapsedMs: number, limitMs: number): number {
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
  /** End of the last simulated pass. */
  readonly endsAtMs: number;
}

/** Returns whether a forecast has covered the added request and all prompts that it may delay. */
function isForecastOver(simulation: EngineSimulation, passesAfterStart: number): boolean {
  return passesAfterStart >= PASSES_AFTER_START && !simulation.hasBacklog;
}

/**
 * Simulates passes of an engine and records the largest loss of each job: until the prompts there and `added` have had
 * their first tokens, or up to `untilMs` if no request is added.
 */
function simulatePasses(
  candidate: EngineCandidate,
  start: EngineState,
  jobs: ReadonlyMap<string, PlacedJob>,
  added: EngineRequest | undefined,
  untilMs: number,
): SimulationResult {
  const { engine } = candidate;
  const losses = new Map<string, number>();
  const simulation = new EngineSimulation(engine, start, ExpectedEnd.Leaves);
  if (added !== undefined) {
    simulation.add(added);
  }
  let firstEventAtMs = Number.POSITIVE_INFINITY;
  let longestPassMs = 0;
  let passesAfterStart = 0;
  let generatedIds: string[] = [];
  let startedIds: string[] = [];
  const recordLoss = (id: string, loss: number): void => {
    if (loss > 0) {
      losses.set(id, Math.max(losses.get(id) ?? 0, loss));
    }
  };
  for (
    let passes = 0;
    passes < MAX_PASSES &&
    simulation.size > 0 &&
    simulation.passStartsAtMs < untilMs &&
    !isForecastOver(simulation, passesAfterStart);
    passes += 1
  ) {
    generatedIds = [];
    startedIds = [];
    const durationMs = simulation.runPass(
      (id) => generatedIds.push(id),
      (id) => startedIds.push(id),
    );
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
    if (firstEventAtMs < Infinity) {
      passesAfterStart += 1;
    } else if (added !== undefined && startedIds.includes(added.id)) {
      firstEventAtMs = simulation.passStartsAtMs;
    }
  }
  return { losses, firstEventAtMs, longestPassMs, endsAtMs: simulation.passStartsAtMs };
}

function sumLosses(losses: ReadonlyMap<string, number>): number {
  let sum = 0;
  for (const loss of losses.values()) {
    sum += loss;
  }
  return sum;
}

/** Counts the jobs that run on an engine and whose pause limit is at most that of the given job. */
function countSimilarJobs(candidate: EngineCandidate, job: Job): number {
  let count = 0;
  for (const placed of candidate.jobs.values()) {
    const { generation, targetPauseMs } = placed.job;
    const isSimilar =
      generation !== undefined && runsRequest(generation) && targetPauseMs <= job.targetPauseMs;
    count += isSimilar ? 1 : 0;
  }
  return count;
}

/** Share by which an engine has fewer jobs with strict pause limits than an engine that is reserved for them. */
function dissimilarity(candidate: EngineCandidate, job: Job): number {
  const packedJobs = Math.max(1, PACKED_SHARE * candidate.engine.slots);
  return Math.max(0, 1 - countSimilarJobs(candidate, job) / packedJobs);
}

/** Cost of using an engine in addition to losses, as a share of the job's value. */
function preferenceShare(
  candidate: EngineCandidate,
  job: Job,
  generation: Generation,
  longestPassMs: number,
): number {
  const fill = Math.min(1, longestPassMs / Math.max(1, job.targetPauseMs));
  const sharedCost = FILL_COST * fill * fill + DISTANCE_COST_PER_MS * candidate.roundTripMs;
  if (!runsRequest(generation)) {
    return sharedCost + PART_AFFINITY_COST * candidate.affinityPenalty;
  }
  const running = candidate.state.requests.filter(runsRequest).length;
  const occupancy = (running + 1) / Math.max(1, candidate.engine.slots);
  if (candidate.hasPartialLoadView) {
    return PARTIAL_VIEW_OCCUPANCY_COST * occupancy + PARTIAL_VIEW_AFFINITY_COST * candidate.affinityPenalty;
  }
  const prefillingMs = prefillMs(candidate.engine, 0, generation.promptTokens);
  const isShort = generation.part === undefined && prefillingMs < SHORT_PREFILL_SHARE * job.targetPauseMs;
  return (
    sharedCost +
    (isShort ? DISSIMILAR_ENGINE_COST * dissimilarity(candidate, job) : 0) +
    OCCUPANCY_COST * occupancy ** 4 +
    AFFINITY_COST * candidate.affinityPenalty
  );
}

/** Cost of a reduced pace, as a share of the job's value. */
function paceShare({ pace = 1, state, engine }: EngineCandidate): number {
  return pace >= 1 ? 0 : paceCost(pace, state.requests.filter(runsRequest).length, engine.slots);
}

/**
 * Predicts the effect of sending a job to an engine.
 *
 * @param candidate - the engine and its current jobs
 * @param job - the job to place, or the engine's share of it
 * @param generation - the prompt of the job, or the engine's part of it
 * @param nowMs - the current time, in milliseconds
 * @returns the prediction
 */
export function predictPlacement(
  candidate: EngineCandidate,
  job: Job,
  generation: Generation,
  nowMs: number,
): EnginePrediction {
  const { engine } = candidate;
  const state = advanceEngine(engine, candidate.state, nowMs);
  const jobs = new Map(candidate.jobs).set(job.id, unplacedJob(job));
  const withJob = simulatePasses(candidate, state, jobs, newRequest(job.id, generation), Infinity);
  const ownLoss = withJob.losses.get(job.id) ?? 0;
  const lossOfOthers = sumLosses(withJob.losses) - ownLoss;
  // Losses that the other jobs would have without this job are not part of its cost.
  const baselineLoss =
    lossOfOthers > 0
      ? sumLosses(simulatePasses(candidate, state, candidate.jobs, undefined, withJob.endsAtMs).losses)
      : 0;
  return {
    server: candidate.server,
    paceCost: paceShare(candidate) * jobValue(job),
    firstEventMs: withJob.firstEventAtMs + candidate.roundTripMs - nowMs,
    ownLoss,
    lossOfOthers: Math.max(0, lossOfOthers - baselineLoss),
    preferenceCost: preferenceShare(candidate, job, generation, withJob.longestPassMs) * jobValue(job),
  };
}
