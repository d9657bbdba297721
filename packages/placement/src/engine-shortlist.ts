/**
 * Selects the engines that a decision simulates.
 *
 * Handles fleets of hundreds of engines: simulating each of them for each request takes more processor time than a small
 * host has. The estimate reads the recorded load as it is, without advancing the model of the engine.
 */
import { type Generation, prefillNextMs, runsRequest } from '@toucanbend/engine-model';
import { type EngineCandidate, latenessRisk } from './engine-choice.js';
import { type Job, jobValue } from './job.js';

/** Cost of a taken slot relative to a free engine, as a share of the job's value. */
const OCCUPANCY_COST = 0.1;
/** Cost of an affinity penalty of 1, as a share of the job's value; it only orders engines of equal load. */
const AFFINITY_COST = 0.02;

/** Load of an engine as far as it concerns a new prompt. */
interface EngineLoad {
  /** Prefill work that is done before the prompt, in milliseconds. */
  readonly backlogMs: number;
  /** Number of requests that take a slot. */
  readonly running: number;
  /** Value of the jobs that would be late by a pass of a given duration. */
  readonly lossOfOthers: number;
}

function measureLoad(
  candidate: EngineCandidate,
  generation: Generation,
  passMs: number,
  nowMs: number,
): EngineLoad {
  const { engine, state, jobs } = candidate;
  const isPart = generation.part !== undefined;
  let backlogMs = state.requests.length === 0 ? 0 : state.passStartsAtMs - nowMs;
  let running = 0;
  let lossOfOthers = 0;
  for (const request of state.requests) {
    const leftTokens = request.promptTokens - request.prefilledTokens;
    if (leftTokens > 0 && (!isPart || request.part !== undefined)) {
      backlogMs += prefillNextMs(engine, request, request.prefilledTokens, leftTokens);
    }
    running += runsRequest(request) ? 1 : 0;
    const placed = jobs.get(request.id);
    if (placed !== undefined && !placed.isLate && leftTokens <= 0) {
      lossOfOthers += latenessRisk(passMs, placed.job.targetPauseMs) * jobValue(placed.job);
    }
  }
  return { backlogMs: Math.max(0, backlogMs), running, lossOfOthers };
}

/** Estimates the cost of a job on an engine, as a share of the job's value. */
function estimateCost(
  candidate: EngineCandidate,
  job: Job,
  generation: Generation,
  value: number,
  nowMs: number,
): number {
  const { engine, state, affinityPenalty } = candidate;
  const passTokens = Math.min(generation.promptTokens, engine.chunkTokens * engine.stepsPerPass);
  const passMs = state.lastPassMs + prefillNextMs(engine, generation, 0, passTokens);
  const { backlogMs, running, lossOfOthers } = measureLoad(candidate, generation, passMs, nowMs);
  const occupancy = runsRequest(generation) ? running / Math.max(1, engine.slots) : 0;
  return (
    lossOfOthers / value +
    backlogMs / Math.max(1, job.targetMs) +
    OCCUPANCY_COST * occupancy ** 2 +
    (occupancy >= 1 ? 1 : 0) +
    AFFINITY_COST * affinityPenalty
  );
}

/**
 * Selects the engines on which a job has the lowest estimated cost.
 *
 * @param candidates - engines to choose from
 * @param job - the job to place
 * @param generation - the prompt of the job, or one engine's part of it
 * @param size - number of engines to select
 * @param nowMs - the current time, in milliseconds
 * @returns at most `size` engines, the best first
 */
export function shortlistEngines(
  candidates: readonly EngineCandidate[],
  job: Job,
  generation: Generation,
  size: number,
  nowMs: number,
): readonly EngineCandidate[] {
  const value = jobValue(job);
  return candidates
    .map((candidate) => ({ candidate, cost: estimateCost(candidate, job, generation, value, nowMs) }))
    .sort((left, right) => left.cost - right.cost)
    .slice(0, size)
    .map(({ candidate }) => candidate);
}
