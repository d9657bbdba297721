/** Decisions on parts of prompts, replayed from the load patterns of poison parts and of ordinary crashes. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createCrashEvidence, type CrashEvidence } from '@toucanbend/quarantine';

const SERVICE = 'model';
const SHARED = 'shared';
const POISON = 'poison';
const INTERVAL_MS = 300;

/** Records one crash: the attempts of these requests were lost, each given by its parts. */
function crash(evidence: CrashEvidence, index: number, ...prompts: readonly (readonly string[])[]): void {
  prompts.forEach((parts, prompt) => {
    evidence.lost({
      service: SERVICE,
      server: `i-${String(index)}`,
      request: `r-${String(index)}-${String(prompt)}`,
      parts,
      atMs: index * INTERVAL_MS,
    });
  });
}

const culprit = (evidence: CrashEvidence): string | undefined => evidence.findCulprit()?.part;

describe('a part of prompts that crashes each server that begins an answer', () => {
  it('is found by the third crash, and not the part that sound prompts share with it', () => {
    const evidence = createCrashEvidence();
    crash(evidence, 1, [SHARED, POISON], [SHARED]);
    crash(evidence, 2, [SHARED, POISON]);
    assert.equal(culprit(evidence), undefined);
    crash(evidence, 3, [SHARED], [SHARED, POISON]);
    assert.equal(culprit(evidence), POISON);
    evidence.explain(SERVICE, POISON);
    assert.equal(culprit(evidence), undefined);
  });

  it('is found wherever it stands in the prompt', () => {
    const evidence = createCrashEvidence();
    for (const index of [1, 2, 3]) {
      evidence.served(SERVICE, ['other'], index * INTERVAL_MS);
      crash(evidence, index, [POISON, 'other'], ['other']);
    }
    assert.equal(culprit(evidence), POISON);
  });

  it('is found beside a second one', () => {
    const evidence = createCrashEvidence();
    for (const index of [1, 3, 5]) {
      crash(evidence, index, [SHARED, POISON]);
      crash(evidence, index + 1, [SHARED, 'second'], [SHARED]);
      evidence.served(SERVICE, [SHARED], (index + 1) * INTERVAL_MS);
    }
    const found = [POISON, 'second'].map(() => {
      const { service, part } = evidence.findCulprit() ?? { service: '', part: '' };
      evidence.explain(service, part);
      return part;
    });
    assert.deepEqual(found.sort(), [POISON, 'second']);
    assert.equal(culprit(evidence), undefined);
  });

  it('is found after more crashes if it was served before', () => {
    const evidence = createCrashEvidence();
    evidence.served(SERVICE, [POISON], 0);
    const indices = Array.from({ length: 8 }, (_, index) => index + 1);
    indices.slice(0, 7).forEach((index) => {
      crash(evidence, index, [POISON]);
    });
    assert.equal(culprit(evidence), undefined);
    crash(evidence, 8, [POISON]);
    assert.equal(culprit(evidence), POISON);
  });

  it('is found by its first crash after an earlier quarantine, also at another service', () => {
    const evidence = createCrashEvidence();
    evidence.explain(SERVICE, POISON);
    evidence.lost({ service: 'canary', server: 'c-1', request: 'r', parts: [SHARED, POISON], atMs: 0 });
    assert.deepEqual(
      { service: evidence.findCulprit()?.service, part: culprit(evidence) },
      { service: 'canary', part: POISON },
    );
  });
});

describe('a sound part of prompts', () => {
  it('is not identified by a crash of many servers at once', () => {
    const evidence = createCrashEvidence();
    for (let server = 0; server < 8; server += 1) {
      const id = String(server);
      evidence.lost({
        service: SERVICE,
        server: `i-${id}`,
        request: `r-${id}`,
        parts: [SHARED],
        atMs: server,
      });
    }
    assert.equal(culprit(evidence), undefined);
  });

  it('is not identified if it is served between crashes', () => {
    const evidence = createCrashEvidence();
    for (let index = 1; index <= 20; index += 1) {
      crash(evidence, index, [SHARED]);
      evidence.served(SERVICE, [SHARED], index * INTERVAL_MS + 1);
    }
    assert.equal(culprit(evidence), undefined);
  });

  it('is not identified by one request that is sent again after each crash', () => {
    const evidence = createCrashEvidence();
    for (const index of [1, 2, 3, 4]) {
      const atMs = index * INTERVAL_MS;
      evidence.lost({ service: SERVICE, server: `i-${String(index)}`, request: 'r', parts: [SHARED], atMs });
    }
    assert.equal(culprit(evidence), undefined);
  });

  it('is not identified by several lost answers of a server that lives on', () => {
    const evidence = createCrashEvidence();
    for (let index = 1; index <= 5; index += 1) {
      evidence.lost({
        service: SERVICE,
        server: 'i-1',
        request: `r-${String(index)}`,
        parts: [SHARED],
        atMs: index * INTERVAL_MS,
      });
    }
    assert.equal(culprit(evidence), undefined);
  });

  it('is not identified by crashes that a quarantined part explains, whatever the order of the reports', () => {
    const evidence = createCrashEvidence();
    evidence.explain(SERVICE, POISON);
    for (const index of [1, 2, 3, 4]) {
      crash(evidence, index, [SHARED], [SHARED, POISON], [SHARED]);
      evidence.explain(SERVICE, POISON);
    }
    assert.equal(culprit(evidence), undefined);
  });
});
