/** Decisions on parts of prompts, replayed from the load patterns of poison parts and of ordinary crashes. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createCrashEvidence, type CrashEvidence, type LostAttempt } from '@toucanbend/quarantine';
import { type CrashCause, CrashCauseKind } from '@toucanbend/registry';

const SERVICE = 'model';
const SHARED = 'shared';
const POISON = 'poison';
const INTERVAL_MS = 300;

/** Time from the dispatch of an attempt to the crash of its server, in milliseconds. */
const RUN_MS = 60;

const part = (id: string): CrashCause => ({ kind: CrashCauseKind.PromptPart, id });
const request = (id: string): CrashCause => ({ kind: CrashCauseKind.Request, id });

/** Returns an attempt of a request that is sent once. */
function lostAttempt(fields: Pick<LostAttempt, 'server' | 'request' | 'parts' | 'atMs'>): LostAttempt {
  return {
    service: SERVICE,
    digest: `digest of ${fields.request}`,
    sentAtMs: fields.atMs - RUN_MS,
    ...fields,
  };
}

/** Records one crash: the attempts of these requests were lost, each given by its parts. */
function crash(evidence: CrashEvidence, index: number, ...prompts: readonly (readonly string[])[]): void {
  prompts.forEach((parts, prompt) => {
    evidence.lost(
      lostAttempt({
        server: `i-${String(index)}`,
        request: `r-${String(index)}-${String(prompt)}`,
        parts,
        atMs: index * INTERVAL_MS,
      }),
    );
  });
}

const culprit = (evidence: CrashEvidence): string | undefined => evidence.findCulprit()?.cause.id;

describe('a part of prompts that crashes each server that begins an answer', () => {
  it('is found by the third crash, and not the part that sound prompts share with it', () => {
    const evidence = createCrashEvidence();
    crash(evidence, 1, [SHARED, POISON], [SHARED]);
    crash(evidence, 2, [SHARED, POISON]);
    assert.equal(culprit(evidence), undefined);
    crash(evidence, 3, [SHARED], [SHARED, POISON]);
    assert.equal(culprit(evidence), POISON);
    evidence.explain(SERVICE, part(POISON));
    assert.equal(culprit(evidence), undefined);
  });

  it('is found wherever it stands in the prompt', () => {
    const evidence = createCrashEvidence();
    for (const index of [1, 2, 3]) {
      evidence.served(SERVICE, part('other'), index * INTERVAL_MS);
      crash(evidence, index, [POISON, 'other'], ['other']);
    }
    assert.equal(culprit(evidence), POISON);
  });

  it('is found beside a second one', () => {
    const evidence = createCrashEvidence();
    for (const index of [1, 3, 5]) {
      crash(evidence, index, [SHARED, POISON]);
      crash(evidence, index + 1, [SHARED, 'second'], [SHARED]);
      evidence.served(SERVICE, part(SHARED), (index + 1) * INTERVAL_MS);
    }
    const found = [POISON, 'second'].map(() => {
      const { service, cause } = evidence.findCulprit() ?? { service: '', cause: part('') };
      evidence.explain(service, cause);
      return cause.id;
    });
    assert.deepEqual(found.sort(), [POISON, 'second']);
    assert.equal(culprit(evidence), undefined);
  });

  it('is found after more crashes if it was served before', () => {
    const evidence = createCrashEvidence();
    evidence.served(SERVICE, part(POISON), 0);
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
    evidence.explain(SERVICE, part(POISON));
    const lost = lostAttempt({ server: 'c-1', request: 'r', parts: [SHARED, POISON], atMs: 0 });
    evidence.lost({ ...lost, service: 'canary' });
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
      evidence.lost(lostAttempt({ server: `i-${id}`, request: `r-${id}`, parts: [SHARED], atMs: server }));
    }
    assert.equal(culprit(evidence), undefined);
  });

  it('is not identified if it is served between crashes', () => {
    const evidence = createCrashEvidence();
    for (let index = 1; index <= 20; index += 1) {
      crash(evidence, index, [SHARED]);
      evidence.served(SERVICE, part(SHARED), index * INTERVAL_MS + 1);
    }
    assert.equal(culprit(evidence), undefined);
  });

  it('is not identified by one request that is sent again after each crash', () => {
    const evidence = createCrashEvidence();
    for (const index of [1, 2, 3, 4]) {
      const [server, id] = [`i-${String(index)}`, `r-${String(index)}`];
      const attempt = lostAttempt({ server, request: id, parts: [SHARED], atMs: index * INTERVAL_MS });
      evidence.lost({ ...attempt, digest: 'digest of r' });
    }
    assert.deepEqual(evidence.findCulprit()?.cause, request('digest of r'));
    evidence.explain(SERVICE, request('digest of r'));
    assert.equal(culprit(evidence), undefined);
  });

  it('is not identified by several lost answers of a server that lives on', () => {
    const evidence = createCrashEvidence();
    for (let index = 1; index <= 5; index += 1) {
      const [id, atMs] = [`r-${String(index)}`, index * INTERVAL_MS];
      evidence.lost(lostAttempt({ server: 'i-1', request: id, parts: [SHARED], atMs }));
    }
    assert.equal(culprit(evidence), undefined);
  });

  it('is not identified by crashes that a quarantined part explains, whatever the order of the reports', () => {
    const evidence = createCrashEvidence();
    evidence.explain(SERVICE, part(POISON));
    for (const index of [1, 2, 3, 4]) {
      crash(evidence, index, [SHARED], [SHARED, POISON], [SHARED]);
      evidence.explain(SERVICE, part(POISON));
    }
    assert.equal(culprit(evidence), undefined);
  });
});

describe('a request that crashes each server that runs it', () => {
  /** Records that one request was lost in a crash, beside other attempts at the same server. */
  function crashBy(
    evidence: CrashEvidence,
    index: number,
    digest: string,
    others: readonly LostAttempt[] = [],
    parts: readonly string[] = [],
  ): void {
    const server = `i-${String(index)}`;
    const atMs = index * INTERVAL_MS;
    evidence.lost({ ...lostAttempt({ server, request: `r-${String(index)}`, parts, atMs }), digest });
    others.forEach((other) => {
      evidence.lost({ ...other, server, atMs, sentAtMs: atMs - RUN_MS });
    });
  }
  const bystander = (id: string, parts: readonly string[] = []): LostAttempt =>
    lostAttempt({ server: '', request: id, parts, atMs: 0 });

  it('is found by the third crash, whatever the ids of its attempts', () => {
    const evidence = createCrashEvidence();
    crashBy(evidence, 1, 'crashing');
    crashBy(evidence, 2, 'crashing');
    assert.equal(culprit(evidence), undefined);
    crashBy(evidence, 3, 'crashing');
    assert.deepEqual(evidence.findCulprit(), {
      service: SERVICE,
      cause: request('crashing'),
      crashes: 3,
      requests: 1,
      wasServed: false,
      evidence: ['i-1 r-1', 'i-2 r-2', 'i-3 r-3'],
    });
  });

  it('is found if it moves from one server to the next within less than the time of one crash', () => {
    const evidence = createCrashEvidence();
    [10, 20, 30].forEach((atMs, index) => {
      const attempt = lostAttempt({ server: `i-${String(index)}`, request: 'r', parts: [], atMs });
      evidence.lost({ ...attempt, sentAtMs: atMs - 10 });
    });
    assert.equal(culprit(evidence), 'digest of r');
  });

  it('is found if its route divides it among services', () => {
    const evidence = createCrashEvidence();
    ['model', 'canary', 'model'].forEach((service, index) => {
      const attempt = lostAttempt({
        server: `i-${String(index)}`,
        request: 'r',
        parts: [],
        atMs: index * INTERVAL_MS,
      });
      evidence.lost({ ...attempt, service });
    });
    const found = [0, 1].map(() => {
      const { service, cause } = evidence.findCulprit() ?? { service: '', cause: request('') };
      evidence.explain(service, cause);
      return service;
    });
    assert.deepEqual(found.sort(), ['canary', 'model']);
    assert.equal(culprit(evidence), undefined);
  });

  it('is found beside a second one', () => {
    const evidence = createCrashEvidence();
    for (const index of [1, 3, 5]) {
      crashBy(evidence, index, 'first');
      crashBy(evidence, index + 1, 'second');
    }
    const found = [0, 1].map(() => {
      const { cause } = evidence.findCulprit() ?? { cause: request('') };
      evidence.explain(SERVICE, cause);
      return cause.id;
    });
    assert.deepEqual(found.sort(), ['first', 'second']);
  });

  it('is blamed rather than a part that it shares with sound prompts that were beside it', () => {
    const evidence = createCrashEvidence();
    for (const index of [1, 2, 3]) {
      const others = [bystander(`sound ${String(index)}`, [SHARED])];
      crashBy(evidence, index, 'crashing', others, [SHARED]);
    }
    assert.equal(culprit(evidence), 'crashing');
    evidence.explain(SERVICE, request('crashing'));
    assert.equal(culprit(evidence), undefined);
  });

  it('does not hide a part that crashes servers whichever request has it', () => {
    const evidence = createCrashEvidence();
    for (const index of [1, 2, 3]) {
      crashBy(evidence, index, 'first', [], [POISON]);
    }
    evidence.explain(SERVICE, request('first'));
    crash(evidence, 4, [POISON]);
    crash(evidence, 5, [POISON]);
    assert.deepEqual(evidence.findCulprit()?.cause, part(POISON));
  });

  it('is found after more crashes if it was served before', () => {
    const evidence = createCrashEvidence();
    evidence.served(SERVICE, request('crashing'), 0);
    for (const index of [1, 2, 3, 4]) {
      crashBy(evidence, index, 'crashing');
    }
    assert.equal(culprit(evidence), undefined);
    crashBy(evidence, 5, 'crashing');
    assert.equal(culprit(evidence), 'crashing');
  });

  it('is found by its first crash after an earlier quarantine', () => {
    const evidence = createCrashEvidence();
    evidence.explain(SERVICE, request('crashing'));
    crashBy(evidence, 1, 'crashing', [bystander('sound')]);
    assert.equal(culprit(evidence), 'crashing');
  });
});

describe('a sound request', () => {
  const lostThrice = (evidence: CrashEvidence): void => {
    [1, 2, 3].forEach((index) => {
      const attempt = { server: `i-${String(index)}`, request: 'r', parts: [], atMs: index * INTERVAL_MS };
      evidence.lost(lostAttempt(attempt));
    });
  };

  it('is not identified if it was served between crashes, also if that is reported late', () => {
    const evidence = createCrashEvidence();
    lostThrice(evidence);
    evidence.served(SERVICE, request('digest of r'), INTERVAL_MS + 1);
    assert.equal(culprit(evidence), undefined);
  });

  it('is not identified by lost connections of servers that go on answering', () => {
    const evidence = createCrashEvidence();
    lostThrice(evidence);
    assert.equal(evidence.survived('i-2', 2 * INTERVAL_MS - 1), false, 'sent before the connection was lost');
    assert.equal(culprit(evidence), 'digest of r');
    assert.equal(evidence.survived('i-2', 2 * INTERVAL_MS + 1), true);
    assert.equal(culprit(evidence), undefined);
  });

  it('is not identified by servers that fail together', () => {
    const evidence = createCrashEvidence();
    [1, 2, 3].forEach((index) => {
      evidence.lost(
        lostAttempt({ server: `i-${String(index)}`, request: 'r', parts: [], atMs: 1_000 + index }),
      );
    });
    assert.equal(culprit(evidence), undefined);
  });

  it('does not displace the evidence against others, however many are served or lost', () => {
    const evidence = createCrashEvidence();
    evidence.served(SERVICE, part(SHARED), 0);
    for (let index = 0; index < 5_000; index += 1) {
      evidence.served(SERVICE, request(String(index)), index);
    }
    assert.equal(evidence.servedAtMs(SERVICE, part(SHARED)), 0);
  });
});
