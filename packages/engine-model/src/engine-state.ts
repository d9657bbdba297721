/** Simulated state of an engine, advanced pass by pass by the engine's published parameters. */
import { type EngineParameters, type Generation, generatingStepMs, prefillNextMs } from './parameters.js';

/** A request at an engine. */
export interface EngineRequest extends Generation {
  readonly id: string;
  readonly prefilledTokens: number;
  readonly generatedTokens: number;
  /** Whether the request's end will not be reported; it is then removed once its expected answer is complete. */
  readonly isUnobserved?: boolean;
}

/** State of an engine between two passes. */
export interface EngineState {
  /** Start of the next pass, by the clock of this process, in milliseconds. */
  readonly passStartsAtMs: number;
  /** Duration of the previous pass, in milliseconds. */
  readonly lastPassMs: number;
  /** Running and queued requests, in the order in which they are prefilled. */
  readonly requests: readonly EngineRequest[];
}

/** An engine without requests. */
export const idleEngine: EngineState = { passStartsAtMs: 0, lastPassMs: 0, requests: [] };

/** Treatment of requests whose expected answer is complete. */
export enum ExpectedEnd {
  /** They are removed from the engine, as in a forecast. */
  Leaves = 'leaves',
  /** They stay until their end is reported, since answers are often longer than expected. */
  Stays = 'stays',
}

/**
 * Share by which answers are assumed to be longer than estimated. Estimates are medians, so half of all answers are
 * longer; a forecast that relies on the end of an answer needs better odds than that.
 */
const ANSWER_LENGTH_MARGIN = 0.3;

/** A request during a simulation; it is modified in place, since forecasts run many passes. */
interface RunningRequest {
  readonly request: EngineRequest;
  /** Number of generated tokens from which the request counts as complete. */
  readonly expectedTokens: number;
  prefilledTokens: number;
  generatedTokens: number;
}

function startRunning(engine: EngineParameters, request: EngineRequest): RunningRequest {
  const { prefilledTokens, generatedTokens, answerTokens } = request;
  const paddedTokens = Math.max(answerTokens, generatedTokens) * (1 + ANSWER_LENGTH_MARGIN);
  return { request, expectedTokens: paddedTokens + engine.stepsPerPass, prefilledTokens, generatedTokens };
}

function isGenerating(running: RunningRequest): boolean {
  return running.prefilledTokens >= running.request.promptTokens;
}

/** Simulates an engine pass by pass; the initial state is not modified. */
export class EngineSimulation {
  readonly #engine: EngineParameters;
  readonly #expectedEnd: ExpectedEnd;
  #requests: RunningRequest[];
  #passStartsAtMs: number;
  #lastPassMs: number;

  /**
   * @param engine - parameters of the engine
   * @param state - initial state
   * @param expectedEnd - treatment of requests whose expected answer is complete
   */
  constructor(engine: EngineParameters, state: EngineState, expectedEnd: ExpectedEnd) {
    this.#engine = engine;
    this.#expectedEnd = expectedEnd;
    this.#requests = state.requests.map((request) => startRunning(engine, request));
    this.#passStartsAtMs = state.passStartsAtMs;
    this.#lastPassMs = state.lastPassMs;
  }

  /** Start of the next pass, in milliseconds. */
  get passStartsAtMs(): number {
    return this.#passStartsAtMs;
  }

  /** Number of running and queued requests. */
  get size(): number {
    return this.#requests.length;
  }

  /**
   * Adds a request: a whole prompt at the end of the queue, a part of a prompt at the front.
   *
   * @param request - the request to add
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
   * Simulates one pass: requests in decode generate tokens, and prompts are prefilled in chunks in the same steps.
   *
   * @param onGenerated - called with the id of each request that generated tokens in the pass
   * @param onStarted - called with the id of each request whose prefill was completed in the pass
   * @returns the duration of the pass in milliseconds
   */
  runPass(onGenerated: (id: string) => void, onStarted: (id: string) => void): number {
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

  /** Returns the state between the previous pass and the next one. */
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

  /** Counts the requests that have a slot and memory: as many as fit in queue order, and at least the first one. */
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
 * Advances the state of an engine to the end of the pass that runs at a given time.
 *
 * @param engine - parameters of the engine
 * @param state - state at an earlier time
 * @param nowMs - the time to advance to, in milliseconds
 * @returns a state whose next pass starts after that time, or at that time if the engine is idle
 */
export function advanceEngine(engine: EngineParameters, state: EngineState, nowMs: number): EngineState {
  if (state.passStartsAtMs > nowMs) {
    return state;
  }
  if (state.requests.length === 0) {
    return { ...state, passStartsAtMs: nowMs };
  }
  const simulation = new EngineSimulation(engine, state, ExpectedEnd.Stays);
  while (simulation.passStartsAtMs <= nowMs) {
    simulation.runPass(ignore, ignore);
  }
  return simulation.state();
}

/**
 * Creates a request without prefilled or generated tokens.
 *
 * @param id - id of the request
 * @param generation - length of the prompt and expected length of the answer
 * @returns the request
 */
export function newRequest(id: string, generation: Generation): EngineRequest {
  const { promptTokens, answerTokens, wholeTokens } = generation;
  return { id, promptTokens, answerTokens, wholeTokens, prefilledTokens: 0, generatedTokens: 0 };
}

/**
 * Adds a request: a whole prompt at the end of the queue, a part of a prompt at the front.
 *
 * @param state - state of the engine
 * @param request - the request to add
 * @returns the state with the request
 */
export function addRequest(state: EngineState, request: EngineRequest): EngineState {
  const requests =
    request.wholeTokens === undefined ? [...state.requests, request] : [request, ...state.requests];
  return { ...state, requests };
}

/**
 * Returns the memory that the running and queued requests of an engine need.
 *
 * @param state - state of the engine
 * @returns number of tokens of all prompts and of the answers generated so far
 */
export function neededTokens(state: EngineState): number {
  return state.requests.reduce((sum, request) => sum + request.promptTokens + request.generatedTokens, 0);
}

/**
 * Removes a request.
 *
 * @param state - state of the engine
 * @param id - id of the request
 * @returns the state without the request
 */
export function removeRequest(state: EngineState, id: string): EngineState {
  return { ...state, requests: state.requests.filter((request) => request.id !== id) };
}

/**
 * Marks requests whose end will not be reported.
 *
 * @param state - state of the engine
 * @param isUnobserved - returns whether the request with an id is to be marked
 * @returns a state in which marked requests are removed once their expected answers are complete
 */
export function markUnobserved(state: EngineState, isUnobserved: (id: string) => boolean): EngineState {
  const requests = state.requests.map((request) =>
    isUnobserved(request.id) ? { ...request, isUnobserved: true } : request,
  );
  return { ...state, requests };
}

/**
 * Corrects a state by an observed event of an answer, since engines send events at the end of a pass.
 *
 * @param state - state at the time of the event
 * @param id - id of the request
 * @param generatedTokens - number of answer tokens received so far
 * @param passEndedAtMs - time at which the pass that produced the event ended, in milliseconds
 * @returns the state in which the request has generated this many tokens and the nearest pass ended at that time
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
