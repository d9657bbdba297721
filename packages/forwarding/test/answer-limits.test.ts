/** Limits on what is read and held of the answers of servers, by the pieces and the memory that they take. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { AnswerForm } from '@toucanbend/registry';
import { createAnswerMemory, MAX_ANSWER_BYTES } from '../src/answer-memory.js';
import { createChunkLimit } from '../src/chunk-limit.js';

/** Returns after how many chunks of a length the limit is exceeded; undefined if it is not within `count`. */
function exceededAfter(form: AnswerForm, length: number, count: number): number | undefined {
  const limit = createChunkLimit(form);
  for (let chunk = 1; chunk <= count; chunk += 1) {
    if (limit.isExceededBy(length)) {
      return chunk;
    }
  }
  return undefined;
}

describe('the limit on the chunks of an answer', () => {
  it('allows short answers in any chunks', () => {
    for (const form of Object.values(AnswerForm)) {
      assert.equal(exceededAfter(form, 1, 8_000), undefined);
    }
  });

  it('allows many events of one token, and any number of longer ones', () => {
    assert.equal(exceededAfter(AnswerForm.EventStream, 'id: 10000\ndata: x\n\n'.length, 20_000), undefined);
    assert.equal(exceededAfter(AnswerForm.EventStream, 40, 1_000_000), undefined);
  });

  it('allows long whole answers in chunks of a buffer', () => {
    assert.equal(exceededAfter(AnswerForm.Whole, 512, 1_000_000), undefined);
  });

  it('ends an answer in chunks of a few bytes soon', () => {
    for (const form of Object.values(AnswerForm)) {
      for (const length of [1, 8, 16]) {
        const chunks = exceededAfter(form, length, 1_000_000) ?? Number.POSITIVE_INFINITY;
        assert.ok(chunks < 20_000, `${String(chunks)} chunks of ${String(length)} bytes`);
      }
    }
  });
});

describe('the memory for answers', () => {
  it('is taken by a few long answers at most, and given back when they are closed', () => {
    const memory = createAnswerMemory();
    const accounts = Array.from({ length: 40 }, () => memory.open());
    const admitted = accounts.filter((account) => account.tryTake(MAX_ANSWER_BYTES));
    assert.ok(admitted.length > 0 && admitted.length < 10, `${String(admitted.length)} long answers`);
    const late = memory.open();
    assert.equal(late.tryTake(MAX_ANSWER_BYTES), false);
    admitted[0]?.close();
    admitted[0]?.close();
    assert.equal(late.tryTake(MAX_ANSWER_BYTES), true);
    assert.equal(memory.open().tryTake(MAX_ANSWER_BYTES), false);
  });

  it('has room for short answers whatever the others take', () => {
    const memory = createAnswerMemory();
    for (let taken = true; taken;) {
      taken = memory.open().tryTake(MAX_ANSWER_BYTES);
    }
    const account = memory.open();
    assert.equal(account.tryTake(10_000), true);
    assert.equal(account.tryTake(10_000), true);
    assert.equal(account.tryTake(60_000), false);
  });

  it('has none for a request that has ended', () => {
    const account = createAnswerMemory().open();
    account.close();
    assert.equal(account.tryTake(1), false);
  });
});
