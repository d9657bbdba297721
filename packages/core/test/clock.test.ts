/** Timers of the system clock. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createSystemClock } from '@toucanbend/core';

test('a timer whose delay is longer than the runtime supports does not fire at once', (context) => {
  context.mock.timers.enable({ apis: ['setTimeout'] });
  const clock = createSystemClock();
  let fired = 0;
  for (const delayMs of [2 ** 31, 1e308, Infinity]) {
    clock.after(delayMs, () => (fired += 1));
  }
  context.mock.timers.tick(1_000);
  assert.equal(fired, 0);
});
