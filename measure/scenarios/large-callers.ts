/** Measures fairness between accounts when two of them request far more than their share. */
import { benchAccounts, benchRanks, ENGINE_TOKENS_PER_SECOND, startBench } from '../bench.js';
import { comparePolicies, createPolicy, PolicyName } from '../compare.js';
import { firstTokenTimes, goodputTokens, ratio, runFigures, summariseLatencies } from '../figures.js';
import { drawLoad, type Stream } from '../load.js';
import { runLoad, type RunRecord } from '../run.js';
import { atLeast, atMost, type Scenario } from '../scenario.js';

const ENGINES = 3;
const CAPACITY = ENGINES * ENGINE_TOKENS_PER_SECOND;
/** Offered load of each small and of each large account, as a fraction of capacity. */
const SMALL_CAPACITY_SHARE = 0.04;
const LARGE_CAPACITY_SHARE = 1.2;

const largeNames = benchAccounts.map(({ name }) => name).filter((name) => name.startsWith('large'));
const smallNames = benchAccounts.map(({ name }) => name).filter((name) => name.startsWith('small'));

function accountStream(account: string, capacityShare: number): Stream {
  return {
    name: account,
    tokensPerSecond: CAPACITY * capacityShare,
    accounts: [{ name: account, share: 1 }],
    ranks: [{ name: 'standard', share: 1 }],
    minPromptTokens: 1_000,
    maxPromptTokens: 15_000,
  };
}

const filterByAccounts = (records: readonly RunRecord[], names: readonly string[]): RunRecord[] =>
  records.filter(({ request }) => names.includes(request.account));

/** Returns the tokens served to an account within the deadline, as a fraction of the tokens it requested. */
function servedFraction(records: readonly RunRecord[], account: string): number {
  const accountRecords = filterByAccounts(records, [account]);
  const requestedTokens = accountRecords.reduce(
    (sum, { request }) => sum + request.promptTokens + request.maxTokens,
    0,
  );
  return ratio(goodputTokens(accountRecords, benchRanks.standard.deadlineMs), requestedTokens);
}

function summarise(records: readonly RunRecord[]): ReturnType<typeof runFigures> & CallerFigures {
  const served = Object.fromEntries(benchAccounts.map(({ name }) => [name, servedFraction(records, name)]));
  return {
    ...runFigures(records),
    served,
    leastServedSmall: Math.min(...smallNames.map((name) => served[name] ?? 0)),
    smallFirstTokenP95: summariseLatencies(firstTokenTimes(filterByAccounts(records, smallNames))).p95,
    largeFirstTokenP95: summariseLatencies(firstTokenTimes(filterByAccounts(records, largeNames))).p95,
  };
}

interface CallerFigures {
  /** Fraction of the requested tokens that was served, by account. */
  readonly served: Readonly<Record<string, number>>;
  readonly leastServedSmall: number;
  readonly smallFirstTokenP95: number;
  readonly largeFirstTokenP95: number;
}

export const largeCallers: Scenario = {
  name: 'large-callers',
  description: 'two large accounts request 2.4 times the capacity while eight small ones continue',
  seconds: 5,
  run: async ({ seconds, seed }) => {
    const small = smallNames.map((name) => accountStream(name, SMALL_CAPACITY_SHARE));
    const large = largeNames.map((name) => accountStream(name, LARGE_CAPACITY_SHARE));
    const fleet = await startBench({ engines: ENGINES });
    try {
      const quietLoad = drawLoad(small, seconds, seed);
      const quiet = summarise(await runLoad(quietLoad, createPolicy(PolicyName.Toucanbend, fleet), 'quiet'));
      const load = drawLoad([...small, ...large], seconds, seed);
      const compared = await comparePolicies(fleet, load, summarise);
      const slowdown = ratio(compared.toucanbend.smallFirstTokenP95, quiet.smallFirstTokenP95);
      return {
        policies: { quiet, ...compared },
        ratios: { smallFirstTokenP95OverQuiet: slowdown },
        targets: [
          atLeast('leastServedSmall', 0.95, compared.toucanbend.leastServedSmall),
          atMost('smallFirstTokenP95OverQuiet', 1.2, slowdown),
        ],
      };
    } finally {
      await fleet.stop();
    }
  },
};
