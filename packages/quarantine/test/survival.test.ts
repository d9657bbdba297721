/**
 * Servers that crash and start again under their ids, and servers that only reset connections. Guards against taking an
 * answer of the next run for a sign that the run before it has survived.
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createManualClock, createRandom, type ManualClock } from '@toucanbend/core';
import { type Logger } from '@toucanbend/observability';
import {
  createQuarantine,
  decodeQuarantineUpdate,
  encodeQuarantineUpdate,
  type Quarantine,
  type SentAttempt,
} from '@toucanbend/quarantine';

const ignore = (): void => undefined;
const logger: Logger = { decision: ignore, info: ignore, warn: ignore, error: ignore, explain: () => [] };
const SERVICE = 'model';
const DECIDED_MS = 600;
/** Time until the crashing request comes again, and until a server that has crashed answers again. */
const INTERVAL_MS = 4_000;
const RETURN_MS = 2_500;

/** Starts entries that receive one another's updates at once. */
function startEntries(clock: ManualClock, count: number): Quarantine[] {
  const entries: Quarantine[] = [];
  for (let index = 0; index < count; index += 1) {
    const quarantine = createQuarantine({
      clock,
      wallClock: clock.now.bind(clock),
      random: createRandom(index + 1),
      logger,
      broadcast: (update) => {
        const received = decodeQuarantineUpdate(encodeQuarantineUpdate(update, clock.now()), clock.now());
        entries.forEach((other) => {
          if (other !== quarantine && received !== undefined) {
            other.receive(received);
          }
        });
      },
      publish: () => Promise.resolve(true),
      withdraw: ignore,
    });
    entries.push(quarantine);
  }
  return entries;
}

const attemptAt = (clock: ManualClock, server: string, digest: string): SentAttempt => ({
  service: SERVICE,
  server,
  request: `${digest} at ${server}`,
  digest,
  parts: [],
  sentAtMs: clock.now(),
});

const isRejected = (entry: Quarantine): boolean =>
  entry.find(SERVICE, { digest: 'crashing', parts: [] }) !== undefined;

interface Crash {
  readonly clock: ManualClock;
  readonly entries: readonly Quarantine[];
  /** Run of the server that has crashed, and the one that follows under the same id. */
  readonly run: string;
  readonly nextRun: string;
}

/** What the entries see between a crash and the next one, from the return of the server on. */
const returns: Readonly<Record<string, (crash: Crash) => void>> = {
  'and the registry shows the next run first': ({ clock, entries: [first, second], run, nextRun }) => {
    first?.serverEnded(run);
    second?.serverEnded(run);
    const sound = attemptAt(clock, nextRun, 'sound');
    clock.advance(50);
    first?.progressed(sound);
  },
  'and the next run answers before the registry shows it': ({ clock, entries: [first, second], run }) => {
    const sound = attemptAt(clock, run, 'sound');
    clock.advance(50);
    first?.progressed(sound);
    clock.advance(700);
    first?.serverEnded(run);
    second?.serverEnded(run);
  },
};

describe('a request that crashes servers which start again under their ids', () => {
  for (const [name, comesBack] of Object.entries(returns)) {
    it(`is quarantined at all entries after the third crash, ${name}`, () => {
      const clock = createManualClock(10_000);
      const entries = startEntries(clock, 2);
      for (const index of [1, 2, 3]) {
        assert.deepEqual(entries.map(isRejected), [false, false]);
        // One server crashes each time; its runs have one id.
        const crash = { clock, entries, run: `i@${String(index)}`, nextRun: `i@${String(index + 1)}` };
        const attempt = attemptAt(clock, crash.run, 'crashing');
        clock.advance(60);
        entries[index % 2]?.lost(attempt);
        clock.advance(RETURN_MS);
        comesBack(crash);
        clock.advance(INTERVAL_MS);
      }
      assert.deepEqual(entries.map(isRejected), [true, true]);
    });
  }
});

describe('a sound request that is lost by resets of three servers', () => {
  const signs: Readonly<Record<string, (clock: ManualClock, entry: Quarantine, server: string) => void>> = {
    'answer other attempts at once': (clock, entry, server) => {
      clock.advance(10);
      const sound = attemptAt(clock, server, 'sound');
      clock.advance(50);
      entry.progressed(sound);
    },
    'go on with answers that were under way': (clock, entry, server) => {
      const earlier = { ...attemptAt(clock, server, 'sound'), sentAtMs: clock.now() - 500 };
      clock.advance(350);
      entry.progressed(earlier);
    },
    'answer other attempts later, while the registry shows no other run': (clock, entry, server) => {
      clock.advance(1_500);
      const sound = attemptAt(clock, server, 'sound');
      clock.advance(50);
      entry.progressed(sound);
      clock.advance(2_500);
    },
  };
  for (const [name, shows] of Object.entries(signs)) {
    it(`is not quarantined if they ${name}`, () => {
      const clock = createManualClock(10_000);
      const entries = startEntries(clock, 2);
      const [first, second] = entries;
      assert.ok(first !== undefined && second !== undefined, 'two entries are started');
      for (const server of ['i-1@1', 'i-2@1', 'i-3@1']) {
        const attempt = attemptAt(clock, server, 'crashing');
        clock.advance(60);
        first.lost(attempt);
        shows(clock, second, server);
        clock.advance(100);
      }
      clock.advance(DECIDED_MS);
      assert.deepEqual(entries.map(isRejected), [false, false]);
    });
  }

  it('is quarantined if all that arrives of them was sent before the resets', () => {
    const clock = createManualClock(10_000);
    const [entry] = startEntries(clock, 1);
    assert.ok(entry !== undefined, 'an entry is started');
    for (const server of ['i-1@1', 'i-2@1', 'i-3@1']) {
      const attempt = attemptAt(clock, server, 'crashing');
      const earlier = attemptAt(clock, server, 'sound');
      clock.advance(60);
      entry.lost(attempt);
      clock.advance(100);
      entry.progressed(earlier);
      clock.advance(200);
    }
    clock.advance(DECIDED_MS);
    assert.equal(isRejected(entry), true);
  });
});
