/** Decisions while servers accept no request, by what they have stated. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createLoadTracker, DecisionKind, type Job, type PlacementDecision } from '@toucanbend/placement';
import { emptyRegistry, mergeRecords, type Registry } from '@toucanbend/registry';
import {
  call,
  desk,
  longJob,
  model,
  plan,
  registryOf,
  sentTo,
  serverRecord,
  shortJob,
} from './support/jobs.js';

const NOW_MS = 1_000;
const desks: Registry = mergeRecords(
  emptyRegistry,
  [serverRecord('d1', 'desk'), serverRecord('d2', 'desk')],
  {},
);

/** Plans a job at `NOW_MS` while each server accepts a request only after the given time in milliseconds. */
function planWith(
  availableInMs: Readonly<Record<string, number>>,
  job: Job,
  registry = registryOf('e1', 'e2', 'e3', 'e4'),
  mayWait = true,
): PlacementDecision {
  const restrictions = {
    availableAtMs: ({ id }: { id: string }): number =>
      id in availableInMs ? NOW_MS + (availableInMs[id] ?? 0) : Number.NEGATIVE_INFINITY,
  };
  const service = job.generation === undefined ? desk : model;
  return plan(createLoadTracker(), registry, job, NOW_MS, service, [], { restrictions, mayWait });
}

const arrived = (job: Job): Job => ({ ...job, arrivedAtMs: NOW_MS, deadlineAtMs: NOW_MS + 5_000 });

describe('a server that accepts no request now', () => {
  it('gets no prompt and no call', () => {
    for (const [restricted, other] of [
      ['e1', 'e2'],
      ['e2', 'e1'],
    ] as const) {
      const decision = planWith({ [restricted]: 500 }, arrived(shortJob('s')), registryOf('e1', 'e2'));
      assert.equal(sentTo(decision), other);
    }
    assert.equal(sentTo(planWith({ d1: 1 }, arrived(call), desks)), 'd2');
    assert.equal(sentTo(planWith({ d2: 1 }, arrived(call), desks)), 'd1');
  });

  it('prefills no part of a prompt on several engines', () => {
    const job = { ...longJob('l', 130_000, NOW_MS), targetMs: 500 };
    const open = planWith({}, job);
    const decision = planWith({ e2: 500, e3: 500 }, job);
    assert.ok(open.kind === DecisionKind.Send && open.helpers.length >= 2);
    assert.equal(decision.kind, DecisionKind.Send);
    const helpers =
      decision.kind === DecisionKind.Send ? decision.helpers.map(({ server }) => server.id) : [];
    assert.ok(!helpers.some((id) => id === 'e2' || id === 'e3'), helpers.join());
  });
});

describe('a job for which no server accepts a request now', () => {
  it('is rejected at once, with the time at which the first server accepts one', () => {
    assert.deepEqual(planWith({ d1: 900, d2: 700 }, arrived(call), desks), {
      kind: DecisionKind.Reject,
      reason: 'restricted',
      retryAfterMs: 700,
    });
  });

  it('is rejected with the usual time if a server that was tried before accepts one', () => {
    const restrictions = {
      availableAtMs: ({ id }: { id: string }): number =>
        id === 'd1' ? NOW_MS + 100 : Number.NEGATIVE_INFINITY,
    };
    const options = { restrictions };
    const decision = plan(createLoadTracker(), desks, arrived(call), NOW_MS, desk, ['d1', 'd2'], options);
    assert.ok(decision.kind === DecisionKind.Reject);
    assert.equal(decision.reason, 'no_server');
  });

  it('waits if a server accepts one within a fraction of its target, but not again and again', () => {
    assert.equal(planWith({ d1: 900, d2: 20 }, arrived(call), desks).kind, DecisionKind.Wait);
    const waited = { ...arrived(call), arrivedAtMs: NOW_MS - 30 };
    assert.equal(planWith({ d1: 900, d2: 20 }, waited, desks).kind, DecisionKind.Reject);
    assert.equal(planWith({ d1: 900, d2: 20 }, arrived(call), desks, false).kind, DecisionKind.Reject);
  });
});
