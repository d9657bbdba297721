/**
 * Compares recorded sessions (every frame, backend call and log line) with golden files; the clock is advanced
 * manually.
 */
import assert from 'node:assert/strict';
import { readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { test } from 'node:test';
import { prefixHashes, Rank, RequestKind } from '@toucanbend/core';
import { type CallRequest, type CompletionRequest } from '@toucanbend/entry';
import { makePrompt } from '../fakes/caller.js';
import { createSession, type Session } from './support/session.js';

/** Set to regenerate the golden files after an intended change. */
const isUpdating = process.env['UPDATE_GOLDEN'] === '1';

function checkGolden(name: string, session: Session): void {
  const path = join(import.meta.dirname, 'golden', `${name}.golden`);
  if (isUpdating) {
    writeFileSync(path, session.recording());
  }
  assert.equal(session.recording(), readFileSync(path, 'utf8'));
}

function completion(
  requestId: string,
  promptTokens: number,
  part: Partial<CompletionRequest> = {},
): CompletionRequest {
  const body = Buffer.from(makePrompt(promptTokens, requestId));
  return {
    requestId,
    kind: RequestKind.Model,
    target: 'model-a',
    account: 'patan',
    weight: 1,
    rank: Rank.Standard,
    receivedAtMs: 0,
    deadlineAtMs: 60_000,
    firstTokenLimitMs: 2_500,
    body,
    promptTokens,
    maxTokens: 3,
    prefix: prefixHashes(body),
    ...part,
  };
}

function confirmation(requestId: string): CallRequest {
  return {
    requestId,
    kind: RequestKind.Service,
    target: 'orders',
    account: 'patan',
    weight: 1,
    rank: Rank.Standard,
    receivedAtMs: 0,
    deadlineAtMs: 5_000,
    firstTokenLimitMs: 2_500,
    body: Buffer.from('vane 17'),
    call: { method: 'POST', path: '/confirm', contentType: 'text/plain' },
    isIdempotent: false,
    idempotencyKey: 'order-17',
  };
}

test('a short prompt', async () => {
  const session = createSession({ kind: RequestKind.Model });
  session.complete(completion('short', 1_000));
  await session.advance(200);
  checkGolden('short', session);
});

test('short prompts beside a long one', async () => {
  const session = createSession({ kind: RequestKind.Model });
  session.complete(completion('long', 40_000));
  await session.advance(50);
  session.complete(completion('short-1', 1_000, { receivedAtMs: 50 }));
  session.complete(completion('short-2', 2_000, { receivedAtMs: 50, rank: Rank.Urgent }));
  await session.advance(2_200);
  checkGolden('long', session);
});

test('a prompt that cannot be served in its time', async () => {
  const session = createSession({ kind: RequestKind.Model });
  session.complete(completion('refused', 100_000, { deadlineAtMs: 1_000 }));
  await session.advance(200);
  checkGolden('refused', session);
});

test('a caller that goes away', async () => {
  const session = createSession({ kind: RequestKind.Model });
  session.complete(completion('cancelled', 1_000, { maxTokens: 50 }));
  await session.advance(150);
  session.disconnectCaller('cancelled');
  await session.advance(50);
  checkGolden('cancelled', session);
});

test('a confirmation that is sent again', async () => {
  const session = createSession({ kind: RequestKind.Service });
  session.call(confirmation('confirmed'));
  await session.advance(100);
  session.call({ ...confirmation('confirmed-again'), receivedAtMs: 100 });
  await session.advance(100);
  checkGolden('confirmed', session);
});
