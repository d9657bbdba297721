import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createManualClock } from '@toucanbend/core';
import { createEngineSurvey, engineShareOf } from '@toucanbend/load-recovery';
import { createLogger } from '@toucanbend/observability';
import { createLoadTracker, type EngineReport, type LoadUpdate } from '@toucanbend/placement';
import { emptyRegistry, mergeRecords, RecordKind, type Registry } from '@toucanbend/registry';
import { err, ok } from 'neverthrow';
import { model, serverRecord } from '../../placement/test/support/jobs.js';

const logger = createLogger({ node: 'entry-1', level: 'error', keptDecisions: 0 });

function registryOf(engines: readonly string[], entries: readonly string[]): Registry {
  const position = { era: 1, revision: 1 };
  const catalogue = {
    version: 1,
    routes: [],
    services: [model],
    accounts: [],
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
  };
  return mergeRecords(
    emptyRegistry,
    [
      ...engines.map((id) => serverRecord(id, 'model')),
      ...entries.map((name) => ({
        kind: RecordKind.Entry as const,
        id: name,
        position,
        value: { name, address: '10.0.0.2:1', dataCentre: 'bagmati-a' },
      })),
      { kind: RecordKind.Catalogue, id: 'c', position, value: catalogue },
    ],
    entries.length === 0 ? {} : { [RecordKind.Entry]: position },
  );
}

/** Lets the promises of a round settle. */
async function settle(): Promise<void> {
  for (let turn = 0; turn < 10; turn += 1) {
    await Promise.resolve();
  }
}

function survey(registry: () => Registry, reportOf: (id: string) => EngineReport | undefined) {
  const clock = createManualClock();
  const loadTracker = createLoadTracker();
  const sent: LoadUpdate[] = [];
  const read: string[] = [];
  const created = createEngineSurvey({
    entry: 'entry-1',
    clock,
    logger,
    registry,
    loadTracker,
    broadcast: (update) => sent.push(update),
    reports: {
      read: ({ id }) => {
        read.push(id);
        const report = reportOf(id);
        return Promise.resolve(report === undefined ? err({ server: id, message: 'silent' }) : ok(report));
      },
    },
  });
  return { clock, loadTracker, sent, read, created };
}

describe('A survey', () => {
  it('reads each engine once over all entries, whatever their number', () => {
    const engines = Array.from({ length: 600 }, (_, index) => `engine-${String(index)}`);
    for (const count of [1, 9, 30, 410]) {
      const entries = Array.from({ length: count }, (_, index) => `entry-${String(index)}`);
      const read = entries.flatMap((entry) => engineShareOf(engines, entries, entry));
      assert.deepEqual([...read].sort(), [...engines].sort());
    }
  });

  it('waits for the list of entries, so that it does not read the share of others', async () => {
    const { created, read } = survey(
      () => registryOf(['a', 'b'], []),
      () => ({ requests: 0, usedTokens: 0 }),
    );
    created.begin();
    await settle();
    assert.deepEqual(read, []);
  });

  it('waits for the catalogue and the servers, and runs once', async () => {
    let registry = emptyRegistry;
    const { created, read } = survey(
      () => registry,
      () => ({ requests: 0, usedTokens: 0 }),
    );
    created.begin();
    registry = registryOf(['a', 'b'], ['entry-1']);
    created.begin();
    created.begin();
    await settle();
    assert.deepEqual(read, ['a', 'b']);
  });

  it('records requests of no entry, tells the others, and reads those engines again until they are done', async () => {
    let requests = 3;
    const registry = registryOf(['a', 'b'], ['entry-1']);
    const { created, clock, loadTracker, sent, read } = survey(
      () => registry,
      (id) => ({ requests: id === 'a' ? requests : 0, usedTokens: 0 }),
    );
    created.begin();
    await settle();
    assert.equal(loadTracker.load('a').engineState.requests.length, 3);
    assert.equal(created.unattributedCount(), 3);
    requests = 0;
    clock.advance(1_000);
    await settle();
    clock.advance(60_000);
    await settle();
    assert.deepEqual(read, ['a', 'b', 'a']);
    assert.equal(loadTracker.load('a').engineState.requests.length, 0);
    assert.equal(sent.length, 2);
  });

  it('goes on without the engines that are silent', async () => {
    const registry = registryOf(['a', 'b'], ['entry-1']);
    const { created, loadTracker } = survey(
      () => registry,
      (id) => (id === 'a' ? undefined : { requests: 1, usedTokens: 5_000 }),
    );
    created.begin();
    await settle();
    assert.equal(loadTracker.load('a').engineState.requests.length, 0);
    assert.equal(loadTracker.load('b').engineState.requests.length, 1);
  });

  it('ends although an engine never becomes idle', async () => {
    const registry = registryOf(['a'], ['entry-1']);
    const { created, clock, read } = survey(
      () => registry,
      () => ({ requests: 1, usedTokens: 0 }),
    );
    created.begin();
    for (let round = 0; round < 100; round += 1) {
      await settle();
      clock.advance(1_000);
    }
    assert.ok(read.length <= 12);
    assert.equal(created.unattributedCount(), 0);
  });
});
