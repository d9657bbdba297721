/** Published parameters of an engine, and the durations that follow from them. */

/** Parameters that determine the speed and capacity of an engine. */
export interface EngineParameters {
  /** Maximum number of requests that run concurrently. */
  readonly slots: number;
  /** Capacity of the engine's KV cache, in tokens. */
  readonly memoryTokens: number;
  /** Steps in a pass that generates tokens; each step generates one token for each request in decode. */
  readonly stepsPerPass: number;
  /** Maximum number of prompt tokens that are prefilled in one step. */
  readonly chunkTokens: number;
  /** Base duration of a step in milliseconds. */
  readonly stepMs: number;
  /** Duration that each request in decode adds to a step, in milliseconds. */
  readonly generatingMs: number;
  /** Duration that each 1,000 context tokens of a request in decode add to a step, in milliseconds. */
  readonly contextMsPerThousand: number;
  /** Prompt tokens prefilled per millisecond, without the time for attention. */
  readonly prefillTokensPerMs: number;
  /** Attention time per million pairs of a prompt token and an earlier token, in milliseconds. */
  readonly attentionMsPerMillionPairs: number;
  /** Duration that reading the KV cache of helper engines adds to a step, in milliseconds. */
  readonly helperHopMs: number;
}

/** Length of a prompt and expected length of its answer. */
export interface Generation {
  /** Length of the prompt, in tokens. */
  readonly promptTokens: number;
  /** Expected length of the answer, in tokens. */
  readonly answerTokens: number;
  /** Set if this is one of the equal parts of a prompt that several engines prefill. */
  readonly part?: PromptPart | undefined;
}

/** What an engine does for a prompt that several engines prefill. */
export enum PartRole {
  /** Runs the request and keeps the KV cache of the whole prompt. */
  Leader = 0,
  /** Runs the request and keeps the KV cache of its own part; the holders keep the other parts. */
  LeaderOfHolders = 1,
  /** Prefills a part and keeps its KV cache until the request ends. */
  Holder = 2,
  /** Prefills a part and keeps nothing. */
  Reader = 3,
}

/** One engine's part of a prompt. */
export interface PromptPart {
  readonly role: PartRole;
  /** Length of the whole prompt, in tokens. */
  readonly wholeTokens: number;
  /** Predicted time at which the last part is prefilled, until which the leader generates nothing. */
  readonly readyAtMs: number;
}

/**
 * Returns whether an engine runs a request itself, which takes one of its slots.
 *
 * @param generation - the request, or the part of its prompt at this engine
 * @returns false for an engine that prefills a part for another engine
 */
export function runsRequest(generation: Generation): boolean {
  const role = generation.part?.role;
  return role !== PartRole.Holder && role !== PartRole.Reader;
}

/**
 * Returns the KV cache that an engine keeps of a prompt.
 *
 * @param generation - the request, or the part of its prompt at this engine
 * @returns number of prompt tokens
 */
export function keptPromptTokens(generation: Generation): number {
  switch (generation.part?.role) {
    case PartRole.Leader:
      return generation.part.wholeTokens;
    case PartRole.Reader:
      return 0;
    case undefined:
    case PartRole.LeaderOfHolders:
    case PartRole.Holder:
      return generation.promptTokens;
  }
}

const PAIRS_PER_MILLION = 1_000_000;
const TOKENS_PER_THOUSAND = 1_000;

/**
 * Returns the time that an engine needs to prefill a range of a prompt's tokens.
 *
 * @param engine - parameters of the engine
 * @param fromToken - number of tokens of the prompt that are already prefilled
 * @param tokens - number of tokens to prefill
 * @returns the time in milliseconds
 */
export function prefillMs(engine: EngineParameters, fromToken: number, tokens: number): number {
  const pairs = tokens * (fromToken + tokens / 2);
  return tokens / engine.prefillTokensPerMs + (pairs / PAIRS_PER_MILLION) * engine.attentionMsPerMillionPairs;
}

/**
 * Returns the time that an engine needs to prefill the next tokens of a prompt or of a part of a prompt.
 *
 * @param engine - parameters of the engine
 * @param generation - lengths of the prompt or the part
 * @param fromToken - number of tokens that are already prefilled
 * @param tokens - number of tokens to prefill
 * @returns the time in milliseconds; a part is charged its proportional share of the whole prompt's token pairs
 */
export function prefillNextMs(
  engine: EngineParameters,
  generation: Generation,
  fromToken: number,
  tokens: number,
): number {
  if (generation.part === undefined) {
    return prefillMs(engine, fromToken, tokens);
  }
  const pairs = (tokens * generation.part.wholeTokens) / 2;
  return tokens / engine.prefillTokensPerMs + (pairs / PAIRS_PER_MILLION) * engine.attentionMsPerMillionPairs;
}

/**
 * Returns the time that one request in decode adds to a step.
 *
 * @param engine - parameters of the engine
 * @param generation - the request, or the part of its prompt at this engine
 * @param generatedTokens - number of answer tokens generated so far
 * @returns the time in milliseconds
 */
export function generatingStepMs(
  engine: EngineParameters,
  generation: Generation,
  generatedTokens: number,
): number {
  const role = generation.part?.role;
  const answerTokens = role === PartRole.Holder ? 0 : generatedTokens;
  const contextTokens = keptPromptTokens(generation) + answerTokens;
  const hopMs = role === PartRole.LeaderOfHolders ? engine.helperHopMs : 0;
  return engine.generatingMs + hopMs + (contextTokens / TOKENS_PER_THOUSAND) * engine.contextMsPerThousand;
}

/**
 * Returns the parameters of an engine whose speed differs from the published one. The helper hop is not scaled.
 *
 * @param engine - published parameters
 * @param slowdown - factor by which durations are longer than published; below 1 for a faster engine
 * @returns parameters with scaled durations
 */
export function slowEngine(engine: EngineParameters, slowdown: number): EngineParameters {
  return {
    ...engine,
    stepMs: engine.stepMs * slowdown,
    generatingMs: engine.generatingMs * slowdown,
    contextMsPerThousand: engine.contextMsPerThousand * slowdown,
    prefillTokensPerMs: engine.prefillTokensPerMs / slowdown,
    attentionMsPerMillionPairs: engine.attentionMsPerMillionPairs * slowdown,
  };
}
