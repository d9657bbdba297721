/** Jobs: the scheduler's records of requests. */
import { type WorkDescription } from '@toucanbend/core';

/** Size class of a prompt, by its uncached length; each class has its own queue order and limits. */
export enum SizeClass {
  Short = 'short',
  Long = 'long',
}

/** A request that is queued or running at a side. */
export interface Job {
  /** Identifier of the attempt at the request. */
  readonly id: string;
  readonly work: WorkDescription;
  readonly sizeClass: SizeClass;
  readonly arrivedAtMs: number;
  /** Time by which the request must finish, in milliseconds on the side's clock. */
  readonly deadlineAtMs: number;
  /** Estimated number of prompt tokens that are not in the engine's prefix cache, at least 1. */
  readonly prefillTokens: number;
  /** Cost of prefill and decode together, expressed in prefilled tokens. */
  readonly cost: number;
  /** Maximum KV cache that the request can occupy, in tokens. */
  readonly memoryTokens: number;
  /** Start tag of fair queueing within the rank and size class; lower tags are dispatched first. */
  readonly startTag: number;
}

/** A job that has been dispatched to the backend server. */
export interface RunningJob {
  readonly job: Job;
  readonly dispatchedAtMs: number;
  /** Time of the first token, in milliseconds on the side's clock; undefined until it arrives. */
  readonly firstTokenAtMs: number | undefined;
  readonly outputTokens: number;
}
