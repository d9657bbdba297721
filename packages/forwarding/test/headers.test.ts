/** Names and values of headers that are forwarded. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { headersByName } from '../src/headers.js';

test('headers with the names of properties of objects are forwarded unchanged', () => {
  const sent = ['constructor', 'a', '__proto__', 'b', 'toString', 'c', 'A', '1', 'A', '2'];
  assert.deepEqual(Object.entries(headersByName(sent)), [
    ['constructor', 'a'],
    ['__proto__', 'b'],
    ['toString', 'c'],
    ['A', ['1', '2']],
  ]);
});
