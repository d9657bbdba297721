/** Parts of shared limits while entries are cut off, stop or start. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { limitShareOf } from '@toucanbend/membership';

const share = (registered: string[], linked: string[], ended: string[] = []): [number, number] => {
  const { fraction, entries } = limitShareOf({
    registered,
    linked: new Set(linked),
    ended: new Set(ended),
  });
  return [fraction, entries];
};

describe('the part of a limit', () => {
  it('is all of it for entries that are all linked, and for a single entry', () => {
    assert.deepEqual(share(['b', 'c'], ['b', 'c']), [1, 3]);
    assert.deepEqual(share([], []), [1, 1]);
  });

  it('leaves the parts of entries that are cut off to them', () => {
    assert.deepEqual(share(['b', 'c', 'd'], ['b']), [2 / 4, 4]);
    assert.deepEqual(share(['b', 'c', 'd'], []), [1 / 4, 4]);
  });

  it('leaves nothing to an entry that has ended, until it is linked again', () => {
    assert.deepEqual(share(['b', 'c'], ['b'], ['c']), [1, 2]);
    assert.deepEqual(share(['b', 'c'], ['b', 'c'], ['c']), [1, 3]);
  });

  it('does not count linked entries that are not registered', () => {
    assert.deepEqual(share(['b'], ['b', 'stopping']), [1, 2]);
  });
});
