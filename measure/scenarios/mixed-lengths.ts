/** Measures how short prompts fare next to prompts of up to 300,000 tokens, at 70% of capacity. */
import { benchAccounts, benchRanks, ENGINE_TOKENS_PER_SECOND, startBench } from '../bench.js';
import {
  filterByLength,
  firstTokenTimes,
  fractionWithinTarget,
  ratio,
  runFigures,
  summariseLatencies,
} from '../figures.js';
import { drawLoad, type LoadRequest } from '../load.js';
import { LeastLoadedPolicy, NaivePolicy, type Policy, ToucanbendPolicy } from '../policy.js';
import { runLoad, type RunRecord } from '../run.js';
import { atLeast, atMost, type Scenario } from '../scenario.js';

const ENGINES = 6;
const UTILISATION = 0.7;
const SHORT_TOKENS = 8_000;
const LONG_TOKENS = 100_000;
const LONGEST_TOKENS = 300_000;

const ranks = [
  { name: 'urgent', share: 30 },
  { name: 'standard', share: 50 },
  { name: 'batch', share: 20 },
];

function drawMixedLoad(seconds: number, seed: number): LoadRequest[] {
  const tokensPerSecond = ENGINES * ENGINE_TOKENS_PER_SECOND * UTILISATION;
  return drawLoad(
    [
      {
        name: 'mixed',
        tokensPerSecond,
        accounts: benchAccounts,
        ranks,
        minPromptTokens: 1_000,
        maxPromptTokens: LONGEST_TOKENS,
      },
    ],
    seconds,
    seed,
  );
}

const shortRequests = (records: readonly RunRecord[]): RunRecord[] =>
  filterByLength(records, 0, SHORT_TOKENS);
const longRequests = (records: readonly RunRecord[]): RunRecord[] =>
  filterByLength(records, LONG_TOKENS, Infinity);

/** Runs the short prompts alone and then the whole load through a policy, and compares the short prompts of both. */
async function measurePolicy(
  createPolicy: () => Policy,
  load: readonly LoadRequest[],
  label: string,
): Promise<PolicyFigures> {
  const alone = await runLoad(
    load.filter((request) => request.promptTokens < SHORT_TOKENS),
    createPolicy(),
    `${label} alone`,
  );
  const mixed = await runLoad(load, createPolicy(), `${label} mixed`);
  const p95Alone = summariseLatencies(firstTokenTimes(alone)).p95;
  const p95Mixed = summariseLatencies(firstTokenTimes(shortRequests(mixed))).p95;
  const longs = longRequests(mixed);
  return {
    ...runFigures(mixed),
    shortP95AloneMs: p95Alone,
    shortSlowdown: ratio(p95Mixed, p95Alone),
    shortWithinTarget: fractionWithinTarget(shortRequests(mixed), benchRanks.urgent.firstTokenTargetMs),
    longFirstTokenP50: summariseLatencies(firstTokenTimes(longs)).p50,
    longsUnfinished: longs.filter(({ result }) => result.outcome !== 'complete').length,
  };
}

interface PolicyFigures {
  readonly shortP95AloneMs: number;
  readonly shortSlowdown: number;
  readonly shortWithinTarget: number;
  readonly longFirstTokenP50: number;
  readonly longsUnfinished: number;
}

export const mixedLengths: Scenario = {
  name: 'mixed-lengths',
  description: 'prompts of 1,000 to 300,000 tokens at 70% of capacity, short and long ones at once',
  seconds: 5,
  run: async ({ seconds, seed }) => {
    const load = drawMixedLoad(seconds, seed);
    const fleet = await startBench({ engines: ENGINES });
    try {
      const naive = await measurePolicy(() => new NaivePolicy(fleet), load, 'naive');
      const leastLoaded = await measurePolicy(() => new LeastLoadedPolicy(fleet), load, 'least-loaded');
      const toucanbend = await measurePolicy(() => new ToucanbendPolicy(fleet), load, 'toucanbend');
      const longFirstTokenRatio = ratio(toucanbend.longFirstTokenP50, naive.longFirstTokenP50);
      return {
        policies: { naive, 'least-loaded': leastLoaded, toucanbend },
        ratios: { longFirstTokenP50OverNaive: longFirstTokenRatio },
        targets: [
          atLeast('shortWithinTarget', 0.95, toucanbend.shortWithinTarget),
          atMost('shortSlowdown', 1.2, toucanbend.shortSlowdown),
          atMost('longFirstTokenP50OverNaive', 1.3, longFirstTokenRatio),
          atMost('longsUnfinished', 0, toucanbend.longsUnfinished),
        ],
      };
    } finally {
      await fleet.stop();
    }
  },
};
