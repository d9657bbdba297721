/** Measures the control overhead of a node, as slopes over the number of nodes and of requests. */
import { type Fleet } from '../../fakes/fleet.js';
import { startBench } from '../bench.js';
import { createPolicy, PolicyName } from '../compare.js';
import { round } from '../figures.js';
import { type LoadRequest } from '../load.js';
import { fitLine, measureCost, type NodeCost } from '../node-cost.js';
import { runLoad } from '../run.js';
import { atMost, type Scenario, type ScenarioReport } from '../scenario.js';

/** Upper bounds of the control traffic, processor share and private memory of one node. */
const MAX_CONTROL_BYTES_PER_SECOND = 4_096;
const MAX_PROCESSOR_FRACTION = 0.02;
const MAX_PRIVATE_MEGABYTES = 64;
/** Deployment size and load for which the control traffic under load is calculated. */
const ENTRIES = 410;
const SERVERS = 600;
const REQUESTS_PER_SECOND = 1_300;

const IDLE_SECONDS = 8;
const SETTLE_MS = 6_000;
const LOAD_SECONDS = 4;
/** Fleet sizes over which the idle cost is fitted. */
const FLEET_SIZES = [
  { entries: 2, engines: 3 },
  { entries: 8, engines: 12 },
] as const;
/** Request rates, per second, over which the cost per request is fitted. */
const REQUEST_RATES = [20, 60, 100] as const;
const SHORT_ANSWER_TOKENS = 4;
const LONG_ANSWER_TOKENS = 64;

function pause(forMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, forMs));
}

/** Returns requests at a constant rate, with prompts of 1,000 tokens. */
function steadyLoad(perSecond: number, maxTokens: number, seconds: number): LoadRequest[] {
  return Array.from({ length: perSecond * seconds }, (_, index) => ({
    atMs: (index * 1_000) / perSecond,
    account: `small-${String((index % 8) + 1)}`,
    rank: 'standard',
    promptTokens: 1_000,
    maxTokens,
    key: String(index),
    prefixGroup: '',
  }));
}

interface IdlePoint {
  readonly nodes: number;
  readonly entry: NodeCost;
  readonly side: NodeCost;
}

async function measureIdle(size: (typeof FLEET_SIZES)[number]): Promise<IdlePoint> {
  const fleet = await startBench(size);
  try {
    await pause(SETTLE_MS);
    const idle = pause(IDLE_SECONDS * 1_000);
    const [entry, side] = await Promise.all([
      measureCost(fleet.entries, () => idle),
      measureCost(fleet.sides, () => idle),
    ]);
    return { nodes: size.entries + size.engines, entry, side };
  } finally {
    await fleet.stop();
  }
}

interface LoadPoint {
  readonly requests: number;
  readonly tokens: number;
  readonly entry: NodeCost;
  readonly side: NodeCost;
}

async function measureLoad(fleet: Fleet, perSecond: number, maxTokens: number): Promise<LoadPoint> {
  const load = steadyLoad(perSecond, maxTokens, LOAD_SECONDS);
  const policy = createPolicy(PolicyName.Toucanbend, fleet);
  const run = runLoad(load, policy, `cost ${String(perSecond)} ${String(maxTokens)}`);
  const [entry, side] = await Promise.all([
    measureCost(fleet.entries, () => run),
    measureCost(fleet.sides, () => run),
  ]);
  return { requests: load.length, tokens: load.length * maxTokens, entry, side };
}

/** Returns the cost of one request, summed over all entries or all sides. */
function fitCostPerRequest(
  points: readonly LoadPoint[],
  role: 'entry' | 'side',
  nodes: number,
  select: (cost: NodeCost) => number,
): number {
  return fitLine(points.map((point) => [point.requests, select(point[role]) * nodes])).slope;
}

/** Fits the idle cost per second of one node as a line over the number of nodes. */
function fitIdleCost(
  points: readonly IdlePoint[],
  role: 'entry' | 'side',
  select: (cost: NodeCost) => number,
): object {
  const { base, slope } = fitLine(
    points.map((point) => [point.nodes, select(point[role]) / point[role].seconds]),
  );
  return { atZero: round(base), perNode: round(slope) };
}

async function run(): Promise<ScenarioReport> {
  const idle: IdlePoint[] = [];
  for (const size of FLEET_SIZES) {
    idle.push(await measureIdle(size));
  }
  const fleet = await startBench({ entries: 2, engines: 4 });
  const ratePoints: LoadPoint[] = [];
  const answerLengthPoints: LoadPoint[] = [];
  try {
    await measureLoad(fleet, REQUEST_RATES[2], SHORT_ANSWER_TOKENS);
    for (const rate of REQUEST_RATES) {
      ratePoints.push(await measureLoad(fleet, rate, SHORT_ANSWER_TOKENS));
    }
    answerLengthPoints.push(
      await measureLoad(fleet, REQUEST_RATES[1], SHORT_ANSWER_TOKENS),
      await measureLoad(fleet, REQUEST_RATES[1], LONG_ANSWER_TOKENS),
    );
  } finally {
    await fleet.stop();
  }
  const nodes = { entry: 2, side: 4 };
  const slopes = (role: 'entry' | 'side'): RequestSlopes => ({
    controlBytes: fitCostPerRequest(ratePoints, role, nodes[role], (cost) => cost.controlBytes),
    controlFrames: fitCostPerRequest(ratePoints, role, nodes[role], (cost) => cost.controlFrames),
    processorMs: fitCostPerRequest(ratePoints, role, nodes[role], (cost) => cost.processorMs),
    processorMsPerToken: fitLine(
      answerLengthPoints.map((point) => [point.tokens, point[role].processorMs * nodes[role]]),
    ).slope,
  });
  return createReport(idle, slopes('entry'), slopes('side'), ratePoints.at(-1));
}

interface RequestSlopes {
  readonly controlBytes: number;
  readonly controlFrames: number;
  readonly processorMs: number;
  readonly processorMsPerToken: number;
}

function createReport(
  idle: readonly IdlePoint[],
  entry: RequestSlopes,
  side: RequestSlopes,
  busiest: LoadPoint | undefined,
): ScenarioReport {
  const largest = idle.at(-1);
  const idleBytes = (role: 'entry' | 'side'): number =>
    largest === undefined ? 0 : largest[role].controlBytes / largest[role].seconds;
  const idleProcessor = (role: 'entry' | 'side'): number =>
    largest === undefined ? 0 : largest[role].processorMs / largest[role].seconds / 1_000;
  const rounded = (slopes: RequestSlopes): object =>
    Object.fromEntries(Object.entries(slopes).map(([name, value]) => [name, round(Number(value))]));
  const roles = (['entry', 'side'] as const).map((role) => ({
    role,
    idleBytesPerSecond: fitIdleCost(idle, role, (cost) => cost.controlBytes),
    idleProcessorMsPerSecond: fitIdleCost(idle, role, (cost) => cost.processorMs),
    privateMegabytesIdle: idle.map((point) => [point.nodes, round(point[role].privateMegabytes)]),
    privateMegabytesLoaded: round(busiest?.[role].privateMegabytes ?? 0),
    perRequest: rounded(role === 'entry' ? entry : side),
  }));
  const entryRate = REQUESTS_PER_SECOND / ENTRIES;
  const sideRate = REQUESTS_PER_SECOND / SERVERS;
  return {
    policies: {},
    ratios: {},
    figures: { roles },
    targets: [
      atMost(
        'entryControlBytesPerSecondAtSize',
        MAX_CONTROL_BYTES_PER_SECOND,
        round(idleBytes('entry') + entryRate * entry.controlBytes),
      ),
      atMost(
        'sideControlBytesPerSecondAtSize',
        MAX_CONTROL_BYTES_PER_SECOND,
        round(idleBytes('side') + sideRate * side.controlBytes),
      ),
      atMost('entryIdleProcessorPart', MAX_PROCESSOR_FRACTION, round(idleProcessor('entry'))),
      atMost('sideIdleProcessorPart', MAX_PROCESSOR_FRACTION, round(idleProcessor('side'))),
      atMost('entryPrivateMegabytesIdle', MAX_PRIVATE_MEGABYTES, round(largest?.entry.privateMegabytes ?? 0)),
      atMost('sidePrivateMegabytesIdle', MAX_PRIVATE_MEGABYTES, round(largest?.side.privateMegabytes ?? 0)),
    ],
  };
}

export const controlCost: Scenario = {
  name: 'control-cost',
  description:
    'control traffic, processor time and private memory of a node, as slopes over nodes and requests',
  seconds: LOAD_SECONDS,
  run,
};
