/**
 * Guards against a non-idempotent call that runs twice after a failure, or that is reported as "not run"
 * although it ran.
 */
import assert from 'node:assert/strict';
import { after, before, describe, test } from 'node:test';
import { callService, type CallerResult } from '../fakes/caller.js';
import { callJson, CONFIRM_PATH, type Fleet, startFleet, until } from '../fakes/fleet.js';
import { RelayFault } from '../fakes/relay.js';
import { ServiceFault } from '../fakes/service.js';
import { StoreFault } from '../fakes/store.js';

describe('calls that must not be repeated', () => {
  let fleet: Fleet;
  before(async () => {
    fleet = await startFleet({
      dataCentres: [{ name: 'dc-1', region: 'bagmati' }],
      entries: [
        { name: 'entry-1', dataCentre: 'dc-1' },
        { name: 'entry-2', dataCentre: 'dc-1' },
      ],
      backends: [
        { name: 'orders-1', dataCentre: 'dc-1' },
        { name: 'orders-2', dataCentre: 'dc-1' },
      ],
      accounts: [{ name: 'patan' }],
      relayDelaysMs: {},
    });
  });
  after(() => fleet.stop());

  const confirm = (body: string, key?: string, entry = 0, deadlineMs = 3_000): Promise<CallerResult> =>
    callService({
      port: fleet.entries[entry]?.callerPort ?? 0,
      key: fleet.keyOf('patan'),
      path: CONFIRM_PATH,
      body,
      deadlineMs,
      ...(key === undefined ? {} : { idempotencyKey: key }),
    });

  const runsOf = async (body: string): Promise<number> => {
    const all = await Promise.all(
      fleet.backends.map((backend) => callJson<Record<string, number>>(backend.port, '/runs')),
    );
    return all.reduce((sum, runs) => sum + (runs[body] ?? 0), 0);
  };

  const forEachBackend = (path: string, value: unknown): Promise<unknown> =>
    Promise.all(fleet.backends.map((backend) => callJson(backend.port, path, value)));

  const forEachRoute = (fault: RelayFault): Promise<unknown> =>
    Promise.all(fleet.sides.map((side) => callJson(fleet.relay.port, '/fault', { name: side.name, fault })));

  test('two concurrent callers with the same key receive the answer of a single run', async () => {
    const results = await Promise.all([0, 1, 0, 1].map((entry) => confirm('race', 'race', entry)));
    assert.deepEqual(
      results.map((result) => result.outcome),
      ['complete', 'complete', 'complete', 'complete'],
    );
    assert.equal(await runsOf('race'), 1);
  });

  test('a key reused with a different body is rejected', async () => {
    await confirm('first body', 'reused');
    const second = await confirm('second body', 'reused');
    assert.deepEqual([second.status, second.outcome], [422, 'not_run']);
    assert.equal(await runsOf('second body'), 0);
  });

  test('a lost answer ends as unknown and is not repeated', async () => {
    await forEachBackend('/fault', ServiceFault.LoseAnswer);
    const result = await confirm('lost answer', 'lost-answer');
    await forEachBackend('/fault', ServiceFault.None);
    assert.equal(result.outcome, 'unknown');
    const again = await confirm('lost answer', 'lost-answer', 1);
    assert.equal(again.outcome, 'unknown');
    assert.equal(await runsOf('lost answer'), 1);
  });

  for (const fault of [ServiceFault.CutAnswer, ServiceFault.OddStatus]) {
    test(`an answer that is none ends as unknown, and later calls are served (${fault})`, async () => {
      await forEachBackend('/fault', fault);
      const result = await confirm(fault);
      await forEachBackend('/fault', ServiceFault.None);
      assert.equal(result.outcome, 'unknown');
      assert.equal(await runsOf(fault), 1);
      assert.equal((await confirm(`after ${fault}`)).outcome, 'complete');
    });
  }

  test('an answer survives a link whose connection is silently dropped', async () => {
    await forEachBackend('/delay', 600);
    const pending = confirm('silent link', 'silent-link');
    await until(async () => (await runsOf('silent link')) === 1, 'the call runs');
    await forEachRoute(RelayFault.Forget);
    const result = await pending;
    await forEachBackend('/delay', 5);
    assert.equal(result.outcome, 'complete');
    assert.equal(await runsOf('silent link'), 1);
  });

  test('a side frozen between accepting and dispatching a call does not run it twice', async () => {
    await forEachBackend('/delay', 100);
    const pending = confirm('frozen', 'frozen', 0, 1_500);
    fleet.sides.forEach((side) => {
      side.process.signal('SIGSTOP');
    });
    const first = await pending;
    const retried = confirm('frozen', 'frozen', 1, 4_000);
    fleet.sides.forEach((side) => {
      side.process.signal('SIGCONT');
    });
    const second = await retried;
    await forEachBackend('/delay', 5);
    const runs = await runsOf('frozen');
    assert.ok(runs <= 1);
    assert.ok(first.outcome !== 'complete' || runs === 1);
    assert.ok(second.outcome !== 'complete' || runs === 1);
    if (first.outcome === 'not_run' && second.outcome === 'not_run') {
      assert.equal(runs, 0);
    }
  });

  test('the outcome stays unknown when a side crashes during a call', async () => {
    await until(async () => (await confirm('warm up')).outcome === 'complete', 'the service answers again');
    await forEachBackend('/delay', 800);
    const pending = confirm('side dies', 'side-dies');
    await until(async () => (await runsOf('side dies')) === 1, 'the call runs');
    fleet.sides.forEach((side) => {
      side.process.signal('SIGKILL');
    });
    await Promise.all(fleet.sides.map((side) => side.process.exited));
    await Promise.all(fleet.sides.map((side) => side.restart()));
    const first = await pending;
    await forEachBackend('/delay', 5);
    await until(
      async () => (await confirm('warm up again')).outcome === 'complete',
      'the service answers again',
    );
    const second = await confirm('side dies', 'side-dies', 1);
    assert.deepEqual([first.outcome, second.outcome], ['unknown', 'unknown']);
    assert.equal(await runsOf('side dies'), 1);
  });

  test('after an entry crashes past dispatch, the caller can fetch the answer from another entry', async () => {
    await forEachBackend('/delay', 500);
    const pending = confirm('entry dies', 'entry-dies', 0);
    await until(async () => (await runsOf('entry dies')) === 1, 'the call runs');
    const entry = fleet.entries[0];
    entry?.process.signal('SIGKILL');
    await entry?.process.exited;
    assert.equal((await pending).status, 0);
    const again = await confirm('entry dies', 'entry-dies', 1);
    await forEachBackend('/delay', 5);
    await entry?.restart();
    assert.equal(again.outcome, 'complete');
    assert.equal(await runsOf('entry dies'), 1);
  });

  test('while the store is unreachable, a call with a key is not run, and a call without one is served', async () => {
    await until(async () => (await confirm('warm up 3')).outcome === 'complete', 'the entry answers again');
    await callJson(fleet.store.port, '/fault', StoreFault.Out);
    const withKey = await confirm('store out', 'store-out', 1, 1_000);
    const without = await confirm('no key', undefined, 1, 1_000);
    await callJson(fleet.store.port, '/fault', StoreFault.None);
    assert.deepEqual([withKey.outcome, without.outcome], ['not_run', 'complete']);
    assert.equal(await runsOf('store out'), 0);
    const again = await confirm('store out', 'store-out', 1);
    assert.equal(again.outcome, 'complete');
    assert.equal(await runsOf('store out'), 1);
  });

  test('writes whose answers are lost bind a key once', async () => {
    await callJson(fleet.store.port, '/fault', StoreFault.LoseAnswers);
    const pending = confirm('lost write', 'lost-write', 1, 3_000);
    await new Promise((resolve) => setTimeout(resolve, 300));
    await callJson(fleet.store.port, '/fault', StoreFault.None);
    const result = await pending;
    assert.equal(result.outcome, 'complete');
    assert.equal(await runsOf('lost write'), 1);
  });

  test('a frozen store is answered within the deadline', async () => {
    await callJson(fleet.store.port, '/fault', StoreFault.Hang);
    const result = await confirm('store hangs', 'store-hangs', 1, 1_000);
    await callJson(fleet.store.port, '/fault', StoreFault.None);
    assert.equal(result.outcome, 'not_run');
    assert.ok(result.elapsedMs < 1_000);
    assert.equal(await runsOf('store hangs'), 0);
  });
});
