/**
 * Predicts the effect of a prompt on several engines that prefill it together.
 *
 * Handles bursts of the longest prompts: parts of a prompt fit into ordinary passes of engines without short streams.
 */
import { advanceEngine, type Generation, neededTokens, PartRole } from '@toucanbend/engine-model';
import {
  type EngineCandidate,
  type EnginePrediction,
  lateStartLoss,
  predictPlacement,
  unplacedJob,
} from './engine-choice.js';
import { type PromptCandidates, shortlistEngines } from './engine-shortlist.js';
import { type Job, jobValue } from './job.js';
import { cheapest, delayCost, INTERRUPTED_DELAY_COST, type PromptPlacement } from './prompt-placement.js';

/** Group sizes that are compared; engines accept 16 helpers at most. */
export const GROUP_SIZES: readonly number[] = [2, 3, 4, 6, 8, 12, 16];
/** Group size whose parts are simulated to rank the engines. */
const RANKING_SIZE = 6;
/** Number of engines that are simulated as leader of a group. */
const LEADER_SHORTLIST_SIZE = 2;
/** Share of an engine's memory that prompts and answers may fill; the rest is lost to its granularity. */
export const USABLE_MEMORY_SHARE = 0.97;
/** Cost per helper as a share of value: one more engine whose failure breaks the request. */
const HELPER_COST = 0.001;
/** Cost per helper that keeps its part, as a share of value: memory orders, and its part is needed to the end. */
const HOLDER_COST = 0.01;

/** Returns whether an engine has free memory for this many tokens beside the requests it has. */
function hasFreeMemory(candidate: EngineCandidate, tokens: number, nowMs: number): boolean {
  const state = advanceEngine(candidate.engine, candidate.state, nowMs);
  return neededTokens(state) + tokens <= USABLE_MEMORY_SHARE * candidate.engine.memoryTokens;
}

function externalCostOf(prediction: EnginePrediction): number {
  return prediction.lossOfOthers + prediction.preferenceCost;
}

/** A prompt to place, and the engines that may prefill parts of it, the best first. */
export interface GroupInputs {
  readonly job: Job;
  readonly generation: Generation;
  readonly engines: readonly EngineCandidate[];
  readonly nowMs: number;
}

/**
 * Predicts the effect of a prompt on a group of engines.
 *
 * @param inputs - the prompt and the engines
 * @param size - number of engines in the group
 * @param keepsParts - whether each engine keeps its part in reserved memory; otherwise the first keeps the prompt
 * @returns the placement; undefined if too few engines have the memory
 */
export function predictGroup(
  inputs: GroupInputs,
  size: number,
  keepsParts: boolean,
): PromptPlacement | undefined {
  const { job, generation, engines, nowMs } = inputs;
  const { promptTokens, answerTokens } = generation;
  const partTokens = Math.ceil(promptTokens / size);
  const shareOf = (role: PartRole): Generation => ({
    promptTokens: partTokens,
    answerTokens,
    part: { role, wholeTokens: promptTokens, readyAtMs: 0 },
  });
  const leaderShare = shareOf(keepsParts ? PartRole.LeaderOfHolders : PartRole.Leader);
  const leaderTokens = (keepsParts ? partTokens : promptTokens) + answerTokens;
  const leader = cheapest(
    engines
      .filter((candidate) => hasFreeMemory(candidate, leaderTokens, nowMs))
      .slice(0, LEADER_SHORTLIST_SIZE)
      .map((candidate) => {
        const prediction = predictPlacement(candidate, job, leaderShare, nowMs);
        return { ...prediction, cost: externalCostOf(prediction) + prediction.ownLoss + prediction.paceCost };
      }),
  );
  if (leader === undefined) {
    return undefined;
  }
  const helperShare = shareOf(keepsParts ? PartRole.Holder : PartRole.Reader);
  const helpers = engines
    .filter(
      (candidate) =>
        candidate.server !== leader.server && (!keepsParts || hasFreeMemory(candidate, partTokens, nowMs)),
    )
    .slice(0, size - 1)
    .map((candidate) => predictPlacement(candidate, job, helperShare, nowMs));
  if (helpers.length < size - 1) {
    return undefined;
  }
  const members: readonly EnginePrediction[] = [leader, ...helpers];
  const firstEventMs = Math.max(...members.map((member) => member.firstEventMs));
  const lossOfOthers = members.reduce((sum, member) => sum + member.lossOfOthers, 0);
  // Together the engines do the work of one, so they are charged the preferences of one.
  const preferenceCost = members.reduce((sum, member) => sum + member.preferenceCost, 0) / size;
  const paceCost = members.reduce((sum, member) => sum + member.paceCost, 0) / size;
  const externalCost = lossOfOthers + preferenceCost;
  const ownLoss = Math.max(leader.ownLoss, lateStartLoss(unplacedJob(job), nowMs + firstEventMs));
  const helperCost = (keepsParts ? HOLDER_COST : HELPER_COST) * helpers.length * jobValue(job);
  return {
    leader: leader.server,
    helpers: helpers.map((helper) => helper.server),
    keepsParts,
    partTokens,
    firstEventMs,
    ownLoss,
    externalCost,
    cost: externalCost + ownLoss + paceCost + helperCost + delayCost(job, firstEventMs, nowMs),
  };
}

/**
 * Orders the engines that may prefill a part of a prompt by the loss and the delay that one part has there.
 *
 * @param candidates - engines to choose from
 * @param job - the job to place
 * @param generation - the prompt of the job
 * @param nowMs - the current time, in milliseconds
 * @returns enough engines for the largest group, the best first
 */
export function rankHelpers(
  candidates: PromptCandidates,
  job: Job,
  generation: Generation,
  nowMs: number,
): readonly EngineCandidate[] {
  const { engine, engines, advance } = candidates;
  const { promptTokens, answerTokens } = generation;
  const part: Generation = {
    promptTokens: Math.ceil(promptTokens / RANKING_SIZE),
    answerTokens,
    part: { role: PartRole.Reader, wholeTokens: promptTokens, readyAtMs: 0 },
  };
  const size = (GROUP_SIZES[GROUP_SIZES.length - 1] ?? 1) + LEADER_SHORTLIST_SIZE;
  return shortlistEngines(engine, engines, job, part, size, nowMs)
    .map((shortlisted) => {
      const candidate = advance(shortlisted);
      const prediction = predictPlacement(candidate, job, part, nowMs);
      const { firstEventMs, lossOfOthers, preferenceCost, paceCost } = prediction;
      const cost =
        lossOfOthers +
        preferenceCost +
        paceCost +
        delayCost(job, firstEventMs, nowMs, INTERRUPTED_DELAY_COST);
      return { candidate, cost };
    })
    .sort((left, right) => left.cost - right.cost)
    .map(({ candidate }) => candidate);
}
