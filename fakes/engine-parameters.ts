/** Example engine parameters for tests of placement and forwarding. */
import { type EngineParameters } from '@toucanbend/engine-model';

/** An engine with memory for 200,000 tokens. */
export const smallEngine: EngineParameters = {
  slots: 8,
  memoryTokens: 200_000,
  stepsPerPass: 43,
  chunkTokens: 2_048,
  stepMs: 1,
  generatingMs: 0.003,
  contextMsPerThousand: 0.004,
  prefillTokensPerMs: 206,
  attentionMsPerMillionPairs: 0.138,
  helperHopMs: 0.075,
};
