/** Parameters of an engine, as its operator publishes them. */

/** What an engine's speed and capacity follow from. */
export interface EngineParameters {
  /** Requests that run at once. */
  readonly slots: number;
  /** Tokens that fit into the engine's memory. */
  readonly memoryTokens: number;
  /** Steps in a pass that generates tokens; each step gives one token to each generating request. */
  readonly stepsPerPass: number;
  /** Prompt tokens that are prefilled in one step at most. */
  readonly chunkTokens: number;
  /** Base duration of a step in milliseconds. */
  readonly stepMs: number;
  /** Duration that each generating request adds to a step, in milliseconds. */
  readonly generatingMs: number;
  /** Duration that each 1,000 tokens of a generating request's context add to a step, in milliseconds. */
  readonly contextMsPerThousand: number;
  /** Prompt tokens that are prefilled in a millisecond, before attention. */
  readonly prefillTokensPerMs: number;
  /** Milliseconds for a million pairs of a prompt token and an earlier one. */
  readonly attentionMsPerMillionPairs: number;
  /** Duration that reading the memory of helping engines adds to a step, in milliseconds. */
  readonly helperHopMs: number;
}

/** A prompt's length and its expected answer. */
export interface Generation {
  readonly promptTokens: number;
  /** Expected length of the answer in tokens. */
  readonly answerTokens: number;
  /** Where this is one of the even parts of a prompt that several engines prefill: the length of that prompt. */
  readonly wholeTokens?: number | undefined;
}

const PAIRS_PER_MILLION = 1_000_000;
const TOKENS_PER_THOUSAND = 1_000;

/**
 * Gives the time that an engine needs to prefill a part of a prompt.
 *
 * @param engine - parameters of the engine
 * @param fromToken - tokens of the prompt that are already prefilled
 * @param tokens - tokens to prefill
 * @returns time in milliseconds
 */
export function prefillMs(engine: EngineParameters, fromToken: number, tokens: number): number {
  const pairs = tokens * (fromToken + tokens / 2);
  return tokens / engine.prefillTokensPerMs + (pairs / PAIRS_PER_MILLION) * engine.attentionMsPerMillionPairs;
}

/**
 * Gives the time that an engine needs to prefill the next tokens of a prompt or of a part of one.
 *
 * @param engine - parameters of the engine
 * @param generation - the prompt, or the part
 * @param fromToken - tokens that are already prefilled
 * @param tokens - tokens to prefill
 * @returns time in milliseconds; a part has its share of the pairs of the whole prompt
 */
export function prefillNextMs(
  engine: EngineParameters,
  generation: Generation,
  fromToken: number,
  tokens: number,
): number {
  if (generation.wholeTokens === undefined) {
    return prefillMs(engine, fromToken, tokens);
  }
  const pairs = (tokens * generation.wholeTokens) / 2;
  return tokens / engine.prefillTokensPerMs + (pairs / PAIRS_PER_MILLION) * engine.attentionMsPerMillionPairs;
}

/**
 * Gives the time that one generating request adds to a step.
 *
 * @param engine - parameters of the engine
 * @param contextTokens - tokens of its prompt and of its answer so far
 * @returns time in milliseconds
 */
export function generatingStepMs(engine: EngineParameters, contextTokens: number): number {
  return engine.generatingMs + (contextTokens / TOKENS_PER_THOUSAND) * engine.contextMsPerThousand;
}

/**
 * Gives the parameters of an engine that is slower than published.
 *
 * @param engine - published parameters
 * @param slowdown - how many times as slow it is
 * @returns parameters with longer times
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
