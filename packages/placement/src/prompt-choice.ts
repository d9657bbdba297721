/**
 * Compares all ways to serve a prompt: one engine, or several that prefill it together.
 *
 * Handles the longest prompts: one that does not fit into the memory of an engine can never be served by a single
 * engine, one whose prefill takes most of its target time is late on any engine that has other work, and one
 * prefilled by a single engine delays everything else there. In parts, it fits into ordinary passes of many engines.
 */
import { type EngineParameters, type Generation, prefillMs } from '@toucanbend/engine-model';
import { type EngineCandidate, predictPlacement } from './engine-choice.js';
import { GROUP_SIZES, predictGroup, rankHelpers } from './engine-group.js';
import { type PromptCandidates, shortlistEngines } from './engine-shortlist.js';
import { type Job } from './job.js';
import { cheapest, delayCost, INTERRUPTED_DELAY_COST, type PromptPlacement } from './prompt-placement.js';

/** Number of engines that are simulated for a prompt on a single engine. */
const SINGLE_SHORTLIST_SIZE = 16;

function predictSingle(
  candidate: EngineCandidate,
  job: Job,
  generation: Generation,
  costAtTarget: number | undefined,
  nowMs: number,
): PromptPlacement {
  const { server, firstEventMs, ownLoss, lossOfOthers, preferenceCost, paceCost } = predictPlacement(
    candidate,
    job,
    generation,
    nowMs,
  );
  const externalCost = lossOfOthers + preferenceCost;
  return {
    leader: server,
    helpers: [],
    keepsParts: false,
    partTokens: generation.promptTokens,
    firstEventMs,
    ownLoss,
    externalCost,
    cost: externalCost + ownLoss + paceCost + delayCost(job, firstEventMs, nowMs, costAtTarget),
  };
}

/** Returns whether a prompt takes longer to prefill than an ordinary pass; shorter ones gain nothing by a group. */
function isWorthSharing(engine: EngineParameters, promptTokens: number): boolean {
  return prefillMs(engine, 0, promptTokens) > engine.stepsPerPass * engine.stepMs;
}

/**
 * Returns whether a job is to be placed on one engine although several might serve it sooner.
 *
 * Handles the repetition of a prompt whose helper was leaving: where many engines leave together, another group is likely to
 * contain one of them too, and the repetition is often the last attempt.
 */
function isPlacedAlone(singles: readonly PromptPlacement[], job: Job, nowMs: number): boolean {
  const targetAtMs = job.arrivedAtMs + job.targetMs;
  return job.avoidsHelpers === true && singles.some(({ firstEventMs }) => nowMs + firstEventMs <= targetAtMs);
}

/** The result of a comparison. */
export interface PromptChoice {
  /** The placement with the lowest cost; one that misses the deadline only if all do. */
  readonly best: PromptPlacement;
  /** Shortest predicted time to the first event over all placements, whatever their cost, in milliseconds. */
  readonly fastestMs: number;
}

/**
 * Chooses the way to serve a prompt that has the lowest cost.
 *
 * @param candidates - engines to choose from
 * @param job - the job to place
 * @param generation - the prompt of the job
 * @param nowMs - the current time, in milliseconds
 * @returns the best placement and the shortest delay; undefined if there is no engine, or too little memory
 */
export function choosePlacement(
  candidates: PromptCandidates,
  job: Job,
  generation: Generation,
  nowMs: number,
): PromptChoice | undefined {
  const { engine, engines, fitsOneEngine, advance } = candidates;
  const isLong = isWorthSharing(engine, generation.promptTokens);
  const singles = fitsOneEngine
    ? shortlistEngines(engine, engines, job, generation, SINGLE_SHORTLIST_SIZE, nowMs).map((candidate) =>
        predictSingle(
          advance(candidate),
          job,
          generation,
          isLong ? INTERRUPTED_DELAY_COST : undefined,
          nowMs,
        ),
      )
    : [];
  const mayShare = isLong && !isPlacedAlone(singles, job, nowMs);
  const inputs = {
    job,
    generation,
    engines: mayShare ? rankHelpers(candidates, job, generation, nowMs) : [],
    nowMs,
  };
  const predict = (size: number): PromptPlacement | undefined =>
    (fitsOneEngine ? predictGroup(inputs, size, false) : undefined) ?? predictGroup(inputs, size, true);
  const groups = mayShare ? GROUP_SIZES.map(predict) : [];
  const placements = [...singles, ...groups].filter((placement) => placement !== undefined);
  const inTime = placements.filter((placement) => nowMs + placement.firstEventMs <= job.deadlineAtMs);
  const best = cheapest(inTime.length > 0 ? inTime : placements);
  return best === undefined
    ? undefined
    : { best, fastestMs: Math.min(...placements.map((placement) => placement.firstEventMs)) };
}
