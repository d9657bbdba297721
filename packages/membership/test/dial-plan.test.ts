/** When entries that start together dial the others. */
import assert from 'node:assert/strict';
import { it } from 'node:test';
import { createRandom } from '@toucanbend/core';
import { planDials } from '../src/dial-plan.js';

const addresses = Array.from({ length: 29 }, (_, index) => `10.0.0.${String(index)}:8000`);

it('dials each entry once, one after another, within the interval', () => {
  for (const withinMs of [100, 500]) {
    const dials = planDials(addresses, withinMs, createRandom(1));
    assert.deepEqual(dials.map(({ address }) => address).sort(), [...addresses].sort());
    const delays = dials.map(({ delayMs }) => delayMs);
    assert.equal(delays[0], 0);
    assert.ok(delays.every((delayMs, index) => index === 0 || delayMs > (delays[index - 1] ?? 0)));
    assert.ok((delays.at(-1) ?? 0) < withinMs);
  }
});

it('spreads the first dials of sixteen entries that start at once over the others', () => {
  const first = new Map<string, number>();
  const seeds = createRandom(1);
  for (let entry = 0; entry < 16; entry += 1) {
    const address = planDials(addresses, 500, createRandom(seeds.below(2 ** 31)))[0]?.address ?? '';
    first.set(address, (first.get(address) ?? 0) + 1);
  }
  assert.ok(Math.max(...first.values()) <= 4, [...first].join(' '));
});
