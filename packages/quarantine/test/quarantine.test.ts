/** The quarantine of an entry among others, on a manual clock. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createManualClock, createRandom, type ManualClock } from '@toucanbend/core';
import { type Logger } from '@toucanbend/observability';
import {
  createQuarantine,
  decodeQuarantineUpdate,
  encodeQuarantineUpdate,
  type Quarantine,
  type QuarantineUpdate,
  QuarantineUpdateKind,
  type SentAttempt,
} from '@toucanbend/quarantine';
import { type CrashCause, CrashCauseKind, type QuarantinedCause } from '@toucanbend/registry';

const ignore = (): void => undefined;
const logger: Logger = { decision: ignore, info: ignore, warn: ignore, error: ignore, explain: () => [] };
const SERVICE = 'model';
const POISON = 'poison';
/** Longer than the delay of a decision. */
const DECIDED_MS = 600;
const CRASH_INTERVAL_MS = 300;
/** Time from the dispatch of an attempt to the crash of its server. */
const RUN_MS = 60;
/** Time after which the store drops the record of a server that has crashed. */
const REGISTRATION_MS = 2_000;
const TEN_MINUTES_MS = 600_000;

const part = (id: string): CrashCause => ({ kind: CrashCauseKind.PromptPart, id });

interface Fixture {
  readonly quarantine: Quarantine;
  readonly published: QuarantinedCause[];
  readonly withdrawn: QuarantinedCause[];
  /** Updates of the other entries. */
  readonly received: QuarantineUpdate[];
  isStoreUp: boolean;
}

/** Starts entries that receive one another's updates at once. */
function startEntries(clock: ManualClock, count: number): Fixture[] {
  const entries: Fixture[] = [];
  for (let index = 0; index < count; index += 1) {
    const published: QuarantinedCause[] = [];
    const withdrawn: QuarantinedCause[] = [];
    const fixture: Fixture = {
      published,
      withdrawn,
      received: [],
      isStoreUp: true,
      quarantine: createQuarantine({
        clock,
        wallClock: clock.now.bind(clock),
        random: createRandom(index + 1),
        logger,
        broadcast: (update) => {
          const sent = encodeQuarantineUpdate(update, clock.now());
          const received = decodeQuarantineUpdate(JSON.parse(JSON.stringify(sent)), clock.now());
          entries.forEach((other, position) => {
            if (position !== index && received !== undefined) {
              other.received.push(received);
              other.quarantine.receive(received);
            }
          });
        },
        publish: (quarantined) => {
          if (fixture.isStoreUp) {
            published.push(quarantined);
          }
          return Promise.resolve(fixture.isStoreUp);
        },
        withdraw: (quarantined) => withdrawn.push(quarantined),
      }),
    };
    entries.push(fixture);
  }
  return entries;
}

function startEntry(clock: ManualClock): Fixture {
  const [entry] = startEntries(clock, 1);
  assert.ok(entry !== undefined, 'one entry is started');
  return entry;
}

/** Three requests with the part crash three servers, each at another entry. */
function crashThreeServers(clock: ManualClock, entries: readonly Fixture[], id: string): void {
  for (const index of [0, 1, 2]) {
    clock.advance(CRASH_INTERVAL_MS);
    const attempt = {
      service: SERVICE,
      server: `i-${id}-${String(index)}`,
      request: `r-${id}-${String(index)}`,
      digest: `digest ${id} ${String(index)}`,
      parts: ['shared', id],
      sentAtMs: clock.now() - RUN_MS,
    };
    entries[index % entries.length]?.quarantine.lost(attempt);
  }
}

const isQuarantined = ({ quarantine }: Fixture, id: string): boolean =>
  quarantine.find(SERVICE, { digest: 'another', parts: [id] }) !== undefined;

describe('a part that crashes servers', () => {
  it('is quarantined at all entries, though no entry has seen more than one of its crashes', async () => {
    const clock = createManualClock(1_000);
    const entries = startEntries(clock, 3);
    crashThreeServers(clock, entries, POISON);
    clock.advance(DECIDED_MS);
    await Promise.resolve();
    assert.deepEqual(
      entries.map((entry) => isQuarantined(entry, POISON)),
      [true, true, true],
    );
    assert.deepEqual(
      entries.map((entry) => isQuarantined(entry, 'shared')),
      [false, false, false],
    );
    assert.equal(entries.flatMap(({ published }) => published).length, 1);
  });

  it('is written to the store once the store is reachable again', async () => {
    const clock = createManualClock(1_000);
    const entry = startEntry(clock);
    entry.isStoreUp = false;
    crashThreeServers(clock, [entry], POISON);
    clock.advance(DECIDED_MS);
    await Promise.resolve();
    entry.isStoreUp = true;
    entry.quarantine.prune();
    assert.deepEqual(
      entry.published.map(({ id }) => id),
      [POISON],
    );
  });

  it('stays quarantined after a restart that reads it from the store, until its time has passed', () => {
    const clock = createManualClock(1_000);
    const entry = startEntry(clock);
    entry.quarantine.restore({ service: SERVICE, ...part(POISON), untilMs: 1_000 + TEN_MINUTES_MS });
    assert.deepEqual(entry.quarantine.find(SERVICE, { digest: 'another', parts: ['shared', POISON] }), {
      cause: part(POISON),
      leftMs: TEN_MINUTES_MS,
    });
    assert.equal(entry.quarantine.find('another', { digest: 'another', parts: [POISON] }), undefined);
    clock.advance(TEN_MINUTES_MS);
    entry.quarantine.prune();
    assert.equal(isQuarantined(entry, POISON), false);
    assert.deepEqual(
      entry.withdrawn.map(({ id }) => id),
      [POISON],
    );
  });

  it('is released when an operator removes it from the store', () => {
    const entry = startEntry(createManualClock(1_000));
    entry.quarantine.restore({ service: SERVICE, ...part(POISON), untilMs: TEN_MINUTES_MS });
    entry.quarantine.release({ service: SERVICE, ...part(POISON) });
    assert.equal(isQuarantined(entry, POISON), false);
  });
});

describe('a sound part among crashes', () => {
  it('is not quarantined if another entry has served it', () => {
    const clock = createManualClock(1_000);
    const entries = startEntries(clock, 2);
    entries[1]?.quarantine.served(SERVICE, [part('sound')]);
    crashThreeServers(clock, entries.slice(0, 1), 'sound');
    clock.advance(DECIDED_MS);
    assert.deepEqual(
      entries.map((entry) => isQuarantined(entry, 'sound')),
      [false, false],
    );
  });

  it('is not quarantined if an entry serves it before the decision', () => {
    const clock = createManualClock(1_000);
    const entries = startEntries(clock, 2);
    crashThreeServers(clock, entries.slice(0, 1), 'sound');
    clock.advance(CRASH_INTERVAL_MS);
    entries[1]?.quarantine.served(SERVICE, [part('sound')]);
    clock.advance(DECIDED_MS);
    assert.deepEqual(
      entries.map((entry) => isQuarantined(entry, 'sound')),
      [false, false],
    );
  });

  it('is released everywhere if an answer that ran while it was quarantined is served', () => {
    const clock = createManualClock(1_000);
    const entries = startEntries(clock, 3);
    crashThreeServers(clock, entries, 'sound');
    clock.advance(DECIDED_MS);
    assert.equal(
      entries.every((entry) => isQuarantined(entry, 'sound')),
      true,
    );
    clock.advance(CRASH_INTERVAL_MS);
    entries[2]?.quarantine.served(SERVICE, [part('sound')]);
    assert.equal(
      entries.some((entry) => isQuarantined(entry, 'sound')),
      false,
    );
  });
});

describe('a request that crashes servers', () => {
  const attemptAt = (clock: ManualClock, server: string): SentAttempt => ({
    service: SERVICE,
    server,
    request: `attempt at ${server}`,
    digest: 'crashing',
    parts: [],
    sentAtMs: clock.now(),
  });
  const isRejected = ({ quarantine }: Fixture): boolean =>
    quarantine.find(SERVICE, { digest: 'crashing', parts: [] }) !== undefined;

  /** Crashes three servers, one after the other, whose connections fall silent until the store drops their records. */
  function silenceThreeServers(clock: ManualClock, entries: readonly Fixture[]): void {
    for (const index of [0, 1, 2]) {
      const attempt = attemptAt(clock, `i-${String(index)}`);
      entries[index % entries.length]?.quarantine.sent(attempt);
      clock.advance(CRASH_INTERVAL_MS);
    }
    clock.advance(REGISTRATION_MS);
    for (const index of [0, 1, 2]) {
      for (const { quarantine } of entries) {
        quarantine.serverEnded(`i-${String(index)}`);
      }
      clock.advance(CRASH_INTERVAL_MS);
    }
  }

  it('is quarantined at all entries if its servers end while their connections are silent', () => {
    const clock = createManualClock(1_000);
    const entries = startEntries(clock, 3);
    silenceThreeServers(clock, entries);
    clock.advance(DECIDED_MS);
    assert.deepEqual(entries.map(isRejected), [true, true, true]);
  });

  it('is not taken for one if its answers were complete before the servers ended', () => {
    const clock = createManualClock(1_000);
    const entry = startEntry(clock);
    const attempts = [0, 1, 2].map((index) => attemptAt(clock, `i-${String(index)}`));
    attempts.forEach((attempt) => {
      entry.quarantine.sent(attempt);
      entry.quarantine.ended(attempt);
    });
    clock.advance(REGISTRATION_MS);
    attempts.forEach(({ server }) => {
      entry.quarantine.serverEnded(server);
    });
    clock.advance(DECIDED_MS);
    assert.equal(isRejected(entry), false);
  });

  it('is not taken for one if another entry gets answers of those servers', () => {
    const clock = createManualClock(1_000);
    const entries = startEntries(clock, 2);
    for (const index of [0, 1, 2]) {
      clock.advance(CRASH_INTERVAL_MS);
      entries[0]?.quarantine.lost(attemptAt(clock, `i-${String(index)}`));
      clock.advance(1);
      entries[1]?.quarantine.progressed({ ...attemptAt(clock, `i-${String(index)}`), digest: 'other' });
    }
    clock.advance(DECIDED_MS);
    assert.deepEqual(entries.map(isRejected), [false, false]);
  });
});

describe('many different requests that are lost', () => {
  it('are reported to the other entries at a bounded rate', () => {
    const clock = createManualClock(1_000);
    const [entry, other] = startEntries(clock, 2);
    for (let index = 0; index < 1_000; index += 1) {
      const id = String(index);
      const attempt = { service: SERVICE, server: 'i-1', request: id, digest: id, parts: [] };
      entry?.quarantine.lost({ ...attempt, sentAtMs: clock.now() });
    }
    assert.equal(other?.received.length, 100);
  });

  it('leave a bounded number of quarantined requests', () => {
    const clock = createManualClock(1_000);
    const entry = startEntry(clock);
    for (let index = 0; index < 1_200; index += 1) {
      const kind = CrashCauseKind.Request;
      entry.quarantine.restore({ service: SERVICE, kind, id: String(index), untilMs: TEN_MINUTES_MS });
    }
    assert.equal(entry.quarantine.list().length, 1_000);
  });
});

describe('an update about quarantined parts', () => {
  it('of an unknown form is ignored', () => {
    const invalid: unknown[] = [
      [QuarantineUpdateKind.Lost, 'model'],
      [QuarantineUpdateKind.Quarantined, 'model', 'part', 7, 1],
      [99, 'model', 'part', 1],
      'model',
    ];
    const decoded = invalid.map((value): QuarantineUpdate | undefined => decodeQuarantineUpdate(value, 0));
    assert.deepEqual(decoded, [undefined, undefined, undefined, undefined]);
  });
});
