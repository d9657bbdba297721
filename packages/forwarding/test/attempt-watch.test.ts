/** What the watch of an attempt shows: a server may crash at any time after it has begun to write an answer. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createManualClock, createRandom, type ManualClock } from '@toucanbend/core';
import { type Logger } from '@toucanbend/observability';
import {
  createQuarantine,
  type Quarantine,
  type QuarantineUpdate,
  QuarantineUpdateKind,
} from '@toucanbend/quarantine';
import { type CallerRequest } from '../src/caller-request.js';
import { type AttemptWatch, createRequestQuarantine } from '../src/request-quarantine.js';

const ignore = (): void => undefined;
const logger: Logger = { decision: ignore, info: ignore, warn: ignore, error: ignore, explain: () => [] };

interface Fixture {
  readonly clock: ManualClock;
  readonly quarantine: Quarantine;
  readonly updates: QuarantineUpdate[];
  watch(isResumed: boolean): AttemptWatch;
}

function createFixture(): Fixture {
  const clock = createManualClock(10_000);
  const updates: QuarantineUpdate[] = [];
  const quarantine = createQuarantine({
    clock,
    wallClock: clock.now.bind(clock),
    random: createRandom(1),
    logger,
    broadcast: (update) => updates.push(update),
    publish: () => Promise.resolve(true),
    withdraw: ignore,
  });
  const request = {
    head: { requestId: 'r1', prompt: { sharedParts: ['shared'] } },
    service: { name: 'model' },
    account: 'vane',
    method: 'POST',
    host: 'vanes.example',
    path: '/answers',
    body: Buffer.from('body'),
  } as unknown as CallerRequest;
  const watched = createRequestQuarantine({ quarantine, clock }, request);
  return { clock, quarantine, updates, watch: (isResumed) => watched.watch('i-1', isResumed) };
}

const lostParts = (updates: readonly QuarantineUpdate[]): (readonly string[])[] =>
  updates.flatMap((update) => (update.kind === QuarantineUpdateKind.Lost ? [update.attempt.parts] : []));

/** Lets events arrive; a server may crash at any time after it has begun to write. */
function receiveEvents({ clock }: Fixture, watch: AttemptWatch, count: number): void {
  for (let event = 0; event < count; event += 1) {
    clock.advance(100);
    watch.progressed();
  }
}

describe('an answer whose server crashes', () => {
  for (const events of [0, 1, 3, 30]) {
    it(`speaks against the parts of its prompt after ${String(events)} events`, () => {
      const fixture = createFixture();
      const watch = fixture.watch(false);
      receiveEvents(fixture, watch, events);
      watch.lost();
      assert.deepEqual(lostParts(fixture.updates), [['shared']]);
    });

    it(`speaks against the parts of its prompt after ${String(events)} events if its connection falls silent`, () => {
      const fixture = createFixture();
      const watch = fixture.watch(false);
      receiveEvents(fixture, watch, events);
      fixture.clock.advance(3_000);
      fixture.quarantine.serverEnded('i-1');
      assert.deepEqual(lostParts(fixture.updates), [['shared']]);
    });
  }

  it('speaks against no part if it was complete before', () => {
    const fixture = createFixture();
    const watch = fixture.watch(false);
    receiveEvents(fixture, watch, 3);
    watch.answered(true);
    fixture.clock.advance(3_000);
    fixture.quarantine.serverEnded('i-1');
    assert.deepEqual(lostParts(fixture.updates), []);
  });
});

describe('a part whose prompts are lost at three servers', () => {
  /** Whether the part is quarantined although one more of its prompts got an answer meanwhile. */
  function isQuarantinedDespite(answer: (fixture: Fixture) => void): boolean {
    const fixture = createFixture();
    const { clock, quarantine } = fixture;
    for (const index of [1, 2, 3]) {
      const id = String(index);
      clock.advance(300);
      const attempt = { service: 'model', server: `s-${id}`, request: id, digest: id, parts: ['shared'] };
      quarantine.lost({ ...attempt, sentAtMs: clock.now() - 200 });
    }
    answer(fixture);
    clock.advance(600);
    return quarantine.find('model', { digest: 'another', parts: ['shared'] }) !== undefined;
  }

  it('is sound if a whole answer is served', () => {
    const isQuarantined = isQuarantinedDespite((fixture) => {
      const watch = fixture.watch(false);
      receiveEvents(fixture, watch, 2);
      watch.answered(true);
    });
    assert.equal(isQuarantined, false);
  });

  const inconclusive: Readonly<Record<string, (fixture: Fixture) => void>> = {
    'the rest of a resumed answer is served': (fixture) => {
      const watch = fixture.watch(true);
      receiveEvents(fixture, watch, 2);
      watch.answered(true);
    },
    'an error is served': (fixture) => {
      fixture.watch(false).answered(false);
    },
    'a long answer is under way': (fixture) => {
      receiveEvents(fixture, fixture.watch(false), 3);
    },
  };
  for (const [name, answer] of Object.entries(inconclusive)) {
    it(`is quarantined although ${name}`, () => {
      assert.equal(isQuarantinedDespite(answer), true);
    });
  }
});
