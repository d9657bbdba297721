import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createByteBuffer } from '@toucanbend/core';

describe('a byte buffer', () => {
  it('holds what was added, in pieces of any length', () => {
    const buffer = createByteBuffer();
    const pieces = [1, 0, 3, 5_000, 1, 2, 70_000].map((length, index) => Buffer.alloc(length, index));
    pieces.forEach((piece) => {
      buffer.add(piece);
    });
    assert.deepEqual(buffer.bytes(), Buffer.concat(pieces));
    assert.equal(buffer.length(), 75_007);
  });

  it('leaves views of its content as they were when it is reset', () => {
    const buffer = createByteBuffer();
    buffer.add(Buffer.from('copper vane'));
    const view = buffer.bytes().subarray(0, 6);
    buffer.reset(buffer.bytes().subarray(7));
    buffer.add(Buffer.from(' and more'));
    assert.equal(view.toString(), 'copper');
    assert.equal(buffer.bytes().toString(), 'vane and more');
    buffer.reset(Buffer.alloc(0));
    assert.equal(buffer.length(), 0);
  });

  it('holds a copy of a piece, which may change afterwards', () => {
    const buffer = createByteBuffer();
    const piece = Buffer.from('vane');
    buffer.add(piece);
    piece.fill('x');
    assert.equal(buffer.bytes().toString(), 'vane');
  });
});
