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
} from '@toucanbend/quarantine';
import { type QuarantinedPart } from '@toucanbend/registry';

const ignore = (): void => undefined;
const logger: Logger = { decision: ignore, info: ignore, warn: ignore, error: ignore, explain: () => [] };
const SERVICE = 'model';
const POISON = 'poison';
/** Longer than the delay of a decision. */
const DECIDED_MS = 600;
const CRASH_INTERVAL_MS = 300;
const TEN_MINUTES_MS = 600_000;

interface Fixture {
  readonly quarantine: Quarantine;
  readonly published: QuarantinedPart[];
  readonly withdrawn: QuarantinedPart[];
  isStoreUp: boolean;
}

/** Starts entries that receive one another's updates at once. */
function startEntries(clock: ManualClock, count: number): Fixture[] {
  const entries: Fixture[] = [];
  for (let index = 0; index < count; index += 1) {
    const published: QuarantinedPart[] = [];
    const withdrawn: QuarantinedPart[] = [];
    const fixture: Fixture = {
      published,
      withdrawn,
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
function crashThreeServers(clock: ManualClock, entries: readonly Fixture[], part: string): void {
  for (const index of [0, 1, 2]) {
    clock.advance(CRASH_INTERVAL_MS);
    entries[index % entries.length]?.quarantine.lost({
      service: SERVICE,
      server: `i-${part}-${String(index)}`,
      request: `r-${part}-${String(index)}`,
      parts: ['shared', part],
      atMs: clock.now(),
    });
  }
}

const isQuarantined = ({ quarantine }: Fixture, part: string): boolean =>
  quarantine.find(SERVICE, [part]) !== undefined;

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
      entry.published.map(({ part }) => part),
      [POISON],
    );
  });

  it('stays quarantined after a restart that reads it from the store, until its time has passed', () => {
    const clock = createManualClock(1_000);
    const entry = startEntry(clock);
    entry.quarantine.restore({ service: SERVICE, part: POISON, untilMs: 1_000 + TEN_MINUTES_MS });
    assert.deepEqual(entry.quarantine.find(SERVICE, ['shared', POISON]), {
      part: POISON,
      leftMs: TEN_MINUTES_MS,
    });
    assert.equal(entry.quarantine.find('another', [POISON]), undefined);
    clock.advance(TEN_MINUTES_MS);
    entry.quarantine.prune();
    assert.equal(isQuarantined(entry, POISON), false);
    assert.deepEqual(
      entry.withdrawn.map(({ part }) => part),
      [POISON],
    );
  });

  it('is released when an operator removes it from the store', () => {
    const entry = startEntry(createManualClock(1_000));
    entry.quarantine.restore({ service: SERVICE, part: POISON, untilMs: TEN_MINUTES_MS });
    entry.quarantine.release({ service: SERVICE, part: POISON });
    assert.equal(isQuarantined(entry, POISON), false);
  });
});

describe('a sound part among crashes', () => {
  it('is not quarantined if another entry has served it', () => {
    const clock = createManualClock(1_000);
    const entries = startEntries(clock, 2);
    entries[1]?.quarantine.served(SERVICE, ['sound']);
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
    entries[1]?.quarantine.served(SERVICE, ['sound']);
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
    entries[2]?.quarantine.served(SERVICE, ['sound']);
    assert.equal(
      entries.some((entry) => isQuarantined(entry, 'sound')),
      false,
    );
  });
});

describe('an update about quarantined parts', () => {
  it('of an unknown form is ignored', () => {
    const invalid: unknown[] = [
      [QuarantineUpdateKind.Lost, 'model'],
      [QuarantineUpdateKind.Quarantined, 'model', 7, 1],
      [99, 'model', 'part', 1],
      'model',
    ];
    const decoded = invalid.map((value): QuarantineUpdate | undefined => decodeQuarantineUpdate(value, 0));
    assert.deepEqual(decoded, [undefined, undefined, undefined, undefined]);
  });
});
