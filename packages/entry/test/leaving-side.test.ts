/** Completions and calls while one side leaves and others are ejected for late answers, on a manual clock. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { Outcome, Reason } from '@toucanbend/core';
import { FIRST_TOKEN_LIMIT_MS, Fixture, LATE_MS, PROBE_TIMEOUT_MS } from './fixture.js';

describe('a request while the only side that is not ejected leaves', () => {
  it('is served by a free side that was ejected for one late answer', async () => {
    const fixture = new Fixture();
    await fixture.ejectThenLeave(() => fixture.complete());
    const { end } = await fixture.complete();
    assert.deepEqual([end.outcome, end.reason], [Outcome.Complete, Reason.None]);
  });

  it('is served by such a side if it is a call', async () => {
    const fixture = new Fixture();
    await fixture.ejectThenLeave(() => fixture.call());
    const { end } = await fixture.call();
    assert.deepEqual([end.outcome, end.reason], [Outcome.Complete, Reason.None]);
  });

  it('is rejected after half of its target if the ejected side still answers late', async () => {
    const fixture = new Fixture();
    await fixture.ejectThenLeave(() => fixture.complete());
    fixture.sides.b.delayMs = LATE_MS;
    const startMs = fixture.clock.now();
    const { end, atMs } = await fixture.complete();
    assert.equal(end.outcome, Outcome.NotRun);
    const tookMs = atMs - startMs;
    const limitMs = FIRST_TOKEN_LIMIT_MS / 2;
    assert.ok(tookMs >= limitMs && tookMs < limitMs + 4 * PROBE_TIMEOUT_MS, `took ${String(tookMs)} ms`);
  });

  it('is rejected at once if the other side was ejected because its link failed', async () => {
    const fixture = new Fixture();
    fixture.sides.b.isReachable = false;
    assert.equal((await fixture.complete()).end.outcome, Outcome.Complete);
    fixture.sides.b.isReachable = true;
    fixture.sides.a.reason = Reason.Leaving;
    const { end } = await fixture.complete();
    assert.deepEqual([end.outcome, end.reason], [Outcome.NotRun, Reason.Leaving]);
    assert.equal(fixture.sides.b.probes, 0);
  });
});

describe('a request that a side rejects for its load', () => {
  it('does not make the entry probe a side that was ejected for a late answer', async () => {
    const fixture = new Fixture();
    await fixture.ejectThenLeave(() => fixture.complete());
    fixture.sides.a.reason = Reason.QueueFull;
    const { probes } = fixture.sides.b;
    const { end } = await fixture.complete();
    assert.deepEqual([end.outcome, end.reason], [Outcome.NotRun, Reason.QueueFull]);
    assert.equal(fixture.sides.b.probes, probes);
  });
});
