/** Completions while sides answer probes too late, on a manual clock. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { prefixHashes, Rank, RequestKind } from '@toucanbend/core';
import { makePrompt } from '../fakes/caller.js';
import { createSession } from './support/session.js';

const FIRST_TOKEN_LIMIT_MS = 2_500;
/** Longer than an entry waits for the answer to a probe. */
const LATE_MS = 100;
const STEP_MS = 20;

/** Returns how a completion ends, and when, if the side answers the first probes late. */
async function completeWithLateBids(
  lateBids: number,
  deadlineAtMs = 60_000,
): Promise<{ end: string; atMs: number }> {
  const session = createSession({
    kind: RequestKind.Model,
    delaysMs: Array.from({ length: lateBids }, () => LATE_MS),
  });
  const body = Buffer.from(makePrompt(1_000, 'late'));
  session.complete({
    requestId: 'late',
    kind: RequestKind.Model,
    target: 'model-a',
    account: 'patan',
    weight: 1,
    rank: Rank.Standard,
    receivedAtMs: 0,
    deadlineAtMs,
    firstTokenLimitMs: FIRST_TOKEN_LIMIT_MS,
    body,
    promptTokens: 1_000,
    maxTokens: 3,
    prefix: prefixHashes(body),
  });
  for (let passedMs = 0; passedMs < 2 * FIRST_TOKEN_LIMIT_MS; passedMs += STEP_MS) {
    await session.advance(STEP_MS);
  }
  const line = session
    .recording()
    .split('\n')
    .find((text) => text.includes('late ends'));
  const [, atMs = '', end = ''] = /^ *(\d+) .* late ends (.*)$/.exec(line ?? '') ?? [];
  return { end, atMs: Number(atMs) };
}

describe('a completion whose probes are answered late', () => {
  it('is served by a side that answers in time again while its target leaves time', async () => {
    const { end, atMs } = await completeWithLateBids(4);
    assert.equal(end, 'complete none');
    assert.ok(atMs < FIRST_TOKEN_LIMIT_MS, `ended at ${String(atMs)} ms`);
  });

  it('is rejected well before a deadline that is earlier than its target', async () => {
    const deadlineMs = 1_500;
    const { end, atMs } = await completeWithLateBids(100, deadlineMs);
    assert.equal(end, 'not_run no_server');
    assert.ok(atMs >= deadlineMs / 2 && atMs < 0.8 * deadlineMs, `ended at ${String(atMs)} ms`);
  });

  it('is rejected when half of its target has passed without an answer', async () => {
    const { end, atMs } = await completeWithLateBids(100);
    assert.equal(end, 'not_run no_server');
    assert.ok(atMs >= FIRST_TOKEN_LIMIT_MS / 2 && atMs < FIRST_TOKEN_LIMIT_MS, `ended at ${String(atMs)} ms`);
  });
});
