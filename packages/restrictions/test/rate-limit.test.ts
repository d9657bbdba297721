/** Rate limits of servers that several entries share, with simulated delays between the entries. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createManualClock, createRandom, type ManualClock } from '@toucanbend/core';
import { type Logger } from '@toucanbend/observability';
import {
  createServerRestrictions,
  emptyNotice,
  type LimitShare,
  type RestrictionUpdate,
  type ServerNotice,
  type ServerRestrictions,
  UNLIMITED,
} from '@toucanbend/restrictions';

const ignore = (): void => undefined;
const logger: Logger = { decision: ignore, info: ignore, warn: ignore, error: ignore, explain: () => [] };
const server = { id: 's1', bornAtMs: 1 };
const limitOf = (limitPerSecond: number | undefined): ServerNotice => ({ ...emptyNotice, limitPerSecond });

interface Entry {
  readonly restrictions: ServerRestrictions;
  share: LimitShare;
}

/** Entries whose updates reach the others after a delay, unless they are cut off. */
class Fleet {
  readonly clock: ManualClock = createManualClock();
  readonly sentAtMs: number[] = [];
  readonly entries: Entry[];
  readonly #delayMs: number;

  constructor(size: number, delayMs: number) {
    this.#delayMs = delayMs;
    this.entries = Array.from({ length: size }, (_, index) => this.#createEntry(index, size));
  }

  #createEntry(index: number, size: number): Entry {
    const entry: Entry = {
      share: { fraction: 1, entries: size },
      restrictions: createServerRestrictions({
        entry: `entry-${String(index)}`,
        clock: this.clock,
        logger,
        share: () => entry.share,
        broadcast: (update) => {
          this.#deliver(entry, (other) => {
            other.receive(update);
          });
        },
      }),
    };
    return entry;
  }

  /** Cuts all entries off from one another, or links them again. */
  setLinked(isLinked: boolean): void {
    const { length } = this.entries;
    this.entries.forEach((entry) => {
      entry.share = { fraction: isLinked ? 1 : 1 / length, entries: length };
    });
  }

  #deliver(from: Entry, apply: (other: ServerRestrictions) => void): void {
    if (from.share.fraction < 1) {
      return;
    }
    this.clock.after(this.#delayMs, () => {
      for (const other of this.entries) {
        if (other !== from) {
          apply(other.restrictions);
        }
      }
    });
  }

  /** Sends a request if the server accepts one, and receives the answer at once. */
  send(entry: Entry, notice: ServerNotice): boolean {
    const atMs = this.clock.now();
    if (entry.restrictions.availableAtMs(server) > atMs) {
      return false;
    }
    this.sentAtMs.push(atMs);
    entry.restrictions.countRequest(server.id, atMs);
    this.#deliver(entry, (other) => {
      other.countRequest(server.id, atMs);
    });
    entry.restrictions.stated(server, notice, { requestId: 'r', sentAtMs: atMs });
    return true;
  }

  /** Lets random entries try to send, `perSecond` times a second. */
  run(durationMs: number, perSecond: number, notice: ServerNotice, seed = 1): void {
    const random = createRandom(seed);
    const endMs = this.clock.now() + durationMs;
    while (this.clock.now() < endMs) {
      this.clock.advance(1_000 / perSecond);
      const entry = this.entries[random.below(this.entries.length)];
      assert.ok(entry !== undefined);
      this.send(entry, notice);
    }
  }

  /** Returns the number of requests in the busiest window, of those sent after `fromMs`. */
  busiestWindow(fromMs: number, windowMs: number): number {
    const sent = this.sentAtMs.filter((atMs) => atMs >= fromMs);
    return Math.max(
      ...sent.map((startMs) => sent.filter((atMs) => atMs >= startMs && atMs < startMs + windowMs).length),
    );
  }

  sentAfter(fromMs: number): number {
    return this.sentAtMs.filter((atMs) => atMs >= fromMs).length;
  }
}

const WINDOW_MS = 4_000;
const GRACE_MS = 3_000;
const UPDATE_DELAY_MS = 9;
/** The most requests that the platform accepts within a window of four seconds. */
const mostInWindow = (perSecond: number): number => 1.5 * perSecond * (WINDOW_MS / 1_000) + 5;

describe('entries that share the rate limit of a server', () => {
  const fleets = [
    { size: 1, demand: 30 },
    { size: 5, demand: 70 },
    { size: 68, demand: 214 },
    { size: 410, demand: 1_300 },
  ];
  for (const { size, demand } of fleets) {
    for (const perSecond of [0.5, 1, 7.5, 20]) {
      it(`${String(size)} of them use ${String(perSecond)} requests a second and no more`, () => {
        const fleet = new Fleet(size, UPDATE_DELAY_MS);
        fleet.run(20_000, demand, limitOf(perSecond));
        const most = fleet.busiestWindow(GRACE_MS, WINDOW_MS);
        assert.ok(most <= mostInWindow(perSecond), `${String(most)} requests in a window`);
        const accepted = (perSecond * (20_000 - GRACE_MS)) / 1_000;
        const sent = fleet.sentAfter(GRACE_MS);
        assert.ok(sent >= 0.8 * accepted, `${String(sent)} of ${String(accepted)} requests were sent`);
        assert.ok(
          sent <= accepted + perSecond + 5,
          `${String(sent)} of ${String(accepted)} requests were sent`,
        );
      });
    }
  }

  it('keep to their parts while they are cut off from one another, and use all of it afterwards', () => {
    const fleet = new Fleet(5, UPDATE_DELAY_MS);
    fleet.run(2_000, 70, limitOf(1));
    fleet.setLinked(false);
    const cutAtMs = fleet.clock.now();
    fleet.run(20_000, 70, limitOf(1));
    const cutOff = fleet.busiestWindow(cutAtMs, WINDOW_MS);
    assert.ok(cutOff <= mostInWindow(1), `${String(cutOff)} requests in a window`);
    assert.ok(fleet.sentAfter(cutAtMs) >= 16, 'each entry sends its part');
    fleet.setLinked(true);
    const linkedAtMs = fleet.clock.now();
    fleet.run(10_000, 70, limitOf(1));
    const sent = fleet.sentAfter(linkedAtMs);
    assert.ok(sent >= 8, `${String(sent)} requests in 10 s`);
    assert.ok(fleet.busiestWindow(linkedAtMs, WINDOW_MS) <= mostInWindow(1));
  });

  it('send one now and then to a server that accepts none, to notice when it accepts some again', () => {
    const fleet = new Fleet(3, UPDATE_DELAY_MS);
    fleet.run(60_000, 30, limitOf(0));
    const sent = fleet.sentAfter(GRACE_MS);
    assert.ok(sent >= 4 && sent <= 7, `${String(sent)} requests in a minute`);
  });

  it('lower and raise their rate with the limit', () => {
    const fleet = new Fleet(3, UPDATE_DELAY_MS);
    fleet.run(5_000, 100, limitOf(10));
    fleet.run(5_000, 100, limitOf(1));
    const loweredAtMs = fleet.clock.now();
    fleet.run(10_000, 100, limitOf(1));
    assert.ok(fleet.sentAfter(loweredAtMs) <= 11);
    fleet.run(2_000, 100, limitOf(10));
    const raisedAtMs = fleet.clock.now();
    fleet.run(10_000, 100, limitOf(10));
    assert.ok(fleet.sentAfter(raisedAtMs) >= 90);
  });
});

describe('the rate limit of a server', () => {
  const isLimited = ({ restrictions }: Entry, run = server): boolean =>
    restrictions.availableAtMs(run) !== Number.NEGATIVE_INFINITY;

  function startLimited(): { fleet: Fleet; first: Entry; second: Entry } {
    const fleet = new Fleet(2, UPDATE_DELAY_MS);
    const [first, second] = fleet.entries;
    assert.ok(first !== undefined && second !== undefined);
    fleet.clock.advance(100);
    fleet.send(first, limitOf(1));
    fleet.clock.advance(100);
    assert.ok(isLimited(first) && isLimited(second));
    return { fleet, first, second };
  }

  const state = (fleet: Fleet, entry: Entry, notice: ServerNotice, sentAtMs: number): void => {
    entry.restrictions.stated(server, notice, { requestId: 'r', sentAtMs });
    fleet.clock.advance(100);
  };

  it('ends for all entries with an answer that does not state it', () => {
    const { fleet, first, second } = startLimited();
    state(fleet, second, limitOf(UNLIMITED), fleet.clock.now());
    assert.ok(!isLimited(first) && !isLimited(second));
  });

  it('does not end with the answer to a request that was sent before the server stated it', () => {
    const { fleet, first, second } = startLimited();
    state(fleet, second, limitOf(UNLIMITED), 50);
    assert.ok(isLimited(first) && isLimited(second));
  });

  it('neither begins nor ends with an invalid statement', () => {
    const { fleet, first } = startLimited();
    state(fleet, first, { ...limitOf(undefined), invalid: ['limit: x'] }, fleet.clock.now());
    assert.ok(isLimited(first));
    state(fleet, first, limitOf(UNLIMITED), fleet.clock.now());
    state(fleet, first, { ...limitOf(undefined), invalid: ['limit: x'] }, fleet.clock.now());
    assert.ok(!isLimited(first));
  });

  it('is known to an entry that restarts, with what is used of it', () => {
    const { fleet, first, second } = startLimited();
    fleet.send(first, limitOf(1));
    fleet.send(first, limitOf(1));
    fleet.clock.advance(100);
    const restarted = createServerRestrictions({
      entry: 'entry-1',
      clock: fleet.clock,
      logger,
      share: () => ({ fraction: 1, entries: 2 }),
      broadcast: ignore,
    });
    second.restrictions.list().forEach((update: RestrictionUpdate) => {
      restarted.receive(update);
    });
    assert.ok(restarted.availableAtMs(server) > fleet.clock.now());
  });

  it('does not apply to a later run of the server, nor does an older statement replace a newer one', () => {
    const { first, second } = startLimited();
    const restarted = { ...server, bornAtMs: 2 };
    assert.ok(!isLimited(first, restarted));
    const [older] = second.restrictions.list();
    assert.ok(older !== undefined);
    first.restrictions.stated(restarted, limitOf(5), { requestId: 'r', sentAtMs: 300 });
    first.restrictions.receive(older);
    assert.ok(isLimited(first, restarted));
  });

  it('is kept while the registration of the server lapses, and dropped long after', () => {
    const { fleet, first } = startLimited();
    first.restrictions.prune(new Set());
    assert.ok(isLimited(first));
    fleet.clock.advance(3_600_000);
    first.restrictions.prune(new Set());
    assert.ok(!isLimited(first));
  });
});
