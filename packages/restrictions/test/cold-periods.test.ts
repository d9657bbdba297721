/** Entries that all have requests for a cold server keep its bound in every second, whether they hear from one another or not. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createManualClock, createRandom, type ManualClock, type Random } from '@toucanbend/core';
import { type Logger } from '@toucanbend/observability';
import {
  COLD_WINDOW_MS,
  type ColdBound,
  coldQuota,
  coldRank,
  type ColdStatement,
  createServerRestrictions,
  decodeRestrictionUpdate,
  encodeRestrictionUpdate,
  type ServerRestrictions,
} from '@toucanbend/restrictions';

const ignore = (): void => undefined;
const logger: Logger = { decision: ignore, info: ignore, warn: ignore, error: ignore, explain: () => [] };
const bound: ColdBound = { overshoot: 1.5, slack: 5 };
const SECOND_MS = 1_000;
const TICK_MS = 20;
const server = { id: 's1', bornAtMs: 1 };
const nameOf = (index: number): string => `entry-${String(index)}`;
const namesUpTo = (count: number): string[] => Array.from({ length: count }, (_, index) => nameOf(index));

interface Entry {
  readonly restrictions: ServerRestrictions;
  names: readonly string[];
  isLinked: boolean;
}

/** Entries of which each has a request waiting for the same server all the time. */
class Fleet {
  readonly clock: ManualClock = createManualClock();
  readonly random: Random;
  readonly entries: Entry[] = [];
  readonly sentAtMs: number[] = [];
  #inTransit: { readonly from: Entry; readonly encoded: unknown; readonly atMs: number }[] = [];
  readonly #perSecond: number;

  constructor(size: number, perSecond: number, seed: number) {
    this.random = createRandom(seed);
    this.#perSecond = perSecond;
    for (const name of namesUpTo(size)) {
      this.start(name, namesUpTo(size));
    }
  }

  start(name: string, names: readonly string[]): Entry {
    const entry: Entry = {
      names,
      isLinked: true,
      restrictions: createServerRestrictions({
        entry: name,
        clock: this.clock,
        logger,
        share: () => ({ fraction: 1, entries: entry.names.length }),
        broadcast: (update) => {
          if (entry.isLinked) {
            const encoded = encodeRestrictionUpdate(update, this.clock.now());
            this.#inTransit.push({
              from: entry,
              encoded,
              atMs: this.clock.now() + 4 + this.random.below(60),
            });
          }
        },
        cold: { bound, perSecondOf: () => this.#perSecond, entries: () => entry.names },
      }),
    };
    this.entries.push(entry);
    return entry;
  }

  /** Lets each entry read the record of the server, at different times. */
  read(revision: number, coldMs: number, isNewRun: boolean, lagMs: number): void {
    const position = { era: 1, revision };
    this.entries.forEach(({ restrictions }) => {
      this.clock.after(this.random.below(lagMs), () => {
        restrictions.cold.stated({ server, service: 'model', position, coldMs, isNewRun });
      });
    });
  }

  #deliver(): void {
    const nowMs = this.clock.now();
    const arrived = this.#inTransit.filter(({ atMs }) => atMs <= nowMs);
    this.#inTransit = this.#inTransit.filter(({ atMs }) => atMs > nowMs);
    for (const { from, encoded } of arrived) {
      const update = decodeRestrictionUpdate(encoded, nowMs);
      assert.ok(update !== undefined);
      this.entries
        .filter((other) => other !== from && other.isLinked)
        .forEach(({ restrictions }) => {
          restrictions.receive(update);
        });
    }
  }

  run(durationMs: number, isCounted = true): void {
    const endMs = this.clock.now() + durationMs;
    while (this.clock.now() < endMs) {
      this.clock.advance(TICK_MS);
      this.#deliver();
      const nowMs = this.clock.now();
      for (const { restrictions } of this.entries) {
        if (restrictions.availableAtMs(server) <= nowMs) {
          restrictions.countOwnRequest(server.id, nowMs);
          if (isCounted) {
            this.sentAtMs.push(nowMs);
          }
        }
      }
    }
  }

  busiestSecond(): number {
    const sent = this.sentAtMs;
    return Math.max(
      0,
      ...sent.map((from) => sent.filter((at) => at >= from && at < from + SECOND_MS).length),
    );
  }
}

describe('entries that share a cold server', () => {
  for (const size of [1, 3, 30, 410]) {
    for (const perSecond of [0.5, 26]) {
      const most = perSecond * bound.overshoot + bound.slack;
      const assertBound = (fleet: Fleet): void => {
        const busiest = fleet.busiestSecond();
        assert.ok(busiest <= most, `${String(busiest)} requests in a second of ${String(most)}`);
      };
      const title = `${String(size)} of them, ${String(perSecond)} requests a second`;

      it(`send to one that has started at its rate and within its bound (${title})`, () => {
        const fleet = new Fleet(size, perSecond, 7);
        fleet.clock.advance(5_000);
        fleet.read(1, 6_000, true, 1);
        fleet.clock.advance(1);
        fleet.run(5_000);
        assertBound(fleet);
        const perWindow = fleet.sentAtMs.length / (5_000 / 1_100);
        assert.ok(
          perWindow >= Math.floor((perSecond * size) / (size + 1)),
          `${String(perWindow)} requests in a window`,
        );
      });

      it(`keep the bound after one has turned cold again, though they learn of it late (${title})`, () => {
        const fleet = new Fleet(size, perSecond, 8);
        fleet.clock.advance(5_000);
        fleet.run(20, false);
        fleet.read(2, 6_000, false, 500);
        fleet.run(500, false);
        fleet.run(4_000);
        assertBound(fleet);
      });

      it(`keep the bound while they are cut off from one another and some start late (${title})`, () => {
        const fleet = new Fleet(size, perSecond, 9);
        fleet.clock.advance(5_000);
        fleet.entries.forEach((entry) => {
          entry.isLinked = false;
        });
        fleet.read(3, 6_000, true, 400);
        fleet.run(500, false);
        fleet.run(1_000);
        const late = fleet.start('late', [...namesUpTo(size), 'late']);
        const position = { era: 1, revision: 3 };
        late.restrictions.cold.stated({ server, service: 'model', position, coldMs: 6_000, isNewRun: true });
        fleet.run(3_000);
        assertBound(fleet);
      });
    }
  }

  it('have quotas that never exceed the bound together, whatever their number', () => {
    for (let size = 1; size <= 120; size += 1) {
      for (const perSecond of [0, 0.5, 1, 7.5, 26, 200]) {
        const names = namesUpTo(size);
        const total = names.reduce(
          (sum, name) => sum + coldQuota(perSecond, bound, coldRank(name, names, 's1')),
          0,
        );
        assert.ok(total <= perSecond * bound.overshoot + bound.slack);
        assert.ok(total >= Math.floor((perSecond * size) / (size + 1)));
      }
    }
  });
});

describe('the cold period of a server', () => {
  const position = { era: 1, revision: 5 };
  const statement: ColdStatement = { server, service: 'model', position, coldMs: 3_000, isNewRun: true };

  function startEntry(fleet = new Fleet(1, 4, 1)): { fleet: Fleet; restrictions: ServerRestrictions } {
    const [entry] = fleet.entries;
    assert.ok(entry !== undefined);
    fleet.clock.advance(5_000);
    return { fleet, restrictions: entry.restrictions };
  }

  it('ends when its time is over, not before, and does not begin anew with a late copy of the record', () => {
    const { fleet, restrictions } = startEntry();
    restrictions.cold.stated(statement);
    fleet.clock.advance(2_999);
    assert.equal(restrictions.cold.coldCount(), 1);
    fleet.clock.advance(1);
    restrictions.cold.stated(statement);
    assert.equal(restrictions.cold.coldCount(), 0);
    assert.equal(restrictions.availableAtMs(server), Number.NEGATIVE_INFINITY);
  });

  it('begins anew with a later record, of which a copy from another entry counts from its reading', () => {
    const { fleet, restrictions } = startEntry();
    restrictions.cold.stated(statement);
    fleet.clock.advance(4_000);
    restrictions.cold.stated({ ...statement, position: { era: 1, revision: 6 }, isNewRun: false });
    fleet.clock.advance(1_000);
    const [update] = restrictions.list();
    assert.ok(update !== undefined);
    const late = new Fleet(1, 4, 1);
    const { restrictions: started } = startEntry(late);
    started.cold.stated({ ...statement, position: { era: 1, revision: 6 } });
    const decoded = decodeRestrictionUpdate(
      encodeRestrictionUpdate(update, fleet.clock.now()),
      late.clock.now(),
    );
    assert.ok(decoded !== undefined);
    started.receive(decoded);
    late.clock.advance(2_000);
    assert.equal(started.cold.coldCount(), 0);
  });

  it('keeps an entry that has started in its course from sending within its first window, whoever tells it', () => {
    const { fleet, restrictions } = startEntry();
    restrictions.cold.stated(statement);
    assert.ok(restrictions.availableAtMs(server) <= fleet.clock.now());
    const [update] = restrictions.list();
    assert.ok(update !== undefined);
    const startedAtMs = fleet.clock.now();
    const { restrictions: told } = fleet.start('told', ['entry-0', 'told']);
    const { restrictions: reader } = fleet.start('reader', ['entry-0', 'reader']);
    fleet.clock.advance(300);
    told.receive(update);
    reader.cold.stated(statement);
    assert.equal(told.availableAtMs(server), startedAtMs + COLD_WINDOW_MS);
    assert.equal(reader.availableAtMs(server), startedAtMs + 300 + COLD_WINDOW_MS);
  });

  it('ends early with a later record that states none, but not with that of an older copy of the store', () => {
    const { restrictions } = startEntry();
    restrictions.cold.stated(statement);
    restrictions.cold.stated({ ...statement, position: { era: 2, revision: 1 }, coldMs: 0 });
    assert.equal(restrictions.cold.coldCount(), 1);
    restrictions.cold.stated({ ...statement, position: { era: 2, revision: 2 }, coldMs: 0 });
    assert.equal(restrictions.cold.coldCount(), 0);
  });

  it('limits nothing where the service has no rate for cold servers, and only the run that stated it', () => {
    const { restrictions } = startEntry(new Fleet(1, 0, 1));
    restrictions.cold.stated(statement);
    assert.equal(restrictions.availableAtMs(server), Number.NEGATIVE_INFINITY);
    const { restrictions: limited } = startEntry(new Fleet(410, 1, 1));
    limited.cold.stated(statement);
    assert.equal(limited.availableAtMs({ ...server, bornAtMs: 2 }), Number.NEGATIVE_INFINITY);
  });

  it('leaves an entry without a part of it alone until its end', () => {
    const fleet = new Fleet(410, 1, 1);
    fleet.clock.advance(5_000);
    fleet.entries.forEach(({ restrictions }) => {
      restrictions.cold.stated(statement);
    });
    const untilMs = fleet.clock.now() + 3_000;
    const waiting = fleet.entries.filter(
      ({ restrictions }) => restrictions.availableAtMs(server) === untilMs,
    );
    assert.ok(waiting.length >= 405);
  });
});
