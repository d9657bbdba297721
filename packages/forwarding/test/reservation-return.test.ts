/** Memory at engines is free again in time after its request, whatever the entry hears. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  MemoryOrder,
  OrderFailure,
  ReleaseCause,
  type Reservation,
  reservationTimes,
} from '@toucanbend/forwarding';
import { bounds, helper, type OrderFault, RESERVATION, TestEngines } from './support/engines.js';

const { returnMs: RETURN_MS, unusedMs: UNUSED_MS } = bounds;
/** Longest time for which memory that comes back after the bound may stay, in milliseconds. */
const STRETCH_MS = 2_000;

interface Held {
  readonly engines: TestEngines;
  readonly reservation: Reservation;
}

async function hold(...faults: readonly OrderFault[]): Promise<Held> {
  const engines = new TestEngines(faults);
  const reserved = await engines.reserveFor(helper('e1'), helper('e2'));
  assert.ok('release' in reserved);
  engines.use(RESERVATION, true);
  return { engines, reservation: reserved };
}

describe('memory of a request that ended at its server, which the entry does not hear of', () => {
  it('is free in time though the server fell silent', async () => {
    const { engines } = await hold();
    await engines.pass(2_500);
    engines.use(RESERVATION, false);
    await engines.pass(15_000);
    assert.equal(engines.longestHoldAfter(RESERVATION, 2_500 + RETURN_MS), 0);
    assert.equal(engines.idleCount, 1);
  });

  it('is free in time where an engine does not tell what it holds', async () => {
    const { engines } = await hold();
    engines.silence('e1');
    await engines.pass(2_500);
    engines.use(RESERVATION, false);
    await engines.pass(15_000);
    assert.equal(engines.longestHoldAfter(RESERVATION, 2_500 + RETURN_MS), 0);
  });

  it('is free in time where no engine ever used it', async () => {
    const { engines } = await hold();
    engines.use(RESERVATION, false);
    engines.silence('first');
    await engines.pass(15_000);
    assert.equal(engines.longestHoldAfter(RESERVATION, RETURN_MS), 0);
  });
});

describe('memory whose renewal was not sent', () => {
  it('counts as held no longer than the engine holds it', async () => {
    const { NotSent: failure } = OrderFailure;
    const { engines } = await hold({
      server: 'e1',
      order: MemoryOrder.Reserve,
      after: 1,
      failure,
    });
    await engines.pass(1_100);
    engines.silence('e1');
    await engines.pass(2_200);
    assert.equal(engines.idleCount, 1);
  });
});

describe('memory of a request that waits at its server', () => {
  it('is held until the request begins', async () => {
    const { engines } = await hold();
    engines.use(RESERVATION, false);
    await engines.pass(4_500);
    engines.use(RESERVATION, true);
    await engines.pass(3_000);
    assert.equal(engines.idleCount, 0);
    assert.equal(engines.longestHoldAfter(RESERVATION, 0), 7_500);
  });

  it('is free in time where the request never begins', async () => {
    const { engines } = await hold();
    engines.use(RESERVATION, false);
    await engines.pass(15_000);
    assert.equal(engines.longestHoldAfter(RESERVATION, UNUSED_MS), 0);
  });
});

describe('memory of a request that runs', () => {
  it('is held until its release', async () => {
    const { engines, reservation } = await hold();
    await engines.pass(14_000);
    assert.equal(engines.idleCount, 0);
    assert.equal(engines.longestHoldAfter(RESERVATION, 0), 14_000);
    reservation.release(ReleaseCause.Ended);
    engines.use(RESERVATION, false);
    await engines.pass(10_000);
    assert.equal(engines.longestHoldAfter(RESERVATION, 14_050), 0);
  });
});

describe('memory whose renewal got no answer and is carried out late', () => {
  for (const delayMs of [1_500, 4_000, 8_000, 12_000]) {
    it(`does not come back for long after its release (${String(delayMs)} ms)`, async () => {
      const { Unanswered: failure } = OrderFailure;
      const late = { server: 'e1', order: MemoryOrder.Reserve, after: 1, failure, delayMs } as const;
      const { engines, reservation } = await hold(late);
      await engines.pass(1_600);
      engines.use(RESERVATION, false);
      reservation.release(ReleaseCause.Ended);
      await engines.pass(20_000);
      assert.ok(engines.longestHoldAfter(RESERVATION, 1_600 + RETURN_MS) < STRETCH_MS);
    });
  }
});

describe('a release that gets no answer', () => {
  it('is sent again', async () => {
    const { Unanswered: failure } = OrderFailure;
    const { engines, reservation } = await hold({
      server: 'e1',
      order: MemoryOrder.Release,
      after: 0,
      failure,
    });
    await engines.pass(1_100);
    engines.use(RESERVATION, false);
    reservation.release(ReleaseCause.Ended);
    await engines.pass(1_000);
    assert.equal(engines.longestHoldAfter(RESERVATION, 1_600), 0);
  });
});

describe('memory that an engine declined to give back', () => {
  it('is not asked for again', async () => {
    const { Refused: failure } = OrderFailure;
    const { engines, reservation } = await hold({
      server: 'e1',
      order: MemoryOrder.Release,
      after: 0,
      failure,
    });
    reservation.release(ReleaseCause.Ended);
    await engines.pass(5_000);
    assert.equal(engines.count('e1', MemoryOrder.Release), 1);
  });
});

describe('the hold of a reservation', () => {
  it('is a whole number of milliseconds, as engines take no other', () => {
    const { holdMs } = reservationTimes({ returnMs: 3_333, unusedMs: UNUSED_MS });
    assert.equal(holdMs, 2_499);
  });
});
