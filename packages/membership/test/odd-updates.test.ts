/** Updates of a peer with odd values: each is ignored, or leaves a state from which the process recovers by itself. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createManualClock, createRandom } from '@toucanbend/core';
import { type Logger } from '@toucanbend/observability';
import {
  applyLoadUpdate,
  createLoadTracker,
  decodeLoadUpdate,
  encodeLoadUpdate,
  LoadUpdateKind,
} from '@toucanbend/placement';
import {
  createQuarantine,
  decodeQuarantineUpdate,
  encodeQuarantineUpdate,
  QuarantineUpdateKind,
} from '@toucanbend/quarantine';
import {
  createServerRestrictions,
  decodeRestrictionUpdate,
  encodeRestrictionUpdate,
  RestrictionUpdateKind,
} from '@toucanbend/restrictions';
import { CrashCauseKind } from '@toucanbend/registry';
import fc from 'fast-check';
import { smallEngine as engine } from '../../../fakes/engine-parameters.js';

const ignore = (): void => undefined;
const logger: Logger = { decision: ignore, info: ignore, warn: ignore, error: ignore, explain: () => [] };
const NOW_MS = 5_000_000;
/** Longest time for which one update may keep an engine or a server from use, in milliseconds. */
const MAX_EFFECT_MS = 600_000;

const oddNumbers = [
  1e308,
  -1e308,
  1e22,
  -1e22,
  2 ** 53,
  -(2 ** 53),
  -1,
  0.5,
  Number.NaN,
  Infinity,
  -Infinity,
];
const oddValue = fc.oneof(
  fc.constantFrom<unknown>(...oddNumbers, null, undefined, '__proto__'),
  fc.anything(),
);

const job = {
  id: 'j1',
  service: 'model',
  generation: {
    promptTokens: 5_000,
    answerTokens: 100,
    part: { role: 0, wholeTokens: 10_000, readyAtMs: NOW_MS + 100 },
  },
  rank: 0,
  arrivedAtMs: NOW_MS,
  targetMs: 300,
  targetPauseMs: 250,
  deadlineAtMs: NOW_MS + 10_000,
};

/** Creates arrays that differ from one of some valid updates in one element. */
function oddUpdates(...valid: readonly unknown[][]): fc.Arbitrary<unknown[]> {
  return fc.tuple(fc.constantFrom(...valid), fc.nat({ max: 16 }), oddValue).map(([update, index, odd]) => {
    const changed = [...update];
    changed[index % changed.length] = odd;
    return changed;
  });
}

describe('odd updates of a peer', () => {
  it('keep no engine busy without end', () => {
    const placed = encodeLoadUpdate({ kind: LoadUpdateKind.Placed, server: 's1', job, atMs: NOW_MS }, NOW_MS);
    fc.assert(
      fc.property(oddUpdates(placed), (change) => {
        const update = decodeLoadUpdate(change, NOW_MS);
        if (update === undefined) {
          return;
        }
        const tracker = createLoadTracker();
        const restrictions = { countRequest: ignore };
        applyLoadUpdate(tracker, restrictions, 'peer', update, () => engine, NOW_MS);
        const { passStartsAtMs } = tracker.loadAt('s1', engine, NOW_MS).engineState;
        assert.ok(passStartsAtMs < NOW_MS + MAX_EFFECT_MS, `next pass at ${String(passStartsAtMs)} ms`);
      }),
      { numRuns: 3_000, seed: 33 },
    );
  });

  it('keep no server from use without end', () => {
    const limit = encodeRestrictionUpdate(
      {
        kind: RestrictionUpdateKind.Limit,
        server: 's1',
        bornAtMs: 0,
        perSecond: 5,
        statedAtMs: NOW_MS,
        usedUntilMs: NOW_MS,
      },
      NOW_MS,
    );
    fc.assert(
      fc.property(oddUpdates(limit), (change) => {
        const update = decodeRestrictionUpdate(change, NOW_MS);
        if (update?.kind !== RestrictionUpdateKind.Limit) {
          return;
        }
        const restrictions = createServerRestrictions({
          entry: 'e1',
          clock: createManualClock(NOW_MS),
          logger,
          share: () => ({ fraction: 1, entries: 2 }),
          broadcast: ignore,
        });
        const server = { id: update.server, bornAtMs: update.bornAtMs };
        restrictions.receive(update);
        restrictions.countRequest(server.id, NOW_MS);
        const stated = { limitPerSecond: 5, isLeaving: false, backOffMs: undefined, invalid: [] };
        restrictions.stated(server, stated, { requestId: 'r', sentAtMs: NOW_MS });
        const availableAtMs = restrictions.availableAtMs(server);
        assert.ok(availableAtMs < NOW_MS + MAX_EFFECT_MS, `available at ${String(availableAtMs)} ms`);
      }),
      { numRuns: 3_000, seed: 33 },
    );
  });

  it('neither end nor outlast the evidence of crashes', () => {
    const suspects = { digest: 'd1', parts: ['p1'] };
    const lost = {
      service: 'model',
      server: 's1',
      request: 'r1',
      ...suspects,
      sentAtMs: NOW_MS,
      atMs: NOW_MS,
    };
    const cause = { kind: CrashCauseKind.PromptPart, id: 'p1' };
    const served = {
      kind: QuarantineUpdateKind.Served as const,
      service: 'model',
      causes: [cause],
      atMs: NOW_MS,
    };
    const survived = { kind: QuarantineUpdateKind.Survived as const, server: 's1', aliveAtMs: NOW_MS };
    const quarantined = { service: 'model', ...cause, untilMs: NOW_MS + 600_000 };
    const updates = [
      encodeQuarantineUpdate({ kind: QuarantineUpdateKind.Lost, attempt: lost }, NOW_MS),
      encodeQuarantineUpdate(served, NOW_MS),
      encodeQuarantineUpdate({ kind: QuarantineUpdateKind.Quarantined, quarantined }, NOW_MS),
      encodeQuarantineUpdate(survived, NOW_MS),
    ];
    fc.assert(
      fc.property(oddUpdates(...updates), (change) => {
        const update = decodeQuarantineUpdate(change, NOW_MS);
        if (update === undefined) {
          return;
        }
        if (update.kind === QuarantineUpdateKind.Quarantined) {
          assert.ok(Math.abs(update.quarantined.untilMs) <= Number.MAX_SAFE_INTEGER);
        } else {
          const event = update.kind === QuarantineUpdateKind.Lost ? update.attempt : update;
          const times = [event].flatMap(
            ({ atMs, sentAtMs, aliveAtMs }: { atMs?: number; sentAtMs?: number; aliveAtMs?: number }) =>
              [atMs, sentAtMs, aliveAtMs].filter((time) => time !== undefined),
          );
          assert.ok(times.length > 0 && Math.max(...times) <= NOW_MS, `events at ${times.join(', ')} ms`);
        }
        const quarantine = createQuarantine({
          clock: createManualClock(NOW_MS),
          wallClock: () => NOW_MS,
          random: createRandom(1),
          logger,
          broadcast: ignore,
          publish: () => Promise.resolve(true),
          withdraw: ignore,
        });
        quarantine.receive(update);
        quarantine.prune();
      }),
      { numRuns: 3_000, seed: 33 },
    );
  });
});
