/** Guards against answers after the deadline when a wait of the entry begins shortly before it; on a manual clock. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { Outcome, Reason } from '@toucanbend/core';
import { type Ended, Fixture } from './fixture.js';

const DEADLINE_MS = 1_500;
/** Time until a side ends a request whose engine sends nothing, as in the tests of streams. */
const STALL_MS = 850;
/** Longer than the rest of the time of every request here. */
const NEVER_MS = 3_000;

function assertInTime({ end, atMs }: Ended, outcome: Outcome): void {
  assert.equal(end.outcome, outcome);
  assert.ok(atMs < DEADLINE_MS, `ended at ${String(atMs)} ms for a deadline of ${String(DEADLINE_MS)} ms`);
}

describe('a request is answered before its deadline', () => {
  it('if its engine was silent and no side can serve the rest in time', async () => {
    const fixture = new Fixture();
    const { a, b } = fixture.sides;
    for (const side of [a, b]) {
      Object.assign(side, { outcome: Outcome.Unknown, runMs: STALL_MS });
    }
    fixture.clock.after(STALL_MS, () => {
      a.reason = Reason.DeadlineUnreachable;
      b.reason = Reason.DeadlineUnreachable;
    });
    assertInTime(await fixture.complete(DEADLINE_MS), Outcome.Unknown);
  });

  it('if a probe is sent shortly before and not answered', async () => {
    const fixture = new Fixture();
    const { a, b } = fixture.sides;
    for (const side of [a, b]) {
      Object.assign(side, { outcome: Outcome.Unknown, runMs: DEADLINE_MS - 50 });
    }
    fixture.clock.after(STALL_MS, () => {
      a.delayMs = NEVER_MS;
      b.delayMs = NEVER_MS;
    });
    assertInTime(await fixture.complete(DEADLINE_MS), Outcome.Unknown);
  });

  it('if the sides cannot be reached when it arrives', async () => {
    const fixture = new Fixture();
    fixture.sides.a.dialMs = NEVER_MS;
    fixture.sides.b.dialMs = NEVER_MS;
    assertInTime(await fixture.complete(DEADLINE_MS), Outcome.NotRun);
  });

  it('if one side accepts it and another has not answered when its time is over', async () => {
    const fixture = new Fixture();
    fixture.sides.b.dialMs = NEVER_MS;
    assertInTime(await fixture.complete(DEADLINE_MS), Outcome.NotRun);
  });

  it('if its link is lost and a new one is not open in time', async () => {
    const fixture = new Fixture();
    fixture.sides.a.runMs = NEVER_MS;
    fixture.sides.b.reason = Reason.QueueFull;
    fixture.clock.after(STALL_MS, () => {
      fixture.loseLink('a', NEVER_MS);
    });
    assertInTime(await fixture.complete(DEADLINE_MS), Outcome.Unknown);
  });

  it('if it is an idempotent call that failed and no side accepts it again', async () => {
    const fixture = new Fixture();
    const { a, b } = fixture.sides;
    for (const side of [a, b]) {
      Object.assign(side, { outcome: Outcome.Unknown, runMs: DEADLINE_MS - 45 });
    }
    fixture.clock.after(STALL_MS, () => {
      a.reason = Reason.QueueFull;
      b.reason = Reason.QueueFull;
    });
    assertInTime(await fixture.call(DEADLINE_MS), Outcome.Unknown);
  });

  it('if it is a call that runs once and its link is lost', async () => {
    const fixture = new Fixture();
    fixture.sides.a.runMs = NEVER_MS;
    fixture.sides.b.reason = Reason.QueueFull;
    fixture.clock.after(STALL_MS, () => {
      fixture.loseLink('a', NEVER_MS);
    });
    assertInTime(await fixture.call(DEADLINE_MS, false), Outcome.Unknown);
  });
});
