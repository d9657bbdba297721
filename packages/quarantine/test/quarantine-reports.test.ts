/** Reports of silent servers, slow clocks, odd peers and earlier versions at the quarantine of one entry. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createManualClock, createRandom, type ManualClock } from '@toucanbend/core';
import { type Logger } from '@toucanbend/observability';
import {
  createQuarantine,
  decodeQuarantineUpdate,
  type Quarantine,
  type QuarantineUpdate,
  QuarantineUpdateKind,
  type SentAttempt,
} from '@toucanbend/quarantine';
import { CrashCauseKind } from '@toucanbend/registry';

const ignore = (): void => undefined;
const logger: Logger = { decision: ignore, info: ignore, warn: ignore, error: ignore, explain: () => [] };
const SERVICE = 'model';
const DECIDED_MS = 600;

function startEntry(clock: ManualClock, broadcast: (update: QuarantineUpdate) => void = ignore): Quarantine {
  return createQuarantine({
    clock,
    wallClock: clock.now.bind(clock),
    random: createRandom(1),
    logger,
    broadcast,
    publish: () => Promise.resolve(true),
    withdraw: ignore,
  });
}

const attemptAt = (clock: ManualClock, server: string): SentAttempt => ({
  service: SERVICE,
  server,
  request: `attempt at ${server}`,
  digest: 'one',
  parts: [],
  sentAtMs: clock.now(),
});
const isRejected = (entry: Quarantine): boolean =>
  entry.find(SERVICE, { digest: 'one', parts: [] }) !== undefined;

describe('a sound slow request of which copies run at three servers', () => {
  it('is not quarantined if all servers fall silent at once', () => {
    const clock = createManualClock(10_000);
    const entry = startEntry(clock);
    for (const server of ['i-1', 'i-2', 'i-3']) {
      entry.sent(attemptAt(clock, server));
      clock.advance(200);
    }
    // All of them lose power now; the store drops their records about three seconds later.
    clock.advance(3_000);
    for (const server of ['i-1', 'i-2', 'i-3']) {
      entry.serverEnded(server);
      clock.advance(10);
    }
    clock.advance(DECIDED_MS);
    assert.equal(isRejected(entry), false);
  });
});

describe('a sound slow request of which copies run at three servers', () => {
  it('is not quarantined if the store drops the records of living servers, which then answer', () => {
    const clock = createManualClock(10_000);
    const entry = startEntry(clock);
    const attempts = ['i-1', 'i-2', 'i-3'].map((server) => {
      const attempt = attemptAt(clock, server);
      entry.sent(attempt);
      clock.advance(1);
      return attempt;
    });
    clock.advance(1_000);
    let notices = 0;
    entry.onQuarantined(() => {
      notices += 1;
    });
    attempts.forEach(({ server }) => {
      entry.serverEnded(server);
    });
    clock.advance(DECIDED_MS);
    attempts.forEach((attempt) => {
      entry.progressed(attempt);
      entry.ended(attempt);
      entry.served(SERVICE, [{ kind: CrashCauseKind.Request, id: 'one' }]);
    });
    assert.equal(notices, 0);
  });
});

describe('a sound slow request beside a crashing one whose servers fall silent', () => {
  it('is not quarantined', () => {
    const clock = createManualClock(10_000);
    const entry = startEntry(clock);
    for (const index of [1, 2, 3]) {
      const server = `i-${String(index)}`;
      entry.sent({ ...attemptAt(clock, server), digest: 'slow' });
      clock.advance(3_000);
      entry.sent(attemptAt(clock, server));
      clock.advance(3_000);
      entry.serverEnded(server);
    }
    entry.lost(attemptAt(clock, 'i-4'));
    clock.advance(DECIDED_MS);
    assert.equal(isRejected(entry), true);
    assert.equal(entry.find(SERVICE, { digest: 'slow', parts: [] }), undefined);
  });
});

describe('a crashing request', () => {
  it('that runs for twelve seconds before its server falls silent is quarantined', () => {
    const clock = createManualClock(10_000);
    const entry = startEntry(clock);
    for (const server of ['i-1', 'i-2', 'i-3']) {
      entry.sent(attemptAt(clock, server));
      for (let second = 0; second < 15; second += 1) {
        clock.advance(1_000);
        entry.prune();
      }
      entry.serverEnded(server);
    }
    clock.advance(DECIDED_MS);
    assert.equal(isRejected(entry), true);
  });
});

describe('a crashing request', () => {
  it('is quarantined after its third crash though an entry with a slow clock reports its quarantine as past', () => {
    const clock = createManualClock(10_000);
    const entry = startEntry(clock);
    for (const server of ['i-1', 'i-2', 'i-3']) {
      entry.lost(attemptAt(clock, server));
      clock.advance(150);
    }
    const quarantined = { service: SERVICE, kind: CrashCauseKind.Request, id: 'one', untilMs: 1 };
    entry.receive({ kind: QuarantineUpdateKind.Quarantined, quarantined });
    clock.advance(DECIDED_MS);
    assert.equal(isRejected(entry), true);
  });
});

describe('an update of an odd peer', () => {
  it('quarantines a request for no longer than a decision does', () => {
    const clock = createManualClock(10_000);
    const entry = startEntry(clock);
    const quarantined = { service: SERVICE, kind: CrashCauseKind.Request, id: 'one', untilMs: 1e12 };
    entry.receive({ kind: QuarantineUpdateKind.Quarantined, quarantined });
    clock.advance(700_000);
    assert.equal(isRejected(entry), false);
  });
});

describe('an update of an entry of the version before', () => {
  it('that parts were served is understood', () => {
    const update = decodeQuarantineUpdate([QuarantineUpdateKind.Served, SERVICE, ['sound'], 5], 100);
    const causes = [{ kind: CrashCauseKind.PromptPart, id: 'sound' }];
    assert.deepEqual(update, { kind: QuarantineUpdateKind.Served, service: SERVICE, causes, atMs: 95 });
  });
});

describe('a server that resets connections and answers others', () => {
  it('causes a bounded number of messages', () => {
    const clock = createManualClock(10_000);
    const updates: QuarantineUpdate[] = [];
    const entry = startEntry(clock, (update) => updates.push(update));
    for (let index = 0; index < 500; index += 1) {
      entry.lost(attemptAt(clock, 'i-1'));
      clock.advance(1);
      entry.progressed(attemptAt(clock, 'i-1'));
    }
    assert.ok(updates.length <= 200, String(updates.length));
  });
});
