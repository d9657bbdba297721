/** Measures non-idempotent calls while the store is unavailable for part of the run. */
import { createRandom } from '@toucanbend/core';
import { callService, type CallerResult } from '../../fakes/caller.js';
import { callJson, CONFIRM_PATH, type Fleet } from '../../fakes/fleet.js';
import { StoreFault } from '../../fakes/store.js';
import { startBench } from '../bench.js';
import { ratio, summariseLatencies } from '../figures.js';
import { atLeast, atMost, type Scenario } from '../scenario.js';

const REQUESTS_PER_SECOND = 40;
/** Fraction of the requests with an idempotency key that are sent to both entries at once. */
const RESENT_FRACTION = 0.3;
/** Fraction of the requests that carry an idempotency key. */
const KEYED_FRACTION = 0.7;
const SERVICES = 3;
const DEADLINE_MS = 2_500;
/** Period in which the store is unavailable, as fractions of the run. */
const OUTAGE = { from: 0.4, until: 0.7 };

interface Confirmation {
  readonly body: string;
  readonly hasKey: boolean;
  readonly duringOutage: boolean;
  /** One result for each time the confirmation was sent. */
  readonly results: readonly CallerResult[];
}

async function confirm(fleet: Fleet, body: string, hasKey: boolean, entry: number): Promise<CallerResult> {
  const port = fleet.entries[entry % fleet.entries.length]?.callerPort ?? 0;
  const key = fleet.keyOf('small-1');
  const request = { port, key, path: CONFIRM_PATH, body, deadlineMs: DEADLINE_MS };
  return callService(hasKey ? { ...request, idempotencyKey: body } : request);
}

/** Counts the confirmations whose first result has the outcome. */
function countOutcome(confirmations: readonly Confirmation[], outcome: string): number {
  return confirmations.filter(({ results }) => results[0]?.outcome === outcome).length;
}

function completeFraction(confirmations: readonly Confirmation[]): number {
  return ratio(countOutcome(confirmations, 'complete'), confirmations.length);
}

/** Returns how often each confirmation ran, over all services. */
async function countRuns(fleet: Fleet): Promise<Map<string, number>> {
  const runs = new Map<string, number>();
  for (const backend of fleet.backends) {
    for (const [body, times] of Object.entries(
      await callJson<Record<string, number>>(backend.port, '/runs'),
    )) {
      runs.set(body, (runs.get(body) ?? 0) + times);
    }
  }
  return runs;
}

async function run(fleet: Fleet, seconds: number, seed: number): Promise<Confirmation[]> {
  const random = createRandom(seed);
  const total = REQUESTS_PER_SECOND * seconds;
  const startAt = performance.now();
  const isOutage = (index: number): boolean => index >= total * OUTAGE.from && index < total * OUTAGE.until;
  const setStore = (fault: StoreFault, fraction: number): Promise<unknown> =>
    new Promise((resolve) => setTimeout(resolve, seconds * 1_000 * fraction)).then(() =>
      callJson(fleet.store.port, '/fault', fault),
    );
  const outage = Promise.all([
    setStore(StoreFault.Out, OUTAGE.from),
    setStore(StoreFault.None, OUTAGE.until),
  ]);
  const confirmations = await Promise.all(
    Array.from({ length: total }, async (_, index): Promise<Confirmation> => {
      const hasKey = random.fraction() < KEYED_FRACTION;
      const isResent = hasKey && random.fraction() < RESENT_FRACTION;
      const entry = random.below(2);
      const atMs = index * (1_000 / REQUESTS_PER_SECOND);
      await new Promise((resolve) => setTimeout(resolve, startAt + atMs - performance.now()));
      const body = `order ${String(index)}`;
      const sends = [
        confirm(fleet, body, hasKey, entry),
        ...(isResent ? [confirm(fleet, body, hasKey, entry + 1)] : []),
      ];
      return { body, hasKey, duringOutage: isOutage(index), results: await Promise.all(sends) };
    }),
  );
  await outage;
  return confirmations;
}

export const confirmations: Scenario = {
  name: 'confirmations',
  description: 'order confirmations, some sent twice at once, with the store unavailable for 30% of the run',
  seconds: 8,
  run: async ({ seconds, seed }) => {
    const fleet = await startBench({ engines: 1, services: SERVICES });
    try {
      const all = await run(fleet, seconds, seed);
      const runs = await countRuns(fleet);
      const repeatedRuns = [...runs.values()].filter((times) => times > 1).length;
      const falseNotRun = all.filter(
        ({ body, results }) => runs.has(body) && results.every(({ outcome }) => outcome === 'not_run'),
      ).length;
      const completeWithoutRun = all.filter(
        ({ body, results }) => !runs.has(body) && results.some(({ outcome }) => outcome === 'complete'),
      ).length;
      const outage = all.filter(({ duringOutage }) => duringOutage);
      const normal = all.filter(({ duringOutage }) => !duringOutage);
      const figures = {
        requests: all.length,
        complete: countOutcome(all, 'complete'),
        notRun: countOutcome(all, 'not_run'),
        unknown: countOutcome(all, 'unknown'),
        completePart: completeFraction(normal),
        completePartInOutageWithKey: completeFraction(outage.filter(({ hasKey }) => hasKey)),
        completePartInOutageWithoutKey: completeFraction(outage.filter(({ hasKey }) => !hasKey)),
        elapsed: summariseLatencies(
          normal.flatMap(({ results }) => results.map(({ elapsedMs }) => elapsedMs)),
        ),
        storeCalls: await callJson<object>(fleet.store.port, '/calls'),
      };
      return {
        policies: { toucanbend: figures },
        ratios: {},
        targets: [
          atMost('runTwice', 0, repeatedRuns),
          atMost('falseNotRun', 0, falseNotRun),
          atMost('completeWithoutRun', 0, completeWithoutRun),
          atLeast('completePart', 0.99, figures.completePart),
          atLeast('completePartInOutageWithoutKey', 0.99, figures.completePartInOutageWithoutKey),
        ],
      };
    } finally {
      await fleet.stop();
    }
  },
};
