/** The paces of servers at several entries that tell one another, without a network. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createManualClock, type ManualClock } from '@toucanbend/core';
import { type Logger } from '@toucanbend/observability';
import {
  createServerPaces,
  decodePaceUpdate,
  encodePaceUpdate,
  MAX_PACE_MS,
  MIN_SHARE,
  PaceCause,
  type ServerPaces,
} from '@toucanbend/pace';

interface Run {
  readonly id: string;
  readonly bornAtMs: number;
}

const runOf = (index: number, bornAtMs = 1): Run => ({ id: `s${String(index)}`, bornAtMs });
const ANSWER_MS = 100;

/** Entries that hear each other's updates at once. */
class Fleet {
  readonly clock: ManualClock = createManualClock(1_000);
  readonly entries: ServerPaces[] = [];
  readonly logged: string[] = [];
  servers: Run[];
  updates = 0;

  constructor(entries: number, servers: number) {
    this.servers = Array.from({ length: servers }, (_, index) => runOf(index));
    for (let index = 0; index < entries; index += 1) {
      this.start();
    }
    this.serveFor(20_000);
  }

  start(): ServerPaces {
    const ignore = (): void => undefined;
    const logger: Logger = {
      decision: ignore,
      info: (message) => this.logged.push(message),
      warn: ignore,
      error: ignore,
      explain: () => [],
    };
    const paces: ServerPaces = createServerPaces({
      clock: this.clock,
      logger,
      equalsOf: (id) =>
        this.servers.some((server) => server.id === id)
          ? this.servers.filter((server) => server.id !== id)
          : undefined,
      broadcast: (update) => {
        this.updates += 1;
        const decoded = decodePaceUpdate(encodePaceUpdate(update, this.clock.now()), this.clock.now());
        assert.ok(decoded !== undefined);
        this.entries
          .filter((other) => other !== paces)
          .forEach((other) => {
            other.receive(decoded);
          });
      },
    });
    this.entries.push(paces);
    paces.prune(this.servers);
    return paces;
  }

  serveFor(durationMs: number): void {
    this.clock.advance(durationMs);
    this.entries.forEach((paces) => {
      paces.prune(this.servers);
    });
  }

  /** Replaces the run of a server, which every entry notices. */
  restart(index: number, cause = PaceCause.Started): Run {
    const run = { ...runOf(index), bornAtMs: this.clock.now() };
    this.servers = this.servers.map((server) => (server.id === run.id ? run : server));
    this.entries.forEach((paces) => {
      paces.begin(run, cause);
    });
    return run;
  }

  /** Lets a server answer the entries in turn. */
  answer(run: Run, count: number, factor = 1): void {
    for (let index = 0; index < count; index += 1) {
      const sentAtMs = this.clock.now();
      this.clock.advance(ANSWER_MS * factor);
      this.entries[index % this.entries.length]?.answered(run, {
        sentAtMs,
        predictedMs: ANSWER_MS,
        seenMs: ANSWER_MS * factor,
      });
    }
  }

  shares(run: Run): number[] {
    return this.entries.map((paces) => paces.shareOf(run));
  }

  get first(): ServerPaces {
    const [first] = this.entries;
    assert.ok(first !== undefined);
    return first;
  }
}

describe('the pace of a server that has started', () => {
  it('is reduced at all entries, and whole at all of them after answers as predicted to any', () => {
    const fleet = new Fleet(30, 6);
    const run = fleet.restart(0);
    assert.ok(fleet.shares(run).every((share) => share === 0.25));
    fleet.answer(run, 400);
    assert.ok(fleet.shares(run).every((share) => share === 1));
  });

  it('begins once, though each entry notices the start at another time', () => {
    const fleet = new Fleet(30, 6);
    const before = fleet.updates;
    const run = fleet.restart(0);
    assert.equal(fleet.updates - before, 1);
    fleet.answer(run, 60);
    const shares = fleet.shares(run);
    fleet.entries.forEach((paces) => {
      paces.begin(run, PaceCause.Started);
    });
    assert.deepEqual(fleet.shares(run), shares);
  });

  it('is found together: some dozens of answers to 30 entries suffice, and updates go with steps', () => {
    const fleet = new Fleet(30, 6);
    const run = fleet.restart(0);
    const before = fleet.updates;
    fleet.answer(run, 120);
    assert.ok(
      fleet.shares(run).every((share) => share >= 0.5),
      String(Math.min(...fleet.shares(run))),
    );
    assert.ok(fleet.updates - before < 120, `${String(fleet.updates - before)} updates`);
  });

  it('is whole for all if all have started together, and reduced for at most half of them in a release', () => {
    const together = new Fleet(3, 10);
    for (let index = 0; index < 10; index += 1) {
      together.restart(index);
    }
    assert.ok(together.first.pacedCount() <= 5, `${String(together.first.pacedCount())} paced`);
    const release = new Fleet(3, 10);
    for (let index = 0; index < 5; index += 1) {
      release.restart(index);
    }
    assert.equal(release.first.pacedCount(), 5);
  });

  it('is whole at the first start, when no server has served for some time', () => {
    const fleet = new Fleet(1, 4);
    const late = fleet.start();
    late.begin(runOf(0), PaceCause.Started);
    assert.equal(late.shareOf(runOf(0)), 1);
  });

  it('is known to an entry that starts in the middle, which takes no other server for started', () => {
    const fleet = new Fleet(2, 6);
    const run = fleet.restart(0);
    fleet.answer(run, 4);
    const known = fleet.first.shareOf(run);
    const late = fleet.start();
    fleet.first.list().forEach((update) => {
      late.receive(update);
    });
    assert.equal(late.shareOf(run), known);
    assert.equal(late.pacedCount(), 1);
  });

  it('ends with its age where nothing is asked of it', () => {
    const fleet = new Fleet(2, 6);
    const run = fleet.restart(0);
    fleet.serveFor(MAX_PACE_MS);
    assert.deepEqual(fleet.shares(run), [1, 1]);
    assert.equal(fleet.first.pacedCount(), 0);
  });
});

describe('the pace of a server that fails', () => {
  it('begins low, and falls no further for the failures of requests that were under way', () => {
    const fleet = new Fleet(3, 6);
    const run = runOf(0);
    const sentAtMs = fleet.clock.now();
    fleet.clock.advance(50);
    fleet.entries.forEach((paces) => {
      paces.failed(run, sentAtMs);
      paces.failed(run, sentAtMs);
    });
    assert.ok(fleet.shares(run).every((share) => share === 0.25));
  });

  it('stays low while it flaps', () => {
    const fleet = new Fleet(3, 6);
    const run = runOf(0);
    for (let round = 0; round < 20; round += 1) {
      fleet.first.failed(run, fleet.clock.now());
      assert.ok(fleet.shares(run).every((share) => share <= 0.25 + 0.125));
      fleet.answer(run, 3);
      assert.ok(fleet.shares(run).every((share) => share < 0.5));
    }
  });

  it('stays at the lowest share while it answers late, and is logged by steps only', () => {
    const fleet = new Fleet(1, 6);
    const run = fleet.restart(0);
    const lines = fleet.logged.length;
    for (let answers = 0; answers < 200; answers += 1) {
      fleet.answer(run, 1, 5);
      assert.ok(fleet.first.shareOf(run) >= MIN_SHARE);
    }
    assert.equal(fleet.first.shareOf(run), MIN_SHARE);
    assert.ok(fleet.logged.length - lines <= 2, `${String(fleet.logged.length - lines)} lines`);
  });

  it('falls at once with a refusal, but a refusal alone begins no pace', () => {
    const fleet = new Fleet(2, 6);
    fleet.first.refused(runOf(1), fleet.clock.now());
    assert.equal(fleet.first.shareOf(runOf(1)), 1);
    const run = fleet.restart(0, PaceCause.Returned);
    fleet.clock.advance(10);
    fleet.first.refused(run, fleet.clock.now());
    assert.deepEqual(fleet.shares(run), [0.25, 0.25]);
  });

  it('begins anew after it was whole, also at entries that know the earlier one', () => {
    const fleet = new Fleet(2, 6);
    const run = fleet.restart(0);
    fleet.answer(run, 100);
    assert.deepEqual(fleet.shares(run), [1, 1]);
    fleet.first.failed(run, fleet.clock.now());
    assert.deepEqual(fleet.shares(run), [0.25, 0.25]);
  });
});

describe('an update about a pace', () => {
  it('of an earlier run of a server has no effect', () => {
    const fleet = new Fleet(1, 6);
    const run = fleet.restart(0);
    const [update] = fleet.first.list();
    assert.ok(update !== undefined);
    fleet.first.receive({ ...update, bornAtMs: 1, share: MIN_SHARE, falls: 9 });
    assert.equal(fleet.first.shareOf(run), 0.25);
  });

  it('is ignored unless it is valid', () => {
    for (const value of [
      undefined,
      [30],
      [30, 's', 1, 'started', 0, 1, 0],
      [30, 's', 1, 'started', 2, 1, 0],
      [30, 's', 1, 'other', 0.5, 1, 0],
      [30, 's', -1, 'started', 0.5, 1, 0],
      [30, 'x'.repeat(300), 1, 'started', 0.5, 1, 0],
      [30, 's', 1, 'started', 0.5, 1, Number.NaN],
    ]) {
      assert.equal(decodePaceUpdate(value, 0), undefined);
    }
  });
});
