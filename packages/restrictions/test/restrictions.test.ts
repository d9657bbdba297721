/** What an entry knows of servers that leave, turn it away or have a limit. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createManualClock } from '@toucanbend/core';
import { type Logger } from '@toucanbend/observability';
import {
  createServerRestrictions,
  decodeRestrictionUpdate,
  emptyNotice,
  encodeRestrictionUpdate,
  type RestrictionUpdate,
  RestrictionUpdateKind,
  type ServerRestrictions,
} from '@toucanbend/restrictions';

const ignore = (): void => undefined;
const logger: Logger = { decision: ignore, info: ignore, warn: ignore, error: ignore, explain: () => [] };
const server = { id: 's1', bornAtMs: 1 };
const clock = createManualClock(1_000);
const source = { requestId: 'r', sentAtMs: 900 };
const leaving = { ...emptyNotice, isLeaving: true };

function createEntry(updates: RestrictionUpdate[] = []): ServerRestrictions {
  return createServerRestrictions({
    entry: 'entry-1',
    clock,
    logger,
    share: () => ({ fraction: 1, entries: 2 }),
    broadcast: (update) => updates.push(update),
  });
}

const isAccepting = (entry: ServerRestrictions, run = server): boolean =>
  entry.availableAtMs(run) <= clock.now();

describe('a server that leaves', () => {
  it('accepts nothing more, whatever later answers state, until it has restarted', () => {
    const entry = createEntry();
    entry.stated(server, leaving, source);
    entry.stated(server, emptyNotice, { ...source, sentAtMs: 2_000 });
    assert.ok(!isAccepting(entry));
    const restarted = { ...server, bornAtMs: 2 };
    assert.ok(isAccepting(entry, restarted));
    entry.stated(restarted, emptyNotice, source);
    entry.stated(server, leaving, source);
    assert.ok(isAccepting(entry, restarted));
  });

  it('is announced to the other entries once, by the entry that was answered', () => {
    const updates: RestrictionUpdate[] = [];
    const first = createEntry(updates);
    first.stated(server, leaving, source);
    first.stated(server, leaving, source);
    assert.deepEqual(updates, [{ kind: RestrictionUpdateKind.Leaving, server: 's1', bornAtMs: 1 }]);
    const repeated: RestrictionUpdate[] = [];
    const second = createEntry(repeated);
    updates.forEach((update) => {
      second.receive(update);
    });
    assert.ok(!isAccepting(second));
    assert.deepEqual(repeated, []);
  });

  it('is known to an entry that restarts', () => {
    const entry = createEntry();
    entry.stated(server, leaving, source);
    const restarted = createEntry();
    entry.list().forEach((update) => {
      const decoded = decodeRestrictionUpdate(encodeRestrictionUpdate(update, clock.now()), clock.now());
      assert.ok(decoded !== undefined);
      restarted.receive(decoded);
    });
    assert.ok(!isAccepting(restarted));
  });

  it('stays known while its registration lapses', () => {
    const entry = createEntry();
    entry.stated(server, leaving, source);
    entry.prune(new Set());
    assert.ok(!isAccepting(entry));
  });
});

describe('a server that turns an entry away for a time', () => {
  it('is left alone for the longest time that it stated, and not longer', () => {
    const entry = createEntry();
    entry.stated(server, { ...emptyNotice, backOffMs: 2_000 }, source);
    entry.stated(server, { ...emptyNotice, backOffMs: 500 }, source);
    entry.stated(server, emptyNotice, source);
    assert.equal(entry.availableAtMs(server), clock.now() + 2_000);
  });

  it('is left alone while its rate limit allows requests', () => {
    const entry = createEntry();
    entry.stated(server, { ...emptyNotice, backOffMs: 2_000, limitPerSecond: 100 }, source);
    assert.equal(entry.availableAtMs(server), clock.now() + 2_000);
  });

  it('is not announced to the other entries, which it has not turned away', () => {
    const updates: RestrictionUpdate[] = [];
    const entry = createEntry(updates);
    entry.stated(server, { ...emptyNotice, backOffMs: 2_000 }, source);
    assert.deepEqual([...updates, ...entry.list()], []);
  });
});

describe('an update about a restriction', () => {
  it('is ignored unless it is valid', () => {
    for (const value of [
      undefined,
      {},
      [20],
      [21, 's1'],
      [21, 's1', 'x'],
      [22, 's1', 1],
      [20, 's1', 1, 'x', 0, 0],
      [20, 's1', 1, -2, 0, 0],
      [20, 's1', 1, Number.NaN, 0, 0],
      [20, 'x'.repeat(300), 1, 1, 0, 0],
    ]) {
      assert.equal(decodeRestrictionUpdate(value, 0), undefined);
    }
  });
});
