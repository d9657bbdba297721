/**
 * Requests with one cause that come several at a time, each at a server of its own: guards against a cause that is found late since its
 * crashes at the same time count as one, and against blame for what was merely at servers that failed together.
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createCrashEvidence, type CrashEvidence, type LostAttempt } from '@toucanbend/quarantine';
import { type CrashCause, CrashCauseKind } from '@toucanbend/registry';

const SERVICE = 'model';
const FATAL = 'fatal';
const SHARED = 'shared';
const SERVERS = 5;
/** Time from the dispatch of an attempt to the crash of its server, and between the crashes of one wave, in milliseconds. */
const RUN_MS = 50;
const SPREAD_MS = 4;
/** Time from a wave of crashes to that of the repeated requests, in milliseconds. */
const REPEAT_MS = 75;

const part = (id: string): CrashCause => ({ kind: CrashCauseKind.PromptPart, id });

type Attempt = Pick<LostAttempt, 'digest' | 'parts'>;

/** Records that servers fail together, each with one attempt. */
function failTogether(evidence: CrashEvidence, wave: number, attemptAt: (index: number) => Attempt): void {
  for (let index = 0; index < SERVERS; index += 1) {
    const atMs = wave * REPEAT_MS + index * SPREAD_MS;
    const server = `i-${String(wave)}-${String(index)}`;
    const request = `r-${String(index)}`;
    evidence.lost({ service: SERVICE, server, request, sentAtMs: atMs - RUN_MS, atMs, ...attemptAt(index) });
  }
}

const fatalAt = (index: number): Attempt => ({ digest: `question ${String(index)}`, parts: [SHARED, FATAL] });
const culprit = (evidence: CrashEvidence): string | undefined => evidence.findCulprit()?.cause.id;

describe('a part whose prompts come several at a time', () => {
  it('is found when the repeated prompts have crashed their servers too, and not before', () => {
    const evidence = createCrashEvidence();
    evidence.served(SERVICE, part(SHARED), 0);
    failTogether(evidence, 1, fatalAt);
    assert.equal(culprit(evidence), undefined);
    failTogether(evidence, 2, fatalAt);
    assert.equal(culprit(evidence), FATAL);
    assert.equal(evidence.findCulprit()?.crashes, SERVERS + 1);
  });

  it('is found by the next ones if none is repeated', () => {
    const evidence = createCrashEvidence();
    evidence.served(SERVICE, part(SHARED), 0);
    failTogether(evidence, 1, fatalAt);
    failTogether(evidence, 100, (index) => ({ ...fatalAt(index), digest: `later ${String(index)}` }));
    assert.equal(culprit(evidence), FATAL);
  });

  it('is found where sound prompts are lost beside it', () => {
    const evidence = createCrashEvidence();
    for (const wave of [1, 2]) {
      failTogether(evidence, wave, (index) => ({ digest: `sound ${String(index)}`, parts: [SHARED] }));
      failTogether(evidence, wave, fatalAt);
    }
    assert.equal(culprit(evidence), FATAL);
  });
});

it('a request whose copies come several at a time is found when copies have crashed servers twice', () => {
  const evidence = createCrashEvidence();
  const copy = (): Attempt => ({ digest: 'copy', parts: [] });
  failTogether(evidence, 1, copy);
  assert.equal(culprit(evidence), undefined);
  failTogether(evidence, 2, copy);
  assert.equal(culprit(evidence), 'copy');
});

describe('a sound part at servers that fail together, twice in a row', () => {
  const withOneOther = (index: number): Attempt =>
    index === 0 ? { digest: 'other', parts: ['other'] } : fatalAt(index);

  it('is not identified if one of the servers did not have it', () => {
    const evidence = createCrashEvidence();
    failTogether(evidence, 1, withOneOther);
    failTogether(evidence, 2, withOneOther);
    assert.equal(culprit(evidence), undefined);
  });

  it('is not identified if it was served before', () => {
    const evidence = createCrashEvidence();
    evidence.served(SERVICE, part(FATAL), 0);
    evidence.served(SERVICE, part(SHARED), 0);
    failTogether(evidence, 1, fatalAt);
    failTogether(evidence, 2, fatalAt);
    assert.equal(culprit(evidence), undefined);
  });
});
