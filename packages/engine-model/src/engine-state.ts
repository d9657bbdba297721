/** The state of an engine by its published model, moved on pass by pass. */
import { type EngineParameters, type Generation, generatingStepMs, prefillNextMs } from './parameters.js';

/** One request at an engine. */
export interface EngineRequest extends Generation {
  readonly id: string;
  readonly prefilledTokens: number;
  readonly generatedTokens: number;
  /** Whether nobody will tell of its end, so that it leaves once its expected answer is complete. */
  readonly isUnobserved?: boolean;
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

/** An engine without requests. */
export const idleEngine: EngineState = { passStartsAtMs: 0, lastPassMs: 0, requests: [] };

/** What becomes of requests whose expected answer is complete. */
export enum ExpectedEnd {
  /** They leave the engine, as in a forecast. */
  Leaves = 'leaves',
  /** They stay until their end is seen, since answers are often longer than expected. */
  Stays = 'stays',
}

/**
 * Share by which answers are expected to be longer than estimated. Estimates are right at the median; a forecast that
 * relies on the end of an answer needs more than even odds.
 */
const LONGER_SHARE = 0.3;

/** A request while passes are run; it is changed in place, since forecasts run many passes. */
interface RunningRequest {
  readonly request: EngineRequest;
  /** Tokens after which the request leaves a forecast. */
  readonly expectedTokens: number;
  prefilledTokens: number;
  generatedTokens: number;
}

function startRunning(engine: EngineParameters, request: EngineRequest): RunningRequest {
  const { prefilledTokens, generatedTokens, answerTokens } = request;
  const longer = Math.max(answerTokens, generatedTokens) * (1 + LONGER_SHARE);
  return { request, expectedTokens: longer + engine.stepsPerPass, prefilledTokens, generatedTokens };
}

function isGenerating(running: RunningRequest): boolean {
  return running.prefilledTokens >= running.request.promptTokens;
}

/** Runs an engine pass by pass, from a state that stays as it is. */
export class EngineRun {
  readonly #engine: EngineParameters;
  readonly #expectedEnd: ExpectedEnd;
  #requests: RunningRequest[];
  #passStartsAtMs: number;
  #lastPassMs: number;

  /**
   * @param engine - parameters of the engine
   * @param state - state to start from
   * @param expectedEnd - what becomes of requests whose expected answer is complete
   */
  constructor(engine: EngineParameters, state: EngineState, expectedEnd: ExpectedEnd) {
    this.#engine = engine;
    this.#expectedEnd = expectedEnd;
    this.#requests = state.requests.map((request) => startRunning(engine, request));
    this.#passStartsAtMs = state.passStartsAtMs;
    this.#lastPassMs = state.lastPassMs;
  }

  /** Start of the next pass. */
  get passStartsAtMs(): number {
    return this.#passStartsAtMs;
  }

  /** How many requests run or wait. */
  get size(): number {
    return this.#requests.length;
  }

  /**
   * Adds a request: a whole prompt behind those that are there, a part of a prompt before other prompts.
   *
   * @param request - the request
   */
  add(request: EngineRequest): void {
    const running = startRunning(this.#engine, request);
    if (request.wholeTokens === undefined) {
      this.#requests.push(running);
    } else {
      this.#requests.unshift(running);
    }
  }

  /**
   * Runs one pass: generating requests get their tokens, and prompts are prefilled in chunks beside them.
   *
   * @param onGenerated - learns of each request that got tokens in the pass
   * @param onStarted - learns of each request whose first token came in the pass
   * @returns duration of the pass in milliseconds
   */
  pass(onGenerated: (id: string) => void, onStarted: (id: string) => void): number {
    const engine = this.#engine;
    const admitted = this.#countAdmitted();
    let stepMs = engine.stepMs;
    let generates = false;
    for (let index = 0; index < admitted; index += 1) {
      const running = this.#requests[index];
      if (running !== undefined && isGenerating(running)) {
        generates = true;
        stepMs += generatingStepMs(engine, running.request.promptTokens + running.generatedTokens);
      }
    }
    const steps = generates ? engine.stepsPerPass : 1;
    let durationMs = steps * stepMs;
    let budgetTokens = steps * engine.chunkTokens;
    for (let index = 0; index < admitted; index += 1) {
      const running = this.#requests[index];
      if (running === undefined) {
        break;
      }
      const { request } = running;
      if (isGenerating(running)) {
        running.generatedTokens += steps;
        onGenerated(request.id);
        continue;
      }
      const tokens = Math.min(budgetTokens, request.promptTokens - running.prefilledTokens);
      budgetTokens -= tokens;
      durationMs += prefillNextMs(engine, request, running.prefilledTokens, tokens);
      running.prefilledTokens += tokens;
      if (isGenerating(running)) {
        onStarted(request.id);
      }
    }
    this.#passStartsAtMs += durationMs;
    this.#lastPassMs = durationMs;
    this.#dropFinished();
    return durationMs;
  }

  /** Gives the state between the pass before and the next one. */
  state(): EngineState {
    return {
      passStartsAtMs: this.#passStartsAtMs,
      lastPassMs: this.#lastPassMs,
      requests: this.#requests.map(({ request, prefilledTokens, generatedTokens }) => ({
        ...request,
        prefilledTokens,
        generatedTokens,
      })),
    };
  }

  /** Counts the requests that hold a slot and memory: the first ones that fit. */
  #countAdmitted(): number {
    const { slots, memoryTokens } = this.#engine;
    let neededTokens = 0;
    let admitted = 0;
    for (const { request, generatedTokens } of this.#requests) {
      neededTokens += request.promptTokens + generatedTokens;
      if (admitted >= slots || (neededTokens > memoryTokens && admitted > 0)) {
        break;
      }
      admitted += 1;
    }
    return admitted;
  }

  #dropFinished(): void {
    const isFinished = (running: RunningRequest): boolean =>
      running.generatedTokens >= running.expectedTokens &&
      (this.#expectedEnd === ExpectedEnd.Leaves || running.request.isUnobserved === true);
    if (this.#requests.some(isFinished)) {
      this.#requests = this.#requests.filter((running) => !isFinished(running));
    }
  }
}

const ignore = (): void => undefined;

/**
 * Moves an engine on until the pass that runs at a time.
 *
 * @param engine - parameters of the engine
 * @param state - state at an earlier time
 * @param nowMs - the time
 * @returns the state whose next pass starts after that time, or an idle engine
 */
export function advanceEngine(engine: EngineParameters, state: EngineState, nowMs: number): EngineState {
  if (state.passStartsAtMs > nowMs) {
    return state;
  }
  if (state.requests.length === 0) {
    return { ...state, passStartsAtMs: nowMs };
  }
  const run = new EngineRun(engine, state, ExpectedEnd.Stays);
  while (run.passStartsAtMs <= nowMs) {
    run.pass(ignore, ignore);
  }
  return run.state();
}

/**
 * Creates a request that has not begun.
 *
 * @param id - name of the request
 * @param generation - its length
 * @returns the request
 */
export function newRequest(id: string, generation: Generation): EngineRequest {
  const { promptTokens, answerTokens, wholeTokens } = generation;
  return { id, promptTokens, answerTokens, wholeTokens, prefilledTokens: 0, generatedTokens: 0 };
}

/**
 * Adds a request: a whole prompt behind those that are there, a part of a prompt before other prompts.
 *
 * @param state - state of the engine
 * @param request - the request
 * @returns the state with the request
 */
export function addRequest(state: EngineState, request: EngineRequest): EngineState {
  const requests =
    request.wholeTokens === undefined ? [...state.requests, request] : [request, ...state.requests];
  return { ...state, requests };
}

/**
 * Gives the memory that requests at an engine need.
 *
 * @param state - state of the engine
 * @returns tokens of prompts and answers
 */
export function neededTokens(state: EngineState): number {
  return state.requests.reduce((sum, request) => sum + request.promptTokens + request.generatedTokens, 0);
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
 * Marks requests of whose end nobody will tell.
 *
 * @param state - state of the engine
 * @param isUnobserved - tells such requests by their names
 * @returns the state in which they leave once their expected answers are complete
 */
export function markUnobserved(state: EngineState, isUnobserved: (id: string) => boolean): EngineState {
  const requests = state.requests.map((request) =>
    isUnobserved(request.id) ? { ...request, isUnobserved: true } : request,
  );
  return { ...state, requests };
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
