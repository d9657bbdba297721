/**
 * Decides which short prompts get the free places of engines while all but a few are taken.
 *
 * Load pattern: for seconds, short prompts arrive faster than the engines finish answers. A prompt that is late already
 * takes the place of one that could be in time, and every later prompt behind it starts late as well. A prompt therefore
 * joins the queue of an engine only if it is expected to meet its target there; until then it waits at the entry. One that
 * cannot meet its target any more leaves the places to the others and is served late once places are to spare, or is
 * rejected if that takes too long.
 *
 * Long prompts are not subject to this. They join the queues of engines, where the next place is then theirs.
 */
import { type EngineParameters, type Generation, prefillMs } from '@toucanbend/engine-model';
import murmurhash from 'murmurhash';
import { type RecordedEngine, runningRequests } from './engine-shortlist.js';
import { type Job } from './job.js';
import { expectedGenerationMs, recheckIntervalMs } from './prompt-wait.js';

/** Places of the engines that a prompt may use. */
export interface Room {
  /** Number of requests that the engines run at the same time. */
  readonly places: number;
  /** Number of these that no request has taken. */
  readonly freePlaces: number;
}

/** Kind of a decision while the engines have few free places. */
export enum RoomDecisionKind {
  /** The prompt waits for a free place and can still meet its target. */
  Wait = 'wait',
  /** The prompt is too late to meet its target and waits for places to spare. */
  Yield = 'yield',
  /** The prompt has waited for places to spare as long as it may. */
  TurnAway = 'turn_away',
}

/** Why a prompt waits or is rejected, for the log. */
export interface RoomReport {
  readonly decision: RoomDecisionKind;
  readonly freePlaces: number;
  readonly places: number;
  /** Predicted time to the first event once the prompt has a place, in milliseconds. */
  readonly expectedMs: number;
}

/** A decision while the engines have few free places. */
export type RoomDecision =
  | { readonly kind: RoomDecisionKind.Wait | RoomDecisionKind.Yield; readonly waitMs: number }
  | { readonly kind: RoomDecisionKind.TurnAway; readonly retryAfterMs: number };

/** Share of the places that stays free for prompts that can meet their target; late ones use what is beyond it. */
const SPARE_SHARE = 1 / 32;
/** A prompt counts as short if its prefill takes less than this share of the job's pause limit. */
const SHORT_PREFILL_SHARE = 0.5;
/**
 * Passes from the arrival at an engine with a free place to the end of the pass with the first token, beside the prefill:
 * on average half of the running pass, and a whole one.
 */
const PASSES_TO_START = 1.5;
/** Share of its time limit that a late prompt may wait for places to spare; enough is left for the caller to come back. */
const YIELD_SHARE = 1 / 3;
/** Interval at which a late prompt is planned again, in milliseconds; no target depends on it any more. */
const YIELD_INTERVAL_MS = 200;
/**
 * Counts the places of engines.
 *
 * @param engine - published parameters of the engines
 * @param engines - the engines, with their load as it was recorded last
 * @returns the places
 */
export function surveyRoom(engine: EngineParameters, engines: readonly RecordedEngine[]): Room {
  let freePlaces = 0;
  for (const { load } of engines) {
    freePlaces += Math.max(0, engine.slots - runningRequests(engine, load));
  }
  return { places: engines.length * engine.slots, freePlaces };
}

/**
 * Returns whether so few places are free that prompts which can meet their target need all of them.
 *
 * @param room - the places
 * @returns false if a late prompt may take one
 */
export function isRoomScarce(room: Room): boolean {
  return room.places > 0 && room.freePlaces < Math.max(1, SPARE_SHARE * room.places);
}

/**
 * Returns whether a prompt is subject to the decisions of this module.
 *
 * @param engine - published parameters of the engines
 * @param job - the job
 * @param generation - its prompt
 * @returns false if its prefill is so long that a free place is not what it mainly needs
 */
export function isShortPrompt(engine: EngineParameters, job: Job, generation: Generation): boolean {
  return prefillMs(engine, 0, generation.promptTokens) < SHORT_PREFILL_SHARE * job.targetPauseMs;
}

/**
 * Predicts the time to the first event of a prompt at an engine that has a free place and runs other requests.
 *
 * @param engine - published parameters of the engine
 * @param generation - the prompt
 * @returns the time in milliseconds
 */
export function expectedStartMs(engine: EngineParameters, generation: Generation): number {
  const passMs = engine.stepsPerPass * (engine.stepMs + engine.slots * engine.generatingMs);
  return PASSES_TO_START * passMs + prefillMs(engine, 0, generation.promptTokens);
}

const HASH_RANGE = 0x1_0000_0000;
/** Largest share of its time left after which a caller is asked to come back, so that it can still be answered. */
const MAX_RETURN_SHARE = 1 / 3;
/** Earliest return as a share of the latest one; callers that are turned away together come back apart. */
const EARLIEST_RETURN_SHARE = 1 / 3;

/** Returns the retry-after time of a prompt that is turned away: about the time in which the running answers end. */
function retryAfterMs(engine: EngineParameters, job: Job, nowMs: number): number {
  const latestMs = Math.min(
    expectedGenerationMs(engine, job),
    MAX_RETURN_SHARE * Math.max(0, job.deadlineAtMs - nowMs),
  );
  const fraction = murmurhash.v3(job.id) / HASH_RANGE;
  return latestMs * (EARLIEST_RETURN_SHARE + (1 - EARLIEST_RETURN_SHARE) * fraction);
}

/**
 * Decides about a short prompt that cannot meet its target any more, while free places are scarce. It needs no prediction of
 * engines, since many such prompts may wait.
 *
 * @param engine - published parameters of the engine
 * @param job - the job
 * @param generation - its prompt
 * @param nowMs - the current time, in milliseconds
 * @returns the decision; undefined if the prompt could still meet its target with a free place
 */
export function decideLate(
  engine: EngineParameters,
  job: Job,
  generation: Generation,
  nowMs: number,
): RoomDecision | undefined {
  if (nowMs + expectedStartMs(engine, generation) <= job.arrivedAtMs + job.targetMs) {
    return undefined;
  }
  const waitEndsAtMs = job.arrivedAtMs + YIELD_SHARE * (job.deadlineAtMs - job.arrivedAtMs);
  return nowMs < waitEndsAtMs
    ? { kind: RoomDecisionKind.Yield, waitMs: Math.min(YIELD_INTERVAL_MS, waitEndsAtMs - nowMs) }
    : { kind: RoomDecisionKind.TurnAway, retryAfterMs: retryAfterMs(engine, job, nowMs) };
}

/**
 * Decides about a short prompt that could meet its target with a free place, while these are scarce.
 *
 * @param job - the job
 * @param expectedMs - predicted time to its first event at the best engine, behind the requests that wait there
 * @param nowMs - the current time, in milliseconds
 * @returns the decision; undefined if the prompt is placed, since it is expected to meet its target there
 */
export function decideEarly(job: Job, expectedMs: number, nowMs: number): RoomDecision | undefined {
  return nowMs + expectedMs <= job.arrivedAtMs + job.targetMs
    ? undefined
    : { kind: RoomDecisionKind.Wait, waitMs: recheckIntervalMs(job) };
}
