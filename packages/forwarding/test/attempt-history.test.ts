import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { RepeatPolicy } from '@toucanbend/registry';
import { AttemptFailure } from '../src/attempt.js';
import { type AttemptHistory, emptyHistory, mayRetry, recordFailedAttempt } from '../src/attempt-history.js';
import { inactivityTimeoutMs } from '../src/inactivity-timeout.js';

function historyOf(...attempts: readonly (readonly [AttemptFailure, string])[]): AttemptHistory {
  return attempts.reduce(
    (history, [failure, server]) => recordFailedAttempt(history, failure, server),
    emptyHistory,
  );
}

describe('The limit on servers of a request', () => {
  const { NotRun, InDoubt, NotSent } = AttemptFailure;

  it('counts a server once that turned it away and then stayed silent', () => {
    const history = historyOf([NotRun, 'a'], [InDoubt, 'a']);
    assert.ok(mayRetry(RepeatPolicy.Resumable, history, 2));
  });

  it('is reached by different servers', () => {
    assert.ok(!mayRetry(RepeatPolicy.Resumable, historyOf([NotRun, 'a'], [InDoubt, 'b']), 2));
    assert.ok(!mayRetry(RepeatPolicy.Repeatable, historyOf([InDoubt, 'a']), 1));
  });

  it('does not let one server turn the request away without end', () => {
    const history = historyOf([NotRun, 'a'], [NotRun, 'a'], [NotRun, 'a']);
    assert.ok(!mayRetry(RepeatPolicy.Resumable, history, 2));
  });

  it('does not count servers that were not reached, but these are bounded as well', () => {
    assert.ok(mayRetry(RepeatPolicy.Repeatable, historyOf([NotSent, 'a'], [NotSent, 'b']), 1));
    assert.ok(!mayRetry(RepeatPolicy.Repeatable, historyOf(...Array(3).fill([NotSent, 'a'])), 1));
  });

  it('allows nothing after an attempt in doubt of a request that may run once', () => {
    assert.ok(!mayRetry(RepeatPolicy.Once, historyOf([InDoubt, 'a']), 3));
    assert.ok(mayRetry(RepeatPolicy.Once, historyOf([NotRun, 'a']), 3));
  });
});

describe('The time allowed for a first event', () => {
  const route = { targetMs: 4_000, targetPauseMs: 1_000 };
  const timeout = (expectedMs: number, untilTargetMs: number): number =>
    inactivityTimeoutMs(route, {
      isLast: false,
      hasStarted: false,
      expectedMs,
      untilTargetMs,
      isMemoryIdle: false,
    });

  it('ends while another server can still meet the target', () => {
    const timeoutMs = timeout(600, 3_900);
    assert.ok(timeoutMs + 600 < 3_900);
  });

  it('is several times the prediction in any case', () => {
    assert.ok(timeout(2_000, 3_900) >= 6_000);
  });

  it('is the longer one if no other server can meet the target any more', () => {
    assert.equal(timeout(600, 100), 4_500);
    assert.equal(timeout(600, -500), 4_500);
  });

  it('never ends for the last attempt', () => {
    const progress = { hasStarted: false, expectedMs: 100, untilTargetMs: 100, isMemoryIdle: false };
    assert.equal(inactivityTimeoutMs(route, { ...progress, isLast: true }), Infinity);
  });
});
