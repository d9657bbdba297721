/** Memory that is set aside for parts of a prompt: all or nothing, renewed, and given back on every way out. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { MemoryOrder, OrderFailure, ReleaseCause, type Reservation } from '@toucanbend/forwarding';
import { type Helper } from '@toucanbend/placement';
import { helper, RESERVATION, TestEngines } from './support/engines.js';

async function reserveWell(engines: TestEngines, ...helpers: readonly Helper[]): Promise<Reservation> {
  const reserved = await engines.reserveFor(...helpers);
  assert.ok('release' in reserved);
  engines.use(RESERVATION, true);
  return reserved;
}

const failing = (failure: OrderFailure): TestEngines =>
  new TestEngines([{ server: 'e2', order: MemoryOrder.Reserve, after: 0, failure }]);

describe('memory for parts of a prompt', () => {
  it('is set aside only at helpers that keep a part', async () => {
    const engines = new TestEngines();
    await reserveWell(engines, helper('e1'), helper('e2', false));
    assert.deepEqual(engines.orders, ['reserve at e1']);
  });

  it('is given back everywhere where the answer of one engine is lost', async () => {
    const engines = failing(OrderFailure.Unanswered);
    const reserved = await engines.reserveFor(helper('e1'), helper('e2'));
    assert.deepEqual(reserved, [{ server: 'e2', failure: OrderFailure.Unanswered, message: 'planted' }]);
    assert.deepEqual(engines.orders.slice(2), ['release at e1', 'release at e2']);
  });

  for (const failure of [OrderFailure.Refused, OrderFailure.NotSent]) {
    it(`is given back where it was set aside, and only there, where one order is ${failure}`, async () => {
      const engines = failing(failure);
      const reserved = await engines.reserveFor(helper('e1'), helper('e2'), helper('e3'));
      assert.deepEqual(reserved, [{ server: 'e2', failure, message: 'planted' }]);
      await engines.pass(20_000);
      assert.deepEqual(engines.orders.slice(3), ['release at e1', 'release at e3']);
    });
  }

  it('is renewed before its hold ends, and no more after its release', async () => {
    const engines = new TestEngines();
    const reserved = await reserveWell(engines, helper('e1'));
    await engines.pass(3_000);
    assert.equal(engines.count('e1', MemoryOrder.Reserve), 4);
    reserved.release(ReleaseCause.Ended);
    await engines.pass(10_000);
    assert.deepEqual(engines.orders.slice(4), ['release at e1']);
  });

  it('is released once however often that is asked for', async () => {
    const engines = new TestEngines();
    const reserved = await reserveWell(engines, helper('e1'));
    reserved.release(ReleaseCause.Ended);
    reserved.release(ReleaseCause.Ended);
    await engines.pass(1_000);
    assert.equal(engines.count('e1', MemoryOrder.Release), 1);
  });

  it('is released once more where the first order got no answer', async () => {
    const { Unanswered: failure } = OrderFailure;
    const engines = new TestEngines([{ server: 'e1', order: MemoryOrder.Release, after: 0, failure }]);
    const reserved = await reserveWell(engines, helper('e1'));
    reserved.release(ReleaseCause.Ended);
    await engines.pass(300);
    assert.equal(engines.count('e1', MemoryOrder.Release), 2);
  });
});
