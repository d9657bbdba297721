/** Decides whether a prompt waits for a cheaper placement than the best one now. */
import { type EngineParameters } from '@toucanbend/engine-model';
import { LATE_LOSS } from './engine-choice.js';
import { type Job, jobValue } from './job.js';
import { type PromptChoice } from './prompt-choice.js';

/** Cost of a placement, as a share of the job's own value, from which the job waits for a cheaper placement. */
const WAIT_COST_THRESHOLD = 0.25;
/** Share of the target time that waiting must leave unused, as a margin for prediction errors. */
const TARGET_MARGIN = 0.2;
/** Safety factor on the predicted time to the first event, for the latest time at which a waiting job is placed. */
const DEADLINE_SAFETY_FACTOR = 1.3;
/** Expected time per generated token, as a multiple of an idle engine's step, since engines also run other jobs. */
const BUSY_STEP_FACTOR = 2;
/** Interval at which a waiting job is planned again, as a share of its target time, and its bounds in milliseconds. */
const RECHECK_INTERVAL_SHARE = 0.03;
const MIN_RECHECK_INTERVAL_MS = 40;
const MAX_RECHECK_INTERVAL_MS = 200;

/**
 * Estimates the time from the first to the last event of an answer.
 *
 * @param engine - parameters of the service's engines; undefined for a plain service
 * @param job - the job
 * @returns the time in milliseconds; 0 for a call of a plain service
 */
export function expectedGenerationMs(engine: EngineParameters | undefined, job: Job): number {
  return (job.generation?.answerTokens ?? 0) * (engine?.stepMs ?? 0) * BUSY_STEP_FACTOR;
}

/**
 * Returns the interval at which a waiting job is planned again.
 *
 * @param job - the job
 * @returns the interval in milliseconds
 */
export function recheckIntervalMs(job: Job): number {
  return Math.min(
    MAX_RECHECK_INTERVAL_MS,
    Math.max(MIN_RECHECK_INTERVAL_MS, RECHECK_INTERVAL_SHARE * job.targetMs),
  );
}

/**
 * Returns how long a job should wait before it is planned again, in milliseconds; 0 if it should be placed now.
 *
 * Handles bursts of long prompts while every engine serves short ones. The target of a long prompt is seconds away, and
 * engines become free in that time; placed immediately, its prefill would exceed the pause limits of all streams on the
 * engine. If that would cost other jobs more than the job gains by meeting its target, the job waits beyond its target,
 * until the time left is needed to answer before the deadline. A short prompt waits only while it can still meet its
 * target.
 *
 * @param engine - published parameters of the engines
 * @param job - the job
 * @param choice - its best placement now
 * @param nowMs - the current time, in milliseconds
 * @returns the wait in milliseconds
 */
export function chooseWaitMs(
  engine: EngineParameters,
  job: Job,
  choice: PromptChoice,
  nowMs: number,
): number {
  const { best, fastestMs } = choice;
  const value = jobValue(job);
  if (best.ownLoss + best.externalCost < WAIT_COST_THRESHOLD * value) {
    return 0;
  }
  const intervalMs = recheckIntervalMs(job);
  const slackMs = job.arrivedAtMs + job.targetMs * (1 - TARGET_MARGIN) - nowMs - fastestMs;
  if (slackMs > 0) {
    return Math.min(slackMs, intervalMs);
  }
  const missesTarget = nowMs + best.firstEventMs > job.arrivedAtMs + job.targetMs;
  if (best.externalCost <= (missesTarget ? WAIT_COST_THRESHOLD : LATE_LOSS) * value) {
    return 0;
  }
  const latestMs =
    job.deadlineAtMs - expectedGenerationMs(engine, job) - DEADLINE_SAFETY_FACTOR * best.firstEventMs;
  return Math.min(Math.max(0, latestMs - nowMs), intervalMs);
}
