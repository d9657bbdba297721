/**
 * Chooses several engines that prefill one prompt together.
 *
 * Handles the longest prompts: one that does not fit into the memory of an engine can never be served by a single
 * engine, and one whose prefill takes most of its target time is late on any engine that has other work.
 */
import { advanceEngine, type Generation, neededTokens } from '@toucanbend/engine-model';
import { type BackendServer } from '@toucanbend/registry';
import {
  type EngineCandidate,
  type EnginePrediction,
  lateStartLoss,
  unplacedJob,
  predictPlacement,
} from './engine-choice.js';
import { type Job, jobValue } from './job.js';

/** Predicted effect of prefilling a prompt on several engines. */
export interface GroupPrediction {
  /** Id of the server that gets the request. */
  readonly first: string;
  /** Ids of the servers that prefill the other parts. */
  readonly helpers: readonly string[];
  /** Prompt tokens that each engine prefills, and keeps in memory if memory is reserved for them. */
  readonly partTokens: number;
  /** Predicted time from now to the first event, in milliseconds; the slowest engine decides. */
  readonly firstEventMs: number;
  /** Job value that is expected to be lost, of this job and of the jobs on all engines of the group. */
  readonly cost: number;
  /** Part of the cost that is not this job's own loss: loss of other jobs, and placement preferences. */
  readonly externalCost: number;
}

/** Group sizes that are compared; larger groups share engines with more other jobs. */
const GROUP_SIZES: readonly number[] = [2, 3, 4, 6, 8];
/** Share of an engine's memory that a part may fill together with the requests already there. */
const MEMORY_SHARE = 0.95;
/** Cost per engine as a share of value: memory orders, and one more engine whose failure breaks the request. */
const HELPER_COST = 0.01;

function partialJob(job: Job, partTokens: number): Job {
  const { generation } = job;
  return generation === undefined
    ? job
    : {
        ...job,
        generation: { ...generation, promptTokens: partTokens, wholeTokens: generation.promptTokens },
      };
}

/** The work of a job that runs on one server. */
export interface JobShare {
  readonly server: BackendServer;
  readonly job: Job;
}

/**
 * Splits a job into the shares of the servers that work on it.
 *
 * @param job - the job to split
 * @param server - the server that gets the request
 * @param helpers - servers that prefill parts of the prompt
 * @returns the unchanged job if there are no helpers; otherwise a share of the prompt per server, each with its own id
 */
export function splitJob(
  job: Job,
  server: BackendServer,
  helpers: readonly { readonly server: BackendServer; readonly partTokens: number }[],
): JobShare[] {
  const partTokens = helpers[0]?.partTokens;
  if (partTokens === undefined) {
    return [{ server, job }];
  }
  const part = partialJob(job, partTokens);
  return [server, ...helpers.map((helper) => helper.server)].map((share, index) => ({
    server: share,
    job: index === 0 ? part : { ...part, id: `${job.id}/${String(index)}` },
  }));
}

function predictGroup(
  candidates: readonly EngineCandidate[],
  job: Job,
  generation: Generation,
  size: number,
  nowMs: number,
): GroupPrediction | undefined {
  const partTokens = Math.ceil(generation.promptTokens / size);
  const part = partialJob(job, partTokens);
  const predictions = candidates
    .filter((candidate) => {
      const state = advanceEngine(candidate.engine, candidate.state, nowMs);
      const tokens = neededTokens(state) + partTokens + generation.answerTokens;
      return tokens <= MEMORY_SHARE * candidate.engine.memoryTokens;
    })
    .map((candidate) => predictPlacement(candidate, part, nowMs))
    .filter((prediction): prediction is EnginePrediction => prediction !== undefined)
    .sort((left, right) => left.cost - right.cost)
    .slice(0, size);
  const [first, ...helpers] = predictions;
  if (first === undefined || predictions.length < size) {
    return undefined;
  }
  const firstEventMs = Math.max(...predictions.map((prediction) => prediction.firstEventMs));
  const externalCost = predictions.reduce((sum, prediction) => sum + prediction.externalCost, 0);
  return {
    first: first.server,
    helpers: helpers.map((prediction) => prediction.server),
    partTokens,
    firstEventMs,
    externalCost,
    cost:
      externalCost +
      lateStartLoss(unplacedJob(job), nowMs + firstEventMs) +
      HELPER_COST * size * jobValue(job),
  };
}

/**
 * Chooses the group of engines that prefills a prompt at the lowest cost.
 *
 * @param candidates - engines to choose from
 * @param job - the job to place
 * @param nowMs - the current time, in milliseconds
 * @returns the best group; undefined if too few engines have enough free memory, or for a call of a plain service
 */
export function chooseGroup(
  candidates: readonly EngineCandidate[],
  job: Job,
  nowMs: number,
): GroupPrediction | undefined {
  const { generation } = job;
  if (generation === undefined) {
    return undefined;
  }
  let best: GroupPrediction | undefined;
  for (const size of GROUP_SIZES) {
    const group = predictGroup(candidates, job, generation, size, nowMs);
    if (group !== undefined && (best === undefined || group.cost < best.cost)) {
      best = group;
    }
  }
  return best;
}
