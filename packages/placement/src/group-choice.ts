/**
 * The choice of several engines that prefill one prompt together.
 *
 * Answers the load pattern of the longest prompts: one that does not fit into the memory of an engine could never be
 * served by one, and one that takes most of its target to prefill comes late wherever it meets other work.
 */
import { advanceEngine, type Generation, neededTokens } from '@toucanbend/engine-model';
import { type BackendServer } from '@toucanbend/registry';
import {
  type EngineCandidate,
  type EnginePrediction,
  lossOfStart,
  unplaced,
  predictPlacement,
} from './engine-choice.js';
import { type Job, valueOf } from './job.js';

/** Several engines for one prompt. */
export interface GroupPrediction {
  /** The engine that gets the request. */
  readonly first: string;
  /** Engines that prefill parts beside it. */
  readonly helpers: readonly string[];
  /** Tokens of the prompt that each engine prefills, and keeps where memory is set aside for them. */
  readonly partTokens: number;
  readonly firstEventMs: number;
  readonly cost: number;
  /** The part of the cost that others bear. */
  readonly harm: number;
}

/** Numbers of engines that are tried; more of them meet more other work. */
const GROUP_SIZES: readonly number[] = [2, 3, 4, 6, 8];
/** Share of an engine's memory that parts may fill beside what runs there. */
const MEMORY_SHARE = 0.95;
/** Cost of each helper as a share of value: orders, and more engines whose failure breaks the request. */
const HELPER_COST = 0.01;

function partOf(job: Job, partTokens: number): Job {
  const { generation } = job;
  return generation === undefined
    ? job
    : {
        ...job,
        generation: { ...generation, promptTokens: partTokens, wholeTokens: generation.promptTokens },
      };
}

/** The work of a job at one server. */
export interface JobShare {
  readonly server: BackendServer;
  readonly job: Job;
}

/**
 * Gives the work of a job at each server that takes part in it.
 *
 * @param job - the job
 * @param server - the server that gets the request
 * @param helpers - servers that prefill parts of the prompt
 * @returns the whole job, or a part of its prompt at each server under a name of its own
 */
export function sharesOf(
  job: Job,
  server: BackendServer,
  helpers: readonly { readonly server: BackendServer; readonly partTokens: number }[],
): JobShare[] {
  const partTokens = helpers[0]?.partTokens;
  if (partTokens === undefined) {
    return [{ server, job }];
  }
  const part = partOf(job, partTokens);
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
  const part = partOf(job, partTokens);
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
  const harm = predictions.reduce((sum, prediction) => sum + prediction.harm, 0);
  return {
    first: first.server,
    helpers: helpers.map((prediction) => prediction.server),
    partTokens,
    firstEventMs,
    harm,
    cost: harm + lossOfStart(unplaced(job), nowMs + firstEventMs) + HELPER_COST * size * valueOf(job),
  };
}

/**
 * Chooses engines that prefill a prompt together.
 *
 * @param candidates - engines that may take a part
 * @param job - the job
 * @param nowMs - now
 * @returns the best group, or undefined where too few engines have room
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
