/** Which requests are sent while a process drains, and when they end. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { type EngineParameters } from '@toucanbend/engine-model';
import { answerLimit, drainJob, EndReason, expiryOf, isAnsweredInTime } from '@toucanbend/forwarding';
import { type Job } from '@toucanbend/placement';

describe('the limit of a planned stop', () => {
  const engine = { stepMs: 2 } as EngineParameters;
  const job = { generation: { answerTokens: 100, promptTokens: 1 } } as Job;

  it('counts the time to the first event and the time of all others', () => {
    assert.equal(isAnsweredInTime(1_400, job, engine, 1_000), true);
    assert.equal(isAnsweredInTime(1_399, job, engine, 1_000), false);
    assert.equal(isAnsweredInTime(1_000, job, undefined, 1_000), true);
    assert.equal(isAnsweredInTime(Number.POSITIVE_INFINITY, job, engine, 1_000), true);
  });

  it('leaves time for a pause of the server, and more to a request that is sent after the balancer has noticed the stop', () => {
    const times = { outOfRotationAtMs: 2_300, answersUntilMs: 7_300 };
    assert.equal(answerLimit(2_299, times, true), 5_900);
    assert.equal(answerLimit(2_300, times, true), 2_300 + 0.8 * 3_600);
    assert.equal(answerLimit(6_000, times, true) < 6_000, true);
    const never = Number.POSITIVE_INFINITY;
    assert.equal(answerLimit(9_000, { outOfRotationAtMs: never, answersUntilMs: never }, true), never);
  });

  it('leaves all the time to a request that may have run', () => {
    assert.equal(answerLimit(7_000, { outOfRotationAtMs: 2_300, answersUntilMs: 7_300 }, false), 7_300);
  });

  it('expects the longest answer of such a request, whatever its estimate', () => {
    assert.equal(drainJob(job, 900, true).generation?.answerTokens, 900);
    assert.equal(drainJob(job, 900, false), job);
    assert.equal(drainJob(job, undefined, true), job);
  });

  it('ends a request at its deadline or with the process, whichever is earlier', () => {
    assert.deepEqual(expiryOf(500, 600), { atMs: 500, reason: EndReason.DeadlinePassed, retryAfterMs: 0 });
    assert.deepEqual(expiryOf(600, 500), { atMs: 500, reason: EndReason.Leaving, retryAfterMs: 20 });
  });
});
