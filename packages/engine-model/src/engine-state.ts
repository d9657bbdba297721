/** Simulated state of an engine, advanced pass by pass by the engine's published parameters. */
import {
  type EngineParameters,
  type Generation,
  generatingStepMs,
  keptPromptTokens,
  PartRole,
  prefillNextMs,
  runsRequest,
} from './parameters.js';

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
  /** Running and queued requests, in order of arrival; parts of shared prompts are prefilled before whole prompts. */
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
  /** Whether the engine has a slot and memory for it. */
  isAdmitted: boolean;
  prefilledTokens: number;
  generatedTokens: number;
}

function startRunning(engine: EngineParameters, request: EngineRequest): RunningRequest {
  const { prefilledTokens, generatedTokens, answerTokens, isUnobserved } = request;
  // The modelled progress of an unobserved request says nothing about the length of its answer.
  const estimatedTokens = isUnobserved === true ? answerTokens : Math.max(answerTokens, generatedTokens);
  const paddedTokens = estimatedTokens * (1 + ANSWER_LENGTH_MARGIN);
  const expectedTokens = paddedTokens + engine.stepsPerPass;
  return { request, expectedTokens, isAdmitted: false, prefilledTokens, generatedTokens };
}

function isPrefilled(running: RunningRequest): boolean {
  return running.prefilledTokens >= running.request.promptTokens;
}

/** Returns whether a leader still waits for the parts of other engines. */
function awaitsParts(running: RunningRequest, nowMs: number): boolean {
  const { part } = running.request;
  return (
    part !== undefined &&
    part.role !== PartRole.Reader &&
    running.generatedTokens === 0 &&
    nowMs < part.readyAtMs
  );
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

  /** Whether some admitted or queued request is not prefilled yet. */
  get hasBacklog(): boolean {
    return this.#requests.some((running) => !isPrefilled(running));
  }

  /**
   * Adds a request.
   *
   * @param request - the request to add
   */
  add(request: EngineRequest): void {
    this.#requests.push(startRunning(this.#engine, request));
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
    this.#admit();
    let stepMs = engine.stepMs;
    let generates = false;
    for (const running of this.#requests) {
      if (this.#isGenerating(running)) {
        generates = true;
        stepMs += generatingStepMs(engine, running.request, running.generatedTokens);
      }
    }
    const steps = generates ? engine.stepsPerPass : 1;
    for (const running of this.#requests) {
      if (this.#isGenerating(running)) {
        running.generatedTokens += steps;
        onGenerated(running.request.id);
      }
    }
    const prefillingMs = this.#prefill(steps * engine.chunkTokens, onStarted);
    const durationMs = steps * stepMs + prefillingMs;
    this.#passStartsAtMs += durationMs;
    if (!generates && prefillingMs === 0) {
      this.#skipToReadyParts();
    }
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

  /** Continues at the time at which a leader's parts are ready, if the engine has nothing to do before. */
  #skipToReadyParts(): void {
    const readyAtMs = this.#requests
      .filter((running) => awaitsParts(running, this.#passStartsAtMs))
      .map(({ request }) => request.part?.readyAtMs ?? 0);
    if (readyAtMs.length > 0) {
      this.#passStartsAtMs = Math.min(...readyAtMs);
    }
  }

  #isGenerating(running: RunningRequest): boolean {
    return running.isAdmitted && isPrefilled(running) && !awaitsParts(running, this.#passStartsAtMs);
  }

  /**
   * Prefills up to `budgetTokens`, parts of shared prompts first and the newest part before the others, and returns the
   * time that it takes.
   */
  #prefill(budgetTokens: number, onStarted: (id: string) => void): number {
    const parts = this.#requests.filter(({ request }) => request.part !== undefined).reverse();
    const prompts = this.#requests.filter(({ request }) => request.part === undefined);
    let leftTokens = budgetTokens;
    let durationMs = 0;
    for (const running of [...parts, ...prompts]) {
      if (!running.isAdmitted || isPrefilled(running)) {
        continue;
      }
      const { request } = running;
      const tokens = Math.min(leftTokens, request.promptTokens - running.prefilledTokens);
      leftTokens -= tokens;
      durationMs += prefillNextMs(this.#engine, request, running.prefilledTokens, tokens);
      running.prefilledTokens += tokens;
      if (isPrefilled(running)) {
        onStarted(request.id);
      }
    }
    return durationMs;
  }

  /**
   * Admits the requests that have a slot and memory: as many as fit in order of arrival, and at least the first one. Parts
   * that are prefilled for other engines need no slot, and the memory of their holders is reserved.
   */
  #admit(): void {
    const { slots, memoryTokens } = this.#engine;
    let neededTokens = 0;
    let running = 0;
    let isFull = false;
    for (const entry of this.#requests) {
      const { request } = entry;
      const keptTokens = keptPromptTokens(request);
      if (!runsRequest(request)) {
        entry.isAdmitted = true;
        neededTokens += keptTokens;
        continue;
      }
      neededTokens += keptTokens + entry.generatedTokens;
      isFull ||= running >= slots || (neededTokens > memoryTokens && running > 0);
      entry.isAdmitted = !isFull;
      running += 1;
    }
  }

  #dropFinished(): void {
    const isFinished = (running: RunningRequest): boolean =>
      running.request.part?.role === PartRole.Reader
        ? isPrefilled(running)
        : running.generatedTokens >= running.expectedTokens &&
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
  const { promptTokens, answerTokens, part } = generation;
  return { id, promptTokens, answerTokens, part, prefilledTokens: 0, generatedTokens: 0 };
}

/**
 * Adds a request.
 *
 * @param state - state of the engine
 * @param request - the request to add
 * @returns the state with the request
 */
export function addRequest(state: EngineState, request: EngineRequest): EngineState {
  return { ...state, requests: [...state.requests, request] };
}

/**
 * Returns the memory that the running and queued requests of an engine need.
 *
 * @param state - state of the engine
 * @returns number of tokens of all prompts that the engine keeps, and of the answers generated so far
 */
export function neededTokens(state: EngineState): number {
  return state.requests.reduce(
    (sum, request) => sum + keptPromptTokens(request) + (runsRequest(request) ? request.generatedTokens : 0),
    0,
  );
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
  const requests = state.requests.map((request) => {
    const { id, answerTokens, generatedTokens } = request;
    return request.isUnobserved !== true && isUnobserved(id)
      ? { ...request, isUnobserved: true, answerTokens: Math.max(answerTokens, generatedTokens) }
      : request;
  });
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
