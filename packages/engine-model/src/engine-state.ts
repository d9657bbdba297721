/** The state of an engine by its published model, moved on pass by pass. */
import { type EngineParameters, type Generation, generatingStepMs, prefillMs } from './parameters.js';

/** One request at an engine. */
export interface EngineRequest extends Generation {
  readonly id: string;
  readonly prefilledTokens: number;
  readonly generatedTokens: number;
}

/** State of an engine between two passes. */
export interface EngineState {
  /** Start of the next pass, in the reader's clock. */
  readonly passStartsAtMs: number;
  /** Duration of the pass before, in milliseconds. */
  readonly lastPassMs: number;
  /** Running and waiting requests in the order in which they are prefilled. */
  readonly requests: readonly EngineRequest[];
}

/** What one pass brought. */
export interface PassResult {
  readonly state: EngineState;
  readonly durationMs: number;
  /** Requests whose first token came in this pass. */
  readonly started: readonly string[];
}

/** An engine without requests. */
export const idleEngine: EngineState = { passStartsAtMs: 0, lastPassMs: 0, requests: [] };

function isGenerating(request: EngineRequest): boolean {
  return request.prefilledTokens >= request.promptTokens;
}

function isFinished(request: EngineRequest): boolean {
  return isGenerating(request) && request.generatedTokens >= request.answerTokens;
}

/** What becomes of requests whose expected answer is complete. */
export enum ExpectedEnd {
  /** They leave the engine, as in a forecast. */
  Leaves = 'leaves',
  /** They stay until their end is seen, since answers are often longer than expected. */
  Stays = 'stays',
}

/** Marks which requests hold a slot and memory: the first ones that fit. */
function countAdmitted(engine: EngineParameters, requests: readonly EngineRequest[]): number {
  let memoryTokens = 0;
  let admitted = 0;
  for (const request of requests) {
    memoryTokens += request.promptTokens + request.generatedTokens;
    if (admitted >= engine.slots || (memoryTokens > engine.memoryTokens && admitted > 0)) {
      break;
    }
    admitted += 1;
  }
  return admitted;
}

/**
 * Runs one pass: generating requests get their tokens, and prompts are prefilled in chunks beside them.
 *
 * @param engine - parameters of the engine
 * @param state - state before the pass
 * @param expectedEnd - what becomes of requests whose expected answer is complete
 * @returns what the pass brought
 */
export function runPass(engine: EngineParameters, state: EngineState, expectedEnd: ExpectedEnd): PassResult {
  const admitted = countAdmitted(engine, state.requests);
  let stepMs = engine.stepMs;
  let generates = false;
  for (let index = 0; index < admitted; index += 1) {
    const request = state.requests[index];
    if (request !== undefined && isGenerating(request)) {
      generates = true;
      stepMs += generatingStepMs(engine, request.promptTokens + request.generatedTokens);
    }
  }
  const steps = generates ? engine.stepsPerPass : 1;
  let durationMs = steps * stepMs;
  let budgetTokens = steps * engine.chunkTokens;
  const started: string[] = [];
  const requests: EngineRequest[] = [];
  state.requests.forEach((request, index) => {
    if (index >= admitted) {
      requests.push(request);
      return;
    }
    if (isGenerating(request)) {
      requests.push({ ...request, generatedTokens: request.generatedTokens + steps });
      return;
    }
    const tokens = Math.min(budgetTokens, request.promptTokens - request.prefilledTokens);
    budgetTokens -= tokens;
    durationMs += prefillMs(engine, request.prefilledTokens, tokens);
    const prefilledTokens = request.prefilledTokens + tokens;
    if (prefilledTokens >= request.promptTokens) {
      started.push(request.id);
    }
    requests.push({ ...request, prefilledTokens });
  });
  return {
    durationMs,
    started,
    state: {
      passStartsAtMs: state.passStartsAtMs + durationMs,
      lastPassMs: durationMs,
      requests:
        expectedEnd === ExpectedEnd.Stays ? requests : requests.filter((request) => !isFinished(request)),
    },
  };
}

/**
 * Moves an engine on until the pass that runs at a time.
 *
 * @param engine - parameters of the engine
 * @param state - state at an earlier time
 * @param nowMs - the time
 * @returns the state whose next pass starts after that time, or an idle engine
 */
export function advanceEngine(engine: EngineParameters, state: EngineState, nowMs: number): EngineState {
  let current = state;
  while (current.requests.length > 0 && current.passStartsAtMs <= nowMs) {
    current = runPass(engine, current, ExpectedEnd.Stays).state;
  }
  return current.requests.length > 0
    ? current
    : { ...current, passStartsAtMs: Math.max(current.passStartsAtMs, nowMs) };
}

/**
 * Adds a request behind those that are there.
 *
 * @param state - state of the engine
 * @param id - name of the request
 * @param generation - its length
 * @returns the state with the request
 */
export function addRequest(state: EngineState, id: string, generation: Generation): EngineState {
  const { promptTokens, answerTokens } = generation;
  const request = { id, promptTokens, answerTokens, prefilledTokens: 0, generatedTokens: 0 };
  return { ...state, requests: [...state.requests, request] };
}

/**
 * Takes a request away.
 *
 * @param state - state of the engine
 * @param id - name of the request
 * @returns the state without the request
 */
export function removeRequest(state: EngineState, id: string): EngineState {
  return { ...state, requests: state.requests.filter((request) => request.id !== id) };
}

/**
 * Corrects a state by an event of an answer: the event came at the end of a pass.
 *
 * @param state - state at the time of the event
 * @param id - name of the request
 * @param generatedTokens - tokens of the answer that were seen
 * @param passEndedAtMs - when the pass ended that brought the event
 * @returns the state in which the request has so many tokens and a pass ended at that time
 */
export function observeTokens(
  state: EngineState,
  id: string,
  generatedTokens: number,
  passEndedAtMs: number,
): EngineState {
  const requests = state.requests.map((request) =>
    request.id === id ? { ...request, prefilledTokens: request.promptTokens, generatedTokens } : request,
  );
  const isEndOfRunningPass = state.passStartsAtMs - passEndedAtMs < state.lastPassMs / 2;
  const passStartsAtMs = isEndOfRunningPass ? passEndedAtMs : passEndedAtMs + state.lastPassMs;
  return { ...state, requests, passStartsAtMs };
}

/**
 * Share by which answers are expected to be longer than estimated. Estimates are right at the median; a forecast that
 * relies on the end of an answer needs more than even odds.
 */
const LONGER_SHARE = 0.3;

/**
 * Makes a state ready for a forecast, with answers somewhat longer than estimated.
 *
 * @param engine - parameters of the engine
 * @param state - the state
 * @returns the state in which every answer still has tokens to come
 */
export function expectMore(engine: EngineParameters, state: EngineState): EngineState {
  const requests = state.requests.map((request) => {
    const base = Math.max(request.answerTokens, request.generatedTokens);
    return { ...request, answerTokens: base * (1 + LONGER_SHARE) + engine.stepsPerPass };
  });
  return { ...state, requests };
}
