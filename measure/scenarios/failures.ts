/** Measures steady load during failures: killed engines, slow links, an unavailable store. */
import { benchAccounts, benchEngine, benchRanks, ENGINE_TOKENS_PER_SECOND, startBench } from '../bench.js';
import { comparePolicies, createPolicy, PolicyName } from '../compare.js';
import { fractionWithinTarget, ratio, runFigures } from '../figures.js';
import { drawLoad, type LoadRequest } from '../load.js';
import { runLoad, type RunRecord } from '../run.js';
import { atLeast, atMost, type Scenario } from '../scenario.js';
import { callJson, type Fleet } from '../../fakes/fleet.js';
import { StoreFault } from '../../fakes/store.js';

const UTILISATION = 0.5;
const ENGINES = 4;

const ranks = [
  { name: 'urgent', share: 40 },
  { name: 'standard', share: 60 },
];

function drawSteadyLoad(seconds: number, seed: number): LoadRequest[] {
  const tokensPerSecond = ENGINES * ENGINE_TOKENS_PER_SECOND * UTILISATION;
  const accounts = benchAccounts;
  return drawLoad(
    [{ name: 'steady', tokensPerSecond, accounts, ranks, minPromptTokens: 1_000, maxPromptTokens: 30_000 }],
    seconds,
    seed,
  );
}

type FailureFigures = ReturnType<typeof runFigures> & {
  readonly completePart: number;
  readonly withinTarget: number;
};

function summarise(records: readonly RunRecord[]): FailureFigures {
  const complete = records.filter(({ result }) => result.outcome === 'complete');
  return {
    ...runFigures(records),
    completePart: ratio(complete.length, records.length),
    withinTarget: fractionWithinTarget(records, benchRanks.standard.firstTokenTargetMs),
  };
}

/** Kills the first engine after a delay and restarts it 800 ms after it has exited. */
async function killAndRestartEngine(fleet: Fleet, afterMs: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, afterMs));
  const [engine] = fleet.backends;
  engine?.process.signal('SIGKILL');
  await engine?.process.exited;
  await new Promise((resolve) => setTimeout(resolve, 800));
  await engine?.restart();
}

/** One of four engines is killed halfway through the run and restarted. */
export const engineDeaths: Scenario = {
  name: 'engine-deaths',
  description: 'one of four engines is killed halfway through the run and restarted',
  seconds: 5,
  run: async ({ seconds, seed }) => {
    const fleet = await startBench({ engines: ENGINES });
    try {
      const load = drawSteadyLoad(seconds, seed);
      const runs = new Map<PolicyName, FailureFigures>();
      for (const name of [PolicyName.Naive, PolicyName.LeastLoaded, PolicyName.Toucanbend]) {
        const engineRestart = killAndRestartEngine(fleet, (seconds * 1_000) / 2);
        runs.set(name, summarise(await runLoad(load, createPolicy(name, fleet), name)));
        await engineRestart;
      }
      const toucanbend = runs.get(PolicyName.Toucanbend);
      return {
        policies: Object.fromEntries(runs),
        ratios: {},
        targets: [
          atMost('wrongAnswers', 0, toucanbend?.violations ?? 1),
          atMost('unknown', 0, toucanbend?.outcomes['unknown'] ?? 0),
          atLeast('withinTarget', 0.95, toucanbend?.withinTarget ?? 0),
        ],
      };
    } finally {
      await fleet.stop();
    }
  },
};

const ONE_WAY_MS = 3.5;
const JITTER_MS = 3;

/** Links to two of three data centres have delay and jitter. */
export const slowLinks: Scenario = {
  name: 'slow-links',
  description:
    'engines in three data centres; links to two of them have a one-way delay of 3.5 ms with jitter',
  seconds: 5,
  run: async ({ seconds, seed }) => {
    const dataCentres = ['dc-1', 'dc-2', 'dc-3'].map((name) => ({ name, region: 'bagmati' }));
    const backends = Array.from({ length: ENGINES }, (_, index) => ({
      name: `engine-${String(index + 1)}`,
      dataCentre: dataCentres[index % dataCentres.length]?.name ?? '',
      engine: benchEngine,
    }));
    const relayDelaysMs = { 'dc-1': 0, 'dc-2': ONE_WAY_MS, 'dc-3': ONE_WAY_MS };
    const plan = { dataCentres, backends, relayDelaysMs, relayJitterMs: JITTER_MS };
    const fleet = await startBench({ plan });
    try {
      const compared = await comparePolicies(fleet, drawSteadyLoad(seconds, seed), summarise);
      return {
        policies: compared,
        ratios: {},
        targets: [
          atMost('wrongAnswers', 0, compared.toucanbend.violations),
          atLeast('withinTarget', 0.95, compared.toucanbend.withinTarget),
        ],
      };
    } finally {
      await fleet.stop();
    }
  },
};

/** The key-value store is unavailable for the whole run; an earlier run gives the figures to compare with. */
export const storeOutage: Scenario = {
  name: 'store-outage',
  description: 'the key-value store is unavailable for the whole run',
  seconds: 5,
  run: async ({ seconds, seed }) => {
    const fleet = await startBench({ engines: ENGINES });
    try {
      const load = drawSteadyLoad(seconds, seed);
      const before = summarise(await runLoad(load, createPolicy(PolicyName.Toucanbend, fleet), 'before'));
      await callJson(fleet.store.port, '/fault', StoreFault.Out);
      const during = summarise(await runLoad(load, createPolicy(PolicyName.Toucanbend, fleet), 'during'));
      return {
        policies: { before, toucanbend: during },
        ratios: { completeDuringOverBefore: ratio(during.completePart, before.completePart) },
        targets: [
          atMost('wrongAnswers', 0, during.violations),
          atLeast('withinTarget', 0.95, during.withinTarget),
        ],
      };
    } finally {
      await fleet.stop();
    }
  },
};
