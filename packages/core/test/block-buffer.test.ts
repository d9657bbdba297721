/** A buffer for bytes that arrive in pieces of any size. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { createBlockBuffer } from '@toucanbend/core';

describe('a block buffer', () => {
  it('returns the bytes of all pieces in order, and is empty afterwards', () => {
    fc.assert(
      fc.property(fc.array(fc.tuple(fc.nat(9_000), fc.boolean()), { maxLength: 20 }), (sizes) => {
        const buffer = createBlockBuffer();
        const pieces = sizes.map(([size, isOwn], index) =>
          isOwn ? Buffer.alloc(size, index + 1) : Buffer.alloc(size + 1, index + 1).subarray(1),
        );
        pieces.forEach((piece) => {
          buffer.add(piece);
        });
        assert.deepEqual(buffer.take(), Buffer.concat(pieces));
        assert.equal(buffer.length(), 0);
        assert.equal(buffer.take().length, 0);
      }),
      { seed: 1, numRuns: 100 },
    );
  });
});
