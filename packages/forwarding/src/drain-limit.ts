/**
 * The limit that a planned stop of this process sets to the time of a request.
 *
 * Load pattern: while an entry drains, it still gets requests for some seconds, on open connections and until the load
 * balancer notices, and retries requests whose servers fail. An answer that takes longer than the rest of the grace period
 * would be broken off, and its caller may not repeat a request that has run. Rejected at once, the caller returns at another
 * entry, which has the time. A sound server may pause once while it answers, so a request for which there is only as much
 * time as its answer is expected to take is rejected too.
 */
import { type EngineParameters } from '@toucanbend/engine-model';
import { expectedGenerationMs, type Job } from '@toucanbend/placement';
import { EndReason } from './caller-answer.js';

/** Retry delay given by a draining entry, in milliseconds; the caller retries at another entry. */
export const LEAVING_RETRY_MS = 20;

/** When a request ends if it has no answer by then, and how it ends. */
export interface Expiry {
  readonly atMs: number;
  readonly reason: EndReason;
  /** Retry delay given to the caller if the request did not run, in milliseconds; 0 if none is given. */
  readonly retryAfterMs: number;
}

/**
 * Determines when a request expires.
 *
 * @param deadlineAtMs - when the caller's or the route's timeout expires
 * @param answersUntilMs - when this process abandons its requests; Infinity if it is not draining
 * @returns the earlier of both, and the reason for the end of a request that has no answer by then
 */
export function expiryOf(deadlineAtMs: number, answersUntilMs: number): Expiry {
  return answersUntilMs < deadlineAtMs
    ? { atMs: answersUntilMs, reason: EndReason.Leaving, retryAfterMs: LEAVING_RETRY_MS }
    : { atMs: deadlineAtMs, reason: EndReason.DeadlinePassed, retryAfterMs: 0 };
}

/**
 * Longest pause of a sound server for which the time to answer a request must suffice, in milliseconds. Servers fall silent for
 * about a second; the pause does not depend on how much of the grace period is left.
 */
const SERVER_PAUSE_MS = 1_400;

/**
 * Share of the time left, without the pause, that a request may be expected to take if it is sent after the load balancer had
 * noticed the stop: an expectation may be exceeded.
 */
const LATE_REQUEST_SHARE = 0.8;

/** The times of a planned stop, in milliseconds; both are Infinity if this process is not draining. */
export interface DrainTimes {
  /** When the load balancer is to have noticed the stop. */
  readonly outOfRotationAtMs: number;
  /** When this process abandons its requests. */
  readonly answersUntilMs: number;
}

/**
 * Determines when the answer to a request must be expected to end for the request to be sent now.
 *
 * @param nowMs - the current time
 * @param times - the times of the planned stop
 * @param mayReject - whether the request can still be rejected as one that has not run; else an attempt that may be broken off is
 *   better than none
 * @returns the time; Infinity if this process is not draining
 */
export function answerLimit(
  nowMs: number,
  { outOfRotationAtMs, answersUntilMs }: DrainTimes,
  mayReject: boolean,
): number {
  if (!mayReject) {
    return answersUntilMs;
  }
  const latestMs = answersUntilMs - SERVER_PAUSE_MS;
  return nowMs < outOfRotationAtMs ? latestMs : nowMs + LATE_REQUEST_SHARE * (latestMs - nowMs);
}

/**
 * Returns the job that decides whether a request is sent while this process drains.
 *
 * @param job - the job of the request
 * @param maxAnswerTokens - length of the longest answer that the caller accepts, in tokens; undefined if there is no prompt
 * @param isLate - whether the request is sent after the load balancer had noticed the stop
 * @returns the job; with the longest answer if the request is late, since an estimate of the length is often exceeded
 */
export function drainJob(job: Job, maxAnswerTokens: number | undefined, isLate: boolean): Job {
  return isLate && job.generation !== undefined && maxAnswerTokens !== undefined
    ? { ...job, generation: { ...job.generation, answerTokens: maxAnswerTokens } }
    : job;
}

/**
 * Decides whether a request is answered before this process ends if it is sent now.
 *
 * @param limitMs - when the answer must be expected to end; Infinity if this process is not draining
 * @param job - the job of the request
 * @param engine - parameters of the service's engines; undefined for a plain service
 * @param firstEventAtMs - when the first event of the answer, or the answer of a plain service, is expected
 * @returns whether its whole answer is expected in time
 */
export function isAnsweredInTime(
  limitMs: number,
  job: Job,
  engine: EngineParameters | undefined,
  firstEventAtMs: number,
): boolean {
  return firstEventAtMs + expectedGenerationMs(engine, job) <= limitMs;
}
