/** Routing: candidate selection, choice among offers, ejection, retry budget. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createRandom } from '@toucanbend/core';
import fc from 'fast-check';
import {
  candidateRounds,
  chooseOffer,
  defaultCandidateSettings,
  depositRetryCredit,
  FailureKind,
  healthyServer,
  initialRetryBudget,
  isAvailable,
  isEjectedAsSlow,
  recordFailure,
  recordSuccess,
  rendezvousOrder,
  type RetryBudget,
  type CandidateServer,
  withdrawRetryCredit,
} from '../src/index.js';

const servers: CandidateServer[] = Array.from({ length: 12 }, (_, index) => ({
  name: `engine-${String(index)}`,
  dataCentre: `dc-${String(index % 3)}`,
  region: index % 3 === 2 ? 'far' : 'near',
}));
const here = { dataCentre: 'dc-0', region: 'near' };

const rounds = (prefix: readonly number[], seed: number): string[][] =>
  candidateRounds(servers, prefix, here, defaultCandidateSettings, createRandom(seed)).map((round) =>
    round.map((server) => server.name),
  );

test("the first round contains only servers of the entry's data centre", () => {
  const own = servers.filter((server) => server.dataCentre === 'dc-0').map((server) => server.name);
  assert.ok(rounds([1, 2], 1)[0]?.every((name) => own.includes(name)));
});

test('equal prefixes select the same preferred server for any random seed', () => {
  const first = new Set([1, 2, 3, 4, 5].map((seed) => rounds([17], seed)[0]?.[0]));
  assert.equal(first.size, 1);
});

test('no server is probed in more than one round', () => {
  fc.assert(
    fc.property(fc.integer(), (seed) => {
      const asked = rounds([3], seed).flat();
      assert.equal(new Set(asked).size, asked.length);
    }),
  );
});

test('removing a server remaps only the keys that preferred it', () => {
  const without = servers.slice(1);
  for (let key = 0; key < 200; key += 1) {
    const before = rendezvousOrder(servers, String(key))[0]?.name;
    const after = rendezvousOrder(without, String(key))[0]?.name;
    assert.ok(before === after || before === servers[0]?.name);
  }
});

test('the chosen offer has the lowest cost of all accepted offers', () => {
  const offer = fc.record({
    server: fc.string(),
    accepted: fc.boolean(),
    firstTokenMs: fc.nat(5_000),
    harmMs: fc.nat(5_000),
    roundTripMs: fc.nat(50),
    cachedTokens: fc.nat(),
  });
  fc.assert(
    fc.property(fc.array(offer), (offers) => {
      const cost = (item: (typeof offers)[number]): number =>
        item.firstTokenMs + item.roundTripMs + item.harmMs / 2;
      const least = Math.min(...offers.filter((item) => item.accepted).map(cost));
      const chosen = chooseOffer(offers);
      assert.equal(chosen === undefined ? Infinity : cost(chosen), least);
    }),
  );
});

test('repeated failures lengthen the ejection, and a success removes one failure from the count', () => {
  const once = recordFailure(healthyServer, 0);
  const twice = recordFailure(once, once.ejectedUntilMs);
  assert.ok(!isAvailable(once, 100));
  assert.ok(twice.ejectedUntilMs - once.ejectedUntilMs > once.ejectedUntilMs);
  assert.equal(recordSuccess(twice).consecutiveFailures, 1);
});

test('retries are bounded to a fraction of the requests', () => {
  let budget: RetryBudget = initialRetryBudget;
  let retries = 0;
  for (let request = 0; request < 10_000; request += 1) {
    budget = depositRetryCredit(budget);
    const next = withdrawRetryCredit(budget);
    retries += next === undefined ? 0 : 1;
    budget = next ?? budget;
  }
  assert.ok(retries <= 10_000 * 0.2 + 50);
});

test('a server is ejected as slow only while all its failures are unanswered probes', () => {
  const slow = recordFailure(healthyServer, 0, FailureKind.Unanswered);
  assert.ok(isEjectedAsSlow(slow, 100));
  assert.ok(!isEjectedAsSlow(slow, slow.ejectedUntilMs));
  const lost = recordFailure(slow, 100, FailureKind.Lost);
  assert.equal(lost.ejectedUntilMs, slow.ejectedUntilMs);
  assert.ok(!isEjectedAsSlow(lost, 100));
  assert.ok(!isEjectedAsSlow(recordFailure(lost, 200, FailureKind.Unanswered), 200));
  const again = recordFailure(lost, lost.ejectedUntilMs, FailureKind.Unanswered);
  assert.ok(isEjectedAsSlow(again, lost.ejectedUntilMs));
});
