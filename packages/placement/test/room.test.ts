import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createRandom } from '@toucanbend/core';
import { createLoadTracker, DecisionKind, type Job, RejectionReason } from '@toucanbend/placement';
import { longJob, plan, recordJob, registryOf, shortJob } from './support/jobs.js';
import { type Load, type Outcome, replay, shareInTime } from './support/replay.js';

const ENGINES = 10;
const ENTRIES = 4;
/** Short prompts a second that the engines finish; measured with more than they can take. */
const CAPACITY_PER_S = 35;
const BURST_FROM_MS = 4_000;
const BURST_TO_MS = 6_000;
const SEED = 1;

function isBurst({ job }: Outcome): boolean {
  return job.arrivedAtMs >= BURST_FROM_MS && job.arrivedAtMs < BURST_TO_MS;
}

/** Short prompts at the capacity until all places are taken, a burst of two seconds at `factor` of it, and 0.6 for three seconds. */
function burst(factor: number, accountOf: (index: number) => string = () => 'all'): Job[] {
  const random = createRandom(SEED);
  const jobs: Job[] = [];
  for (let atMs = 0; atMs < BURST_TO_MS + 3_000;) {
    const share = atMs < BURST_FROM_MS ? 1 : atMs < BURST_TO_MS ? factor : 0.6;
    atMs -= (Math.log(1 - random.fraction()) * 1_000) / (share * CAPACITY_PER_S);
    jobs.push(shortJob(`${accountOf(jobs.length)}-${String(jobs.length)}`, atMs));
  }
  return jobs;
}

function play(load: Partial<Load> & Pick<Load, 'jobs'>): readonly Outcome[] {
  return replay({ engines: ENGINES, entries: ENTRIES, ...load }, SEED);
}

/** Replays a load by the rules without those of scarce places. */
function playUnmanaged(load: Partial<Load> & Pick<Load, 'jobs'>): readonly Outcome[] {
  return play({ ...load, options: { mayYield: false } });
}

function assertNoneHeldInVain(outcomes: readonly Outcome[]): void {
  for (const { job, rejectedAtMs, startedAtMs, sentAtMs } of outcomes) {
    const timeMs = job.deadlineAtMs - job.arrivedAtMs;
    const endedAtMs = rejectedAtMs[0] ?? sentAtMs ?? Infinity;
    assert.ok(endedAtMs - job.arrivedAtMs < timeMs * 0.75, `${job.id} was held in vain`);
    assert.ok(startedAtMs !== undefined || rejectedAtMs.length > 0, `${job.id} was not answered`);
  }
}

describe('more short prompts than the engines can run', () => {
  for (const { factor, gain } of [
    { factor: 1.1, gain: 0.05 },
    { factor: 1.5, gain: 0.2 },
  ]) {
    it(`are in time more often at ${String(factor)} times the capacity`, () => {
      const jobs = burst(factor);
      const managed = play({ jobs });
      const unmanaged = playUnmanaged({ jobs });
      const shareOfBurst = shareInTime(managed.filter(isBurst));
      assert.ok(shareOfBurst > shareInTime(unmanaged.filter(isBurst)) + gain);
      assert.ok(shareOfBurst > 0.9 / factor - 0.1);
      assert.ok(shareInTime(managed) > shareInTime(unmanaged));
      assertNoneHeldInVain(managed);
    });
  }

  it('leave nine of ten prompts that follow a second later in time', () => {
    const after = play({ jobs: burst(1.5) }).filter(({ job }) => job.arrivedAtMs >= BURST_TO_MS + 1_000);
    assert.ok(shareInTime(after) > 0.9);
  });

  it('are in time more often while engines are taken away', () => {
    const load = { jobs: burst(0.9), leaving: { engines: 4, atMs: BURST_FROM_MS } };
    const managed = play(load);
    assert.ok(shareInTime(managed) > shareInTime(playUnmanaged(load)));
    assertNoneHeldInVain(managed);
  });

  it('serve a small account as often in time as a large one', () => {
    const jobs = burst(1.5, (index) => (index % 10 === 0 ? 'small' : 'large'));
    const outcomes = play({ jobs }).filter(isBurst);
    const shareOf = (account: string): number =>
      shareInTime(outcomes.filter(({ job }) => job.id.startsWith(account)));
    assert.ok(shareOf('small') > shareOf('large') - 0.2);
  });
});

describe('a burst of the longest prompts beside more short ones than the engines can run', () => {
  it('is served no later than without the rules for short ones', () => {
    const long = Array.from({ length: 6 }, (_, index) =>
      longJob(`long${String(index)}`, 130_000, BURST_FROM_MS + 200 * index),
    );
    const load = { jobs: [...burst(1.1), ...long] };
    const isLong = ({ job }: Outcome): boolean => job.id.startsWith('long');
    const managed = play(load).filter(isLong);
    assert.ok(managed.every(({ startedAtMs }) => startedAtMs !== undefined));
    assert.ok(shareInTime(managed) >= shareInTime(playUnmanaged(load).filter(isLong)));
  });
});

describe('prompts that were turned away', () => {
  it('come back at different times and are served', () => {
    const turnedAway = play({ jobs: burst(2) }).filter(({ rejectedAtMs }) => rejectedAtMs.length > 0);
    assert.ok(turnedAway.length > 10);
    const delays = turnedAway.map(({ retryAfterMs }) => retryAfterMs[0] ?? 0);
    assert.ok(Math.max(...delays) > 2 * Math.min(...delays));
    assert.ok(turnedAway.every(({ startedAtMs }) => startedAtMs !== undefined));
  });
});

describe('engines with free places', () => {
  it('get every prompt at once', () => {
    const outcomes = play({ jobs: burst(0.6).filter(({ arrivedAtMs }) => arrivedAtMs < 1_500) });
    assert.ok(outcomes.every(({ sentAtMs = Infinity, job }) => sentAtMs - job.arrivedAtMs <= 4));
    assert.ok(outcomes.every(({ rejectedAtMs }) => rejectedAtMs.length === 0));
  });
});

describe('engines without a free place', () => {
  const registry = registryOf('e1');
  const full = (): ReturnType<typeof createLoadTracker> => {
    const tracker = createLoadTracker();
    for (let index = 0; index < 8; index += 1) {
      recordJob(tracker, 'e1', shortJob(`running${String(index)}`));
    }
    return tracker;
  };

  it('let a prompt wait while it can meet its target, and after it for a third of its time', () => {
    const job = shortJob('a', 200);
    const kinds = [200, 340, 420, 3_500, 3_600].map((nowMs) => {
      const decision = plan(full(), registry, job, nowMs);
      return decision.kind === DecisionKind.Send ? decision.kind : decision.room?.decision;
    });
    assert.deepEqual(kinds, ['wait', 'wait', 'yield', 'yield', 'turn_away']);
    const rejection = plan(full(), registry, job, 3_600);
    assert.ok(rejection.kind === DecisionKind.Reject && rejection.reason === RejectionReason.Crowded);
    assert.ok(rejection.retryAfterMs > 0);
  });

  it('reject no prompt of an entry that lacks load updates, and none whose answer has begun', () => {
    for (const options of [{ hasPartialLoadView: true }, { mayYield: false }, { mayWait: false }]) {
      const decision = plan(full(), registry, shortJob('a', 200), 3_600, undefined, [], options);
      assert.notEqual(decision.kind, DecisionKind.Reject);
    }
  });
});
