/**
 * Requests at an engine that no entry has recorded.
 *
 * Load pattern: the hosts of many or all entries lose power. The engines go on with the requests of the ended processes,
 * whose connections were not closed, while the started entries take every engine for idle and place the requests of all
 * callers that return on the ones that are still busy.
 */
import {
  type EngineParameters,
  type EngineState,
  keptPromptTokens,
  runsRequest,
} from '@toucanbend/engine-model';
import { type ServerLoad } from './load-tracker.js';

/** Requests at an engine that no entry has recorded. */
export interface UnattributedLoad {
  /** Number of requests, running or queued. */
  readonly requests: number;
  /** Memory that they occupy together, in tokens. */
  readonly promptTokens: number;
}

/** What an engine reports about its own load. */
export interface EngineReport {
  /** Number of running and of queued requests. */
  readonly requests: number;
  /** Memory in use, in tokens. */
  readonly usedTokens: number;
}

/** Highest number of requests that a report adds to the model of an engine; the model simulates each of them. */
export const MAX_UNATTRIBUTED_REQUESTS = 64;
/**
 * Time for which the requests are expected to run on, in milliseconds, if no later report follows: the engine is read again
 * before it has passed.
 */
export const UNATTRIBUTED_MS = 600;
const ID_PREFIX = 'unattributed/';

/**
 * Returns the part of a reported load that the known jobs do not explain.
 *
 * @param report - what the engine reports
 * @param load - recorded load of the engine
 * @param asOfMs - time that the report describes, in milliseconds; jobs that arrived later are not in it
 * @returns the requests of no known entry
 */
export function unattributedLoad(report: EngineReport, load: ServerLoad, asOfMs: number): UnattributedLoad {
  let known = 0;
  let knownTokens = 0;
  for (const { job } of load.jobs.values()) {
    const { generation } = job;
    if (generation !== undefined && job.arrivedAtMs <= asOfMs) {
      known += runsRequest(generation) ? 1 : 0;
      knownTokens += keptPromptTokens(generation);
    }
  }
  const requests = Math.max(0, report.requests - known);
  return {
    requests: Math.min(MAX_UNATTRIBUTED_REQUESTS, requests),
    promptTokens: requests === 0 ? 0 : Math.max(0, report.usedTokens - knownTokens),
  };
}

/**
 * Replaces the requests of earlier reports in the modelled state of an engine, and those of ended processes.
 *
 * @param engine - parameters of the engine
 * @param state - state at the time of the report
 * @param load - the reported requests of no known entry
 * @param isJob - returns whether the request with an id belongs to a recorded job
 * @returns the state with these requests, which generate tokens until they are expected to end
 */
export function withUnattributed(
  engine: EngineParameters,
  state: EngineState,
  load: UnattributedLoad,
  isJob: (id: string) => boolean,
): EngineState {
  const own = state.requests.filter(({ id }) => isJob(id));
  const usedTokens = Math.min(load.promptTokens, engine.memoryTokens);
  const promptTokens = Math.floor(usedTokens / Math.max(1, load.requests));
  const answerTokens = Math.ceil(UNATTRIBUTED_MS / Math.max(engine.stepMs, Number.EPSILON));
  const added = Array.from({ length: load.requests }, (_, index) => ({
    id: `${ID_PREFIX}${String(index)}`,
    promptTokens,
    answerTokens,
    prefilledTokens: promptTokens,
    generatedTokens: 0,
    isUnobserved: true,
  }));
  // They came first, so that they hold their slots and memory.
  return { ...state, requests: [...added, ...own] };
}

/**
 * Removes one of the requests of the last report, which turns out to belong to a job.
 *
 * @param state - the modelled state of the engine
 * @returns the state without that request; as it is if there is none
 */
export function withoutOneUnattributed(state: EngineState): EngineState {
  const index = state.requests.findIndex(({ id }) => id.startsWith(ID_PREFIX));
  return index < 0 ? state : { ...state, requests: state.requests.toSpliced(index, 1) };
}
