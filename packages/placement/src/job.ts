/** Work as placement sees it. */
import { type Generation } from '@toucanbend/engine-model';

/** A request that is to be placed, or was. */
export interface Job {
  readonly id: string;
  readonly service: string;
  /** Lengths of prompt and answer; absent for calls of plain services. */
  readonly generation: Generation | undefined;
  /** Order of urgency: 0 is the most urgent. */
  readonly rank: number;
  /** When the caller's request arrived, in the reader's clock. */
  readonly arrivedAtMs: number;
  /** Time to the first event, or to the answer, that is on time. */
  readonly targetMs: number;
  /** Longest pause between events that is on time. */
  readonly targetPauseMs: number;
  /** When the caller stops waiting, in the reader's clock. */
  readonly deadlineAtMs: number;
}

/** Tokens of an answer cost about this many times as much engine time as tokens of a prompt. */
const ANSWER_TOKEN_WEIGHT = 10;

/**
 * Gives the value of serving a job on time, for comparison with other jobs.
 *
 * The value grows with the square root of the work, so that a long prompt counts for more than a short one, but
 * for less than the short ones that the same engine time would serve.
 *
 * @param job - the job
 * @returns its value; 1 for a call of a plain service
 */
export function valueOf(job: Job): number {
  if (job.generation === undefined) {
    return 1;
  }
  const { promptTokens, answerTokens } = job.generation;
  return Math.sqrt(1 + (promptTokens + ANSWER_TOKEN_WEIGHT * answerTokens) / 1_000);
}
