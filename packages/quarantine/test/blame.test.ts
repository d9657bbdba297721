/** Which of several suspects is blamed for crashes, and which is cleared. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createCrashEvidence, type CrashEvidence, type LostAttempt } from '@toucanbend/quarantine';
import { type CrashCause, CrashCauseKind } from '@toucanbend/registry';

const SERVICE = 'model';
const INTERVAL_MS = 300;
const RUN_MS = 60;

const request = (id: string): CrashCause => ({ kind: CrashCauseKind.Request, id });

function lostAt(index: number, digest: string, runMs: number, parts: readonly string[] = []): LostAttempt {
  const atMs = index * INTERVAL_MS;
  const server = `i-${String(index)}`;
  return {
    service: SERVICE,
    server,
    request: `${digest} ${server}`,
    digest,
    parts,
    sentAtMs: atMs - runMs,
    atMs,
  };
}

const culprit = (evidence: CrashEvidence): string | undefined => evidence.findCulprit()?.cause.id;

describe('a sound request that fails over beside the cause of the crashes', () => {
  it('is not blamed in place of a crashing request that ran shorter', () => {
    const evidence = createCrashEvidence();
    for (const index of [1, 2, 3]) {
      evidence.lost(lostAt(index, 'sound', index === 1 ? 5_000 : INTERVAL_MS));
      evidence.lost(lostAt(index, 'crashing', RUN_MS));
    }
    assert.equal(culprit(evidence), 'crashing');
  });
});

describe('a sound request that fails over beside the cause of the crashes', () => {
  it('does not hide a part that is in different requests after the fourth crash', () => {
    const evidence = createCrashEvidence();
    for (const index of [1, 2, 3]) {
      evidence.lost(lostAt(index, 'sound', index === 1 ? 5_000 : INTERVAL_MS));
      evidence.lost(lostAt(index, `with the part ${String(index)}`, RUN_MS, ['poison']));
    }
    const found: string[] = [];
    const decide = (): void => {
      for (let next = evidence.findCulprit(); next !== undefined; next = evidence.findCulprit()) {
        found.push(next.cause.id);
        evidence.explain(next.service, next.cause);
      }
    };
    decide();
    evidence.lost(lostAt(20, 'with the part 20', RUN_MS, ['poison']));
    decide();
    assert.ok(found.includes('poison'), `found: ${found.join(', ')}`);
  });
});

describe('two crashing requests that are lost together three times', () => {
  it('are both identified by the fourth crash, which the second one causes alone', () => {
    const evidence = createCrashEvidence();
    for (const index of [1, 2, 3]) {
      evidence.lost(lostAt(index, 'first', RUN_MS));
      evidence.lost(lostAt(index, 'second', RUN_MS));
    }
    const first = evidence.findCulprit();
    assert.ok(first !== undefined, 'one of them is identified');
    evidence.explain(first.service, first.cause);
    const other = first.cause.id === 'first' ? 'second' : 'first';
    evidence.lost(lostAt(20, other, RUN_MS));
    assert.equal(culprit(evidence), other);
  });
});

describe('an answer', () => {
  it('also clears a loss before it that is reported after it', () => {
    const evidence = createCrashEvidence();
    evidence.served(SERVICE, request('sound'), 10_000);
    for (const index of [1, 2, 3, 4, 5]) {
      evidence.lost(lostAt(index, 'sound', 0));
    }
    assert.equal(culprit(evidence), undefined);
  });
});

describe('a request of which many copies are lost at each server', () => {
  it('is identified by the third crash', () => {
    const evidence = createCrashEvidence();
    for (const index of [1, 2, 3]) {
      for (let copy = 0; copy < 70; copy += 1) {
        evidence.lost(lostAt(index, 'crashing', RUN_MS));
      }
    }
    assert.equal(culprit(evidence), 'crashing');
  });
});

describe('an answer', () => {
  it('before the crashes that identified a cause does not make it unknown', () => {
    const evidence = createCrashEvidence();
    evidence.served(SERVICE, request('crashing'), 0);
    for (const index of [1, 2, 3, 4, 5]) {
      evidence.lost(lostAt(index, 'crashing', RUN_MS));
    }
    assert.equal(culprit(evidence), 'crashing');
    evidence.explain(SERVICE, request('crashing'));
    // Another entry reports the same answer again.
    evidence.served(SERVICE, request('crashing'), 0);
    evidence.prune(2_100_000);
    evidence.lost(lostAt(7_000, 'crashing', RUN_MS));
    assert.equal(culprit(evidence), 'crashing');
  });
});
