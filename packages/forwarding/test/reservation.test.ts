/** Memory reservations for parts of a prompt: all or none are made, they are renewed, and every exit path releases them. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { MemoryOrder, OrderFailure, ReleaseCause, type Reservation } from '@toucanbend/forwarding';
import { type Helper } from '@toucanbend/placement';
import { helper, RESERVATION, TestEngines } from './support/engines.js';

async function reserveInUse(engines: TestEngines, ...helpers: readonly Helper[]): Promise<Reservation> {
  const reserved = await engines.reserveFor(...helpers);
  assert.ok('release' in reserved);
  engines.use(RESERVATION, true);
  return reserved;
}

const failing = (failure: OrderFailure): TestEngines =>
  new TestEngines([{ server: 'e2', order: MemoryOrder.Reserve, after: 0, failure }]);

describe('memory for parts of a prompt', () => {
  it('is reserved only at helpers that keep a part', async () => {
    const engines = new TestEngines();
    await reserveInUse(engines, helper('e1'), helper('e2', false));
    assert.deepEqual(engines.orders, ['reserve at e1']);
  });

  it('is released at all engines if the answer of one is lost', async () => {
    const engines = failing(OrderFailure.Unanswered);
    const reserved = await engines.reserveFor(helper('e1'), helper('e2'));
    assert.deepEqual(reserved, [{ server: 'e2', failure: OrderFailure.Unanswered, message: 'injected' }]);
    assert.deepEqual(engines.orders.slice(2), ['release at e1', 'release at e2']);
  });

  for (const failure of [OrderFailure.Refused, OrderFailure.NotSent]) {
    it(`is released exactly where it was reserved if one order is ${failure}`, async () => {
      const engines = failing(failure);
      const reserved = await engines.reserveFor(helper('e1'), helper('e2'), helper('e3'));
      assert.deepEqual(reserved, [{ server: 'e2', failure, message: 'injected' }]);
      await engines.advance(20_000);
      assert.deepEqual(engines.orders.slice(3), ['release at e1', 'release at e3']);
    });
  }

  it('is renewed before its lease expires, and not after its release', async () => {
    const engines = new TestEngines();
    const reserved = await reserveInUse(engines, helper('e1'));
    await engines.advance(3_000);
    assert.equal(engines.count('e1', MemoryOrder.Reserve), 4);
    reserved.release(ReleaseCause.Ended);
    await engines.advance(10_000);
    assert.deepEqual(engines.orders.slice(4), ['release at e1']);
  });

  it('is released once if release is called twice', async () => {
    const engines = new TestEngines();
    const reserved = await reserveInUse(engines, helper('e1'));
    reserved.release(ReleaseCause.Ended);
    reserved.release(ReleaseCause.Ended);
    await engines.advance(1_000);
    assert.equal(engines.count('e1', MemoryOrder.Release), 1);
  });

  it('is released again if the first release was not answered', async () => {
    const { Unanswered: failure } = OrderFailure;
    const engines = new TestEngines([{ server: 'e1', order: MemoryOrder.Release, after: 0, failure }]);
    const reserved = await reserveInUse(engines, helper('e1'));
    reserved.release(ReleaseCause.Ended);
    await engines.advance(300);
    assert.equal(engines.count('e1', MemoryOrder.Release), 2);
  });
});
