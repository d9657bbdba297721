/** Scheduler: dispatch order, floors, fairness, memory, admission. */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { Rank, Reason, RequestKind, type WorkDescription } from '@toucanbend/core';
import fc from 'fast-check';
import {
  applyChange,
  ChangeType,
  createSchedulerState,
  defaultSchedulerSettings,
  estimateAdmission,
  type Job,
  nextJob,
  reservedTokens,
  type SchedulerSettings,
  type SchedulerState,
} from '../src/index.js';

const settings: SchedulerSettings = {
  ...defaultSchedulerSettings,
  memoryTokens: 100_000,
  initialPrefillTokensPerMs: 10,
};

function work(part: Partial<WorkDescription> = {}): WorkDescription {
  return {
    kind: RequestKind.Model,
    target: 'model-a',
    rank: Rank.Standard,
    account: 'patan',
    weight: 1,
    promptTokens: 1_000,
    maxTokens: 100,
    firstTokenLimitMs: 60_000,
    prefix: [],
    ...part,
  };
}

function arrive(
  state: SchedulerState,
  id: string,
  part: Partial<WorkDescription> = {},
  atMs = 0,
): SchedulerState {
  return applyChange(state, {
    type: ChangeType.Arrived,
    id,
    work: work(part),
    deadlineAtMs: atMs + 600_000,
    atMs,
  });
}

const dispatch = (state: SchedulerState, id: string, atMs: number): SchedulerState =>
  applyChange(state, { type: ChangeType.Dispatched, id, atMs });
const progress = (state: SchedulerState, id: string, atMs: number): SchedulerState =>
  applyChange(state, { type: ChangeType.Progressed, id, tokens: 1, atMs });
const end = (state: SchedulerState, id: string, atMs: number): SchedulerState =>
  applyChange(state, { type: ChangeType.Ended, id, atMs });

interface Served {
  readonly job: Job;
  readonly atMs: number;
}

/** Serves a queue one job at a time, at the initial prefill speed. */
function serveAll(start: SchedulerState, limit = Number.MAX_SAFE_INTEGER): Served[] {
  let state = start;
  let nowMs = 0;
  const served: Served[] = [];
  for (
    let job = nextJob(state, nowMs);
    job !== undefined && served.length < limit;
    job = nextJob(state, nowMs)
  ) {
    served.push({ job, atMs: nowMs });
    state = dispatch(state, job.id, nowMs);
    nowMs += job.prefillTokens / settings.initialPrefillTokensPerMs;
    state = end(progress(state, job.id, nowMs), job.id, nowMs);
  }
  return served;
}

const idsOf = (served: readonly Served[]): string[] => served.map(({ job }) => job.id);

describe('order', () => {
  test('urgent work is dispatched before batch work', () => {
    const queue = arrive(arrive(createSchedulerState(settings), 'batch', { rank: Rank.Batch }), 'urgent', {
      rank: Rank.Urgent,
    });
    assert.deepEqual(idsOf(serveAll(queue)), ['urgent', 'batch']);
  });

  test('a short prompt is dispatched before a long prompt of a higher rank', () => {
    const queue = arrive(
      arrive(createSchedulerState(settings), 'long', { rank: Rank.Urgent, promptTokens: 50_000 }),
      'short',
    );
    assert.deepEqual(idsOf(serveAll(queue)), ['short', 'long']);
  });

  test('every rank gets its floor while urgent work is backlogged', () => {
    let queue = createSchedulerState(settings);
    for (let index = 0; index < 400; index += 1) {
      for (const rank of [Rank.Urgent, Rank.Standard, Rank.Batch]) {
        queue = arrive(queue, `${rank} ${String(index)}`, { rank });
      }
    }
    const served = serveAll(queue, 400);
    for (const rank of [Rank.Standard, Rank.Batch]) {
      const share = served.filter(({ job }) => job.work.rank === rank).length / served.length;
      assert.ok(share >= settings.floors[rank] - 0.02, `${rank} got ${String(share)}`);
    }
  });
});

describe('fairness within a rank', () => {
  test('the backlog of one account does not delay another account', () => {
    let queue = createSchedulerState(settings);
    for (let index = 0; index < 100; index += 1) {
      queue = arrive(queue, `large ${String(index)}`, { account: 'large' });
    }
    queue = arrive(queue, 'small', { account: 'small' });
    assert.ok(idsOf(serveAll(queue)).indexOf('small') <= 1);
  });

  /** Reference model: each step serves the backlogged account with the lowest cost per weight so far. */
  function referenceShares(
    costs: readonly { account: string; weight: number; cost: number }[],
    steps: number,
  ): Map<string, number> {
    const waiting = [...costs];
    const served = new Map<string, number>();
    for (let step = 0; step < steps && waiting.length > 0; step += 1) {
      const normalised = (item: { account: string; weight: number }): number =>
        (served.get(item.account) ?? 0) / item.weight;
      const next = waiting.reduce((best, item) => (normalised(item) < normalised(best) ? item : best));
      waiting.splice(waiting.indexOf(next), 1);
      served.set(next.account, (served.get(next.account) ?? 0) + next.cost);
    }
    return served;
  }

  test('shares differ from those of the reference model by at most one request in each direction', () => {
    const request = fc.record({
      account: fc.constantFrom('a', 'b', 'c'),
      promptTokens: fc.integer({ min: 300, max: 3_000 }),
    });
    const weights = new Map([
      ['a', 1],
      ['b', 2],
      ['c', 1],
    ]);
    fc.assert(
      fc.property(
        fc.array(request, { minLength: 30, maxLength: 60 }),
        fc.integer({ min: 5, max: 25 }),
        (requests, steps) => {
          let queue = createSchedulerState(settings);
          requests.forEach(({ account, promptTokens }, index) => {
            queue = arrive(queue, String(index), {
              account,
              promptTokens,
              maxTokens: 1,
              weight: weights.get(account) ?? 1,
            });
          });
          const served = new Map<string, number>();
          for (const { job } of serveAll(queue, steps)) {
            served.set(job.work.account, (served.get(job.work.account) ?? 0) + job.cost);
          }
          const costs = queue.queue.map((job) => ({
            account: job.work.account,
            weight: job.work.weight,
            cost: job.cost,
          }));
          const reference = referenceShares(costs, steps);
          for (const [account, weight] of weights) {
            const difference = Math.abs((served.get(account) ?? 0) - (reference.get(account) ?? 0)) / weight;
            assert.ok(difference <= 2 * 3_100, `${account} differs by ${String(difference)}`);
          }
        },
      ),
    );
  });
});

describe('memory', () => {
  test('reservations never exceed the memory for any sequence of arrivals and completions', () => {
    const step = fc.oneof(
      fc.record({
        promptTokens: fc.integer({ min: 100, max: 90_000 }),
        rank: fc.constantFrom(...Object.values(Rank)),
      }),
      fc.constant(undefined),
    );
    fc.assert(
      fc.property(fc.array(step, { maxLength: 80 }), (steps) => {
        let state = createSchedulerState(settings);
        steps.forEach((part, nowMs) => {
          const oldest = state.running.keys().next();
          if (part !== undefined) {
            state = arrive(state, String(nowMs), part, nowMs);
          } else if (oldest.done !== true) {
            state = end(progress(state, oldest.value, nowMs), oldest.value, nowMs);
          }
          for (let job = nextJob(state, nowMs); job !== undefined; job = nextJob(state, nowMs)) {
            state = dispatch(state, job.id, nowMs);
          }
          assert.ok(reservedTokens(state) <= settings.memoryTokens);
        });
        for (const id of [...state.running.keys(), ...state.queue.map((job) => job.id)]) {
          state = end(state, id, 1_000);
        }
        assert.equal(reservedTokens(state), 0);
      }),
    );
  });

  test('memory is reserved for a long prompt that has waited too long, so that short prompts do not starve it', () => {
    let state = arrive(createSchedulerState(settings), 'running', { promptTokens: 50_000 });
    state = progress(dispatch(state, 'running', 0), 'running', 1);
    state = arrive(state, 'long', { promptTokens: 80_000 }, 1);
    state = arrive(state, 'short', { promptTokens: 15_000 }, 2_000);
    assert.equal(nextJob(state, 2_001), undefined);
    state = end(state, 'running', 2_002);
    assert.equal(nextJob(state, 2_003)?.id, 'short');
    assert.equal(nextJob(dispatch(state, 'short', 2_003), 2_004)?.id, undefined);
  });
});

describe('offers', () => {
  test('work that cannot finish before its deadline is rejected with a retry delay', () => {
    const offer = estimateAdmission(createSchedulerState(settings), work({ promptTokens: 90_000 }), 1_000, 0);
    assert.deepEqual([offer.accepted, offer.reason], [false, Reason.DeadlineUnreachable]);
    assert.ok(offer.retryAfterMs > 0);
  });

  test('a prompt that exceeds the memory is rejected', () => {
    const offer = estimateAdmission(
      createSchedulerState(settings),
      work({ promptTokens: 200_000 }),
      600_000,
      0,
    );
    assert.equal(offer.reason, Reason.BeyondMemory);
  });

  test('a previously prefilled prefix is predicted to be cached', () => {
    const prefix = [11, 12, 13];
    let state = arrive(createSchedulerState(settings), 'first', { promptTokens: 1_000, prefix });
    state = progress(dispatch(state, 'first', 0), 'first', 100);
    assert.equal(estimateAdmission(state, work({ prefix }), 60_000, 200).cachedTokens, 768);
  });

  test('the prediction for urgent work excludes running work of a lower rank', () => {
    const batch = arrive(createSchedulerState(settings), 'batch', { rank: Rank.Batch, promptTokens: 15_000 });
    const urgent = estimateAdmission(dispatch(batch, 'batch', 0), work({ rank: Rank.Urgent }), 60_000, 0);
    assert.ok(urgent.firstTokenMs <= 100 + settings.initialStepMs);
  });

  test('the backlog of one account does not increase the predicted wait of another account', () => {
    let state = createSchedulerState(settings);
    const before = estimateAdmission(state, work({ account: 'small' }), 60_000, 0).firstTokenMs;
    for (let index = 0; index < 50; index += 1) {
      state = arrive(state, String(index), { account: 'large' });
    }
    const after = estimateAdmission(state, work({ account: 'small' }), 60_000, 0).firstTokenMs;
    assert.ok(after <= before + 110, `${String(before)} became ${String(after)}`);
  });
});
