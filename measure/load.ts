/** Generates open-loop load from a seed: Poisson arrivals, heavy-tailed prompt lengths, mixed ranks and accounts. */
import { createRandom, type Random } from '@toucanbend/core';

/** One request of a load. */
export interface LoadRequest {
  /** Intended start, in milliseconds after the start of the run. */
  readonly atMs: number;
  readonly account: string;
  readonly rank: string;
  readonly promptTokens: number;
  readonly maxTokens: number;
  /** Unique within a load; makes each prompt distinct. */
  readonly key: string;
  /** Requests with the same value share a prompt prefix; empty for prompts without a shared prefix. */
  readonly prefixGroup: string;
}

/** A Poisson stream of requests; a load is the superposition of its streams. */
export interface Stream {
  readonly name: string;
  /** Mean offered load, in prompt tokens per second. */
  readonly tokensPerSecond: number;
  /** Accounts with their relative shares of the requests. */
  readonly accounts: readonly { readonly name: string; readonly share: number }[];
  /** Ranks with their relative shares of the requests. */
  readonly ranks: readonly { readonly name: string; readonly share: number }[];
  readonly minPromptTokens: number;
  readonly maxPromptTokens: number;
  /** Start and end of the stream within the run, in milliseconds; default: the whole run. */
  readonly fromMs?: number;
  readonly untilMs?: number;
}

/** Shape of the Pareto distribution: about one prompt in fifty is at least 100 times as long as the shortest. */
const PARETO_SHAPE = 0.85;
const MIN_ANSWER_TOKENS = 8;
const MAX_ANSWER_TOKENS = 72;

/** Draws one of the choices with a probability proportional to its share. */
function drawByShare<Item extends { readonly share: number }>(
  choices: readonly Item[],
  random: Random,
): Item {
  let remainder = random.fraction() * choices.reduce((sum, item) => sum + item.share, 0);
  for (const item of choices) {
    remainder -= item.share;
    if (remainder < 0) {
      return item;
    }
  }
  const [first] = choices;
  if (first === undefined) {
    throw new Error('a stream must have at least one account and one rank');
  }
  return first;
}

/** Draws a length from a Pareto distribution truncated to [min, max]. */
function drawPromptLength(min: number, max: number, random: Random): number {
  const tail = 1 - (min / max) ** PARETO_SHAPE;
  return Math.min(max, Math.round(min / (1 - random.fraction() * tail) ** (1 / PARETO_SHAPE)));
}

/** Returns the mean of the distribution that `drawPromptLength` draws from. */
function meanPromptLength(min: number, max: number): number {
  if (min === max) {
    return min;
  }
  const tail = 1 - (min / max) ** PARETO_SHAPE;
  const growth = (max / min) ** (1 - PARETO_SHAPE) - 1;
  return (min * (PARETO_SHAPE / (1 - PARETO_SHAPE)) * growth) / tail;
}

function drawStream(stream: Stream, seconds: number, seed: number): LoadRequest[] {
  const random = createRandom(seed);
  const { minPromptTokens, maxPromptTokens, name } = stream;
  const requestsPerSecond = stream.tokensPerSecond / meanPromptLength(minPromptTokens, maxPromptTokens);
  const untilMs = stream.untilMs ?? seconds * 1_000;
  const requests: LoadRequest[] = [];
  let atMs = stream.fromMs ?? 0;
  for (;;) {
    atMs += (-Math.log(1 - random.fraction()) / requestsPerSecond) * 1_000;
    if (atMs >= untilMs) {
      return requests;
    }
    requests.push({
      atMs,
      account: drawByShare(stream.accounts, random).name,
      rank: drawByShare(stream.ranks, random).name,
      promptTokens: drawPromptLength(minPromptTokens, maxPromptTokens, random),
      maxTokens: MIN_ANSWER_TOKENS + random.below(MAX_ANSWER_TOKENS - MIN_ANSWER_TOKENS),
      key: `${name} ${String(requests.length)}`,
      prefixGroup: '',
    });
  }
}

/**
 * Generates a load.
 *
 * @param streams - the streams that make up the load
 * @param seconds - length of the run, in seconds
 * @param seed - the same seed gives the same load
 * @returns the requests, sorted by intended start
 */
export function drawLoad(streams: readonly Stream[], seconds: number, seed: number): LoadRequest[] {
  return streams
    .flatMap((stream, index) => drawStream(stream, seconds, seed * 1_000 + index))
    .sort((left, right) => left.atMs - right.atMs);
}
