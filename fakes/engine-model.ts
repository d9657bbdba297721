/** Speed and memory model of the fake model engine: continuous batching, one iteration at a time. */
import { advanceText, nextToken, startText, type TextState } from './text.js';

/** All parameters of the speed model. */
export interface EngineSpeed {
  /** Prefill rate in tokens per millisecond. */
  readonly prefillTokensPerMs: number;
  /** Maximum number of tokens that one iteration prefills. */
  readonly chunkTokens: number;
  /** Duration of an iteration without prefill, in milliseconds. */
  readonly iterationMs: number;
  /** Additional time for each answer that the iteration extends, in milliseconds. */
  readonly perAnswerMs: number;
  readonly memoryTokens: number;
}

/** Speed of an engine in real time. */
export const realSpeed: EngineSpeed = {
  prefillTokensPerMs: 20,
  chunkTokens: 512,
  iterationMs: 6,
  perAnswerMs: 0.1,
  memoryTokens: 400_000,
};

const BLOCK_CHARACTERS = 1_024;
const BLOCK_TOKENS = 256;

/** A request that the engine holds, queued or admitted. */
export interface Sequence {
  readonly promptTokens: number;
  readonly maxTokens: number;
  readonly priority: number;
  readonly serial: number;
  readonly blocks: readonly number[];
  prefilled: number;
  generated: number;
  text: TextState;
  admitted: boolean;
  readonly emit: (token: string) => void;
  readonly finish: () => void;
}

/** The engine's batch and memory. */
export interface EngineModel {
  add(
    prompt: string,
    maxTokens: number,
    priority: number,
    emit: (token: string) => void,
    finish: () => void,
  ): Sequence | undefined;
  remove(sequence: Sequence): void;
  /** Returns the next iteration's duration and completion callback, or undefined while the engine is idle. */
  plan(): { readonly durationMs: number; readonly complete: () => void } | undefined;
  usedTokens(): number;
  cacheTokens(): number;
  running(): number;
}

/**
 * Creates the model of an idle engine.
 *
 * @param speed - prefill rate, iteration times and memory of the engine
 * @returns a model without running sequences and with an empty cache
 */
export function createEngineModel(speed: EngineSpeed): EngineModel {
  const sequences = new Set<Sequence>();
  const cache = new Map<number, true>();
  let serial = 0;

  const held = (sequence: Sequence): number => sequence.promptTokens + sequence.maxTokens;
  const usedTokens = (): number => {
    let total = 0;
    for (const sequence of sequences) {
      total += sequence.admitted ? held(sequence) : 0;
    }
    return total;
  };
  const trimCache = (): void => {
    const room = Math.max(0, speed.memoryTokens - usedTokens());
    for (const block of cache.keys()) {
      if (cache.size * BLOCK_TOKENS <= room) {
        return;
      }
      cache.delete(block);
    }
  };
  const cachedPrefix = (blocks: readonly number[]): number => {
    let count = 0;
    for (const block of blocks) {
      if (!cache.delete(block)) {
        break;
      }
      cache.set(block, true);
      count += 1;
    }
    return count * BLOCK_TOKENS;
  };
  const byPriority = (left: Sequence, right: Sequence): number =>
    left.priority - right.priority || left.serial - right.serial;

  const admit = (): void => {
    for (const sequence of [...sequences].filter((other) => !other.admitted).sort(byPriority)) {
      if (usedTokens() + held(sequence) > speed.memoryTokens) {
        return;
      }
      sequence.admitted = true;
      sequence.prefilled = Math.min(cachedPrefix(sequence.blocks), sequence.promptTokens - 1);
      trimCache();
    }
  };

  const planPrefill = (): Map<Sequence, number> => {
    const plan = new Map<Sequence, number>();
    let budget = speed.chunkTokens;
    const waiting = [...sequences].filter((other) => other.admitted && other.prefilled < other.promptTokens);
    for (const sequence of waiting.sort(byPriority)) {
      const share = Math.min(budget, sequence.promptTokens - sequence.prefilled);
      if (share > 0) {
        plan.set(sequence, share);
        budget -= share;
      }
    }
    return plan;
  };

  const extend = (sequence: Sequence): void => {
    const token = nextToken(sequence.text);
    sequence.text = advanceText(sequence.text, token);
    sequence.generated += 1;
    sequence.emit(token);
    if (sequence.generated >= sequence.maxTokens) {
      sequences.delete(sequence);
      sequence.finish();
    }
  };

  const finishPrefill = (sequence: Sequence): void => {
    for (const block of sequence.blocks) {
      cache.delete(block);
      cache.set(block, true);
    }
    trimCache();
    extend(sequence);
  };

  return {
    usedTokens,
    cacheTokens: () => cache.size * BLOCK_TOKENS,
    running: () => sequences.size,
    add: (prompt, maxTokens, priority, emit, finish) => {
      const promptTokens = Math.max(1, Math.ceil(prompt.length / 4));
      if (promptTokens + maxTokens > speed.memoryTokens) {
        return undefined;
      }
      const blocks: number[] = [];
      let text = startText();
      for (let start = 0; start < prompt.length; start += BLOCK_CHARACTERS) {
        text = advanceText(text, prompt.slice(start, start + BLOCK_CHARACTERS));
        if (start + BLOCK_CHARACTERS <= prompt.length) {
          blocks.push(text);
        }
      }
      serial += 1;
      const sequence: Sequence = {
        promptTokens,
        maxTokens,
        priority,
        serial,
        blocks,
        prefilled: 0,
        generated: 0,
        text,
        admitted: false,
        emit,
        finish,
      };
      sequences.add(sequence);
      return sequence;
    },
    remove: (sequence) => {
      sequences.delete(sequence);
    },
    plan: () => {
      if (sequences.size === 0) {
        return undefined;
      }
      admit();
      const prefill = planPrefill();
      const answers = [...sequences].filter(
        (other) => other.admitted && other.prefilled >= other.promptTokens,
      );
      const tokens = [...prefill.values()].reduce((sum, share) => sum + share, 0);
      const durationMs =
        speed.iterationMs + speed.perAnswerMs * answers.length + tokens / speed.prefillTokensPerMs;
      const complete = (): void => {
        answers.filter((sequence) => sequences.has(sequence)).forEach(extend);
        for (const [sequence, share] of prefill) {
          sequence.prefilled += share;
          if (sequences.has(sequence) && sequence.prefilled >= sequence.promptTokens) {
            finishPrefill(sequence);
          }
        }
      };
      return { durationMs, complete };
    },
  };
}
