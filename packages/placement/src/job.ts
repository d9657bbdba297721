/** Jobs: requests as the placement algorithms represent them. */
import { type Generation } from '@toucanbend/engine-model';

/** A request that waits for a placement or has been placed. */
export interface Job {
  readonly id: string;
  readonly service: string;
  /** Length of the prompt and expected length of the answer; undefined for calls of plain services. */
  readonly generation: Generation | undefined;
  /** Position of the rank in the order of urgency; 0 is the most urgent. */
  readonly rank: number;
  /** Time at which the caller's request arrived, by the clock of this process. */
  readonly arrivedAtMs: number;
  /** Target for the time from arrival to the first event, or to the answer of a plain service, in milliseconds. */
  readonly targetMs: number;
  /** Limit for the pause between two events of the answer, in milliseconds. */
  readonly targetPauseMs: number;
  /** Time at which the caller stops waiting, by the clock of this process. */
  readonly deadlineAtMs: number;
  /** Whether an earlier attempt failed because of a helper, so that the job is placed on one engine if that meets its target. */
  readonly avoidsHelpers?: boolean;
}

/** Engine time of an answer token, as a multiple of the engine time of a prompt token; an approximation. */
const ANSWER_TOKEN_WEIGHT = 10;

/**
 * Returns the value of serving a job on time, relative to other jobs.
 *
 * The value grows with the square root of the work. A long prompt therefore counts for more than a short one, but for
 * less than all the short ones that the same engine time could serve.
 *
 * @param job - the job to value
 * @returns the value without a unit; 1 for a call of a plain service. One part of a prompt has the value of the whole
 *   prompt, which is late if the part is
 */
export function jobValue(job: Job): number {
  if (job.generation === undefined) {
    return 1;
  }
  const { promptTokens, answerTokens, part } = job.generation;
  const wholeTokens = part?.wholeTokens ?? promptTokens;
  return Math.sqrt(1 + (wholeTokens + ANSWER_TOKEN_WEIGHT * answerTokens) / 1_000);
}
