/** Placement with servers at a reduced pace: a release, a herd of restarts, and requests that nothing else can serve. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createManualClock } from '@toucanbend/core';
import { type Logger } from '@toucanbend/observability';
import { createServerPaces, PaceCause, type ServerPaces } from '@toucanbend/pace';
import { type CallCandidate, chooseForCall, createLoadTracker, DecisionKind } from '@toucanbend/placement';
import { mergeRecords, emptyRegistry } from '@toucanbend/registry';
import { call, desk, plan, recordJob, registryOf, sentTo, serverRecord, shortJob } from './support/jobs.js';

const ignore = (): void => undefined;
const logger: Logger = { decision: ignore, info: ignore, warn: ignore, error: ignore, explain: () => [] };
const paceOf = (shares: Readonly<Record<string, number>>): Pick<ServerPaces, 'shareOf'> => ({
  shareOf: ({ id }) => shares[id] ?? 1,
});

describe('an engine at a reduced pace', () => {
  /** Places short prompts until an engine is full, and returns how many each engine has. */
  function place(count: number, shares: Readonly<Record<string, number>>): Record<string, number> {
    const tracker = createLoadTracker();
    const registry = registryOf('e1', 'e2', 'e3');
    const counts: Record<string, number> = {};
    for (let index = 0; index < count; index += 1) {
      const job = shortJob(`j${String(index)}`);
      const decision = plan(tracker, registry, job, 0, undefined, [], {
        pace: paceOf(shares),
        mayWait: false,
      });
      const server = sentTo(decision);
      recordJob(tracker, server, job);
      counts[server] = (counts[server] ?? 0) + 1;
    }
    return counts;
  }

  it('gets fewer prompts than its equals while these can take them', () => {
    const full = place(9, {});
    const paced = place(9, { e2: 0.125 });
    const least = Math.min(paced['e1'] ?? 0, paced['e3'] ?? 0);
    assert.ok((paced['e2'] ?? 0) < least, JSON.stringify({ full, paced }));
  });

  it('is used for all prompts if no other is there, which neither wait nor are rejected because of its pace', () => {
    const tracker = createLoadTracker();
    const registry = registryOf('e1');
    for (let index = 0; index < 30; index += 1) {
      const job = shortJob(`j${String(index)}`);
      const full = plan(tracker, registry, job);
      const paced = plan(tracker, registry, job, 0, undefined, [], { pace: paceOf({ e1: 0.125 }) });
      assert.equal(paced.kind, full.kind);
      if (full.kind === DecisionKind.Send) {
        recordJob(tracker, 'e1', job);
      }
    }
  });
});

describe('a server of a plain service at a reduced pace', () => {
  const candidate = (server: string, inFlight: number, pace: number): CallCandidate => ({
    server,
    slots: 6,
    inFlight,
    meanCallMs: 40,
    roundTripMs: 0,
    pace,
  });

  it('gets more calls than its pace allows only if its equals have no free slot', () => {
    const chosen = (equals: number): string | undefined =>
      chooseForCall([candidate('new', 2, 0.25), candidate('old', equals, 1)])?.server;
    assert.equal(chosen(5), 'old');
    assert.equal(chosen(6), 'new');
  });

  it('is sent calls that no other server can get', () => {
    const registry = mergeRecords(emptyRegistry, [serverRecord('d1', 'desk')], {});
    const decision = plan(createLoadTracker(), registry, call, 0, desk, [], { pace: paceOf({ d1: 0.125 }) });
    assert.equal(sentTo(decision), 'd1');
  });
});

const SLOTS = 6;
const CALL_MS = 40;
/** Time for which a server that has started answers late and fails calls beyond a few at once, in milliseconds. */
const WARM_UP_MS = 3_000;
const TICK_MS = 2;

interface SimulatedServer {
  readonly id: string;
  readonly bornAtMs: number;
  readonly calls: { readonly sentAtMs: number; readonly endsAtMs: number; readonly isLate: boolean }[];
}

/**
 * Replays a load on servers of which some start anew, through the choice of placement.
 *
 * @param restarts - how many of the eight servers start anew, all at the same time
 * @param hasPace - whether the servers are used at their pace
 * @returns the number of calls that were late at servers that had just started, and the calls in flight at most
 */
function replay(restarts: number, hasPace: boolean): { late: number; served: number; endShare: number } {
  const clock = createManualClock(0);
  const servers: SimulatedServer[] = Array.from({ length: 8 }, (_, index) => ({
    id: `s${String(index)}`,
    bornAtMs: 0,
    calls: [],
  }));
  const paces = createServerPaces({
    clock,
    logger,
    broadcast: ignore,
    equalsOf: (id) => (hasPace ? servers.filter((server) => server.id !== id) : undefined),
  });
  paces.prune(servers);
  let late = 0;
  let served = 0;
  const finish = (): void => {
    const nowMs = clock.now();
    for (const server of servers) {
      const ended = server.calls.filter(({ endsAtMs }) => endsAtMs <= nowMs);
      server.calls.splice(0, server.calls.length, ...server.calls.filter(({ endsAtMs }) => endsAtMs > nowMs));
      for (const { sentAtMs, endsAtMs, isLate } of ended) {
        late += isLate ? 1 : 0;
        served += 1;
        paces.answered(server, { sentAtMs, predictedMs: CALL_MS, seenMs: endsAtMs - sentAtMs });
      }
    }
  };
  const send = (): void => {
    const chosen = chooseForCall(
      servers.map((server): CallCandidate => ({
        server: server.id,
        slots: SLOTS,
        inFlight: server.calls.length,
        meanCallMs: CALL_MS,
        roundTripMs: 0,
        pace: paces.shareOf(server),
      })),
    );
    const server = servers.find(({ id }) => id === chosen?.server);
    assert.ok(server !== undefined);
    const nowMs = clock.now();
    const isWarmingUp = server.bornAtMs > 0 && nowMs - server.bornAtMs < WARM_UP_MS;
    const isLate = isWarmingUp && server.calls.length >= 2;
    server.calls.push({ sentAtMs: nowMs, endsAtMs: nowMs + (isLate ? 8 * CALL_MS : CALL_MS), isLate });
  };
  const runFor = (durationMs: number): void => {
    const endMs = clock.now() + durationMs;
    while (clock.now() < endMs) {
      clock.advance(TICK_MS);
      finish();
      send();
    }
  };
  runFor(12_000);
  paces.prune(servers);
  for (let index = 0; index < restarts; index += 1) {
    const server = { id: `s${String(index)}`, bornAtMs: clock.now(), calls: [] };
    servers[index] = server;
    paces.begin(server, PaceCause.Started);
  }
  late = 0;
  served = 0;
  runFor(8_000);
  return { late, served, endShare: Math.min(...servers.map((server) => paces.shareOf(server))) };
}

describe('servers that start anew under load', () => {
  for (const [name, restarts] of [
    ['a release of half of them', 4],
    ['a single one', 1],
  ] as const) {
    it(`answer fewer calls late if they are used at their pace (${name})`, () => {
      const without = replay(restarts, false);
      const paced = replay(restarts, true);
      assert.ok(paced.late < 0.5 * without.late, JSON.stringify({ without, paced }));
      assert.equal(paced.served >= without.served - SLOTS * 8, true);
      assert.equal(paced.endShare, 1);
    });
  }

  it('serve all calls if more than half of them start at once', () => {
    const without = replay(8, false);
    const paced = replay(8, true);
    assert.ok(paced.served >= 0.95 * without.served, JSON.stringify({ without, paced }));
  });
});
