/** What operators see of evacuations, and how they are read from the store. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  emptyRegistry,
  mergeRecords,
  RecordKind,
  type Registry,
  type RegistryRecord,
  ServerState,
} from '@toucanbend/registry';
import { silentLogger } from '../../../fakes/silent-logger.js';
import { createEvacuationReport, describeEvacuations } from '../src/evacuation-report.js';
import { watchSettingsOf } from '../src/watch-settings.js';

const kind = RecordKind.Evacuation as const;
const at = (revision: number): { era: number; revision: number } => ({ era: 2, revision });
const begin = (dataCentre: string, revision: number): RegistryRecord => ({
  kind,
  id: dataCentre,
  position: at(revision),
  value: { dataCentre },
});
const server: RegistryRecord = {
  kind: RecordKind.Server,
  id: 's1',
  position: at(1),
  value: {
    id: 's1',
    service: 'vanes',
    host: '10.0.0.1',
    port: 80,
    dataCentre: 'bagmati-a',
    slots: 4,
    state: ServerState.Ready,
    bornAtMs: 0,
  },
};

/** Returns the lines that the report writes while records arrive one after the other, the last ones from a peer. */
function linesOf(...records: readonly RegistryRecord[]): string[] {
  const lines: string[] = [];
  const write = (message: string, fields: object = {}): void => {
    lines.push([message, ...Object.values(fields)].join(' '));
  };
  const report = createEvacuationReport({ ...silentLogger, info: write, warn: write });
  let registry: Registry = emptyRegistry;
  for (const record of records) {
    const after = mergeRecords(registry, [record], {});
    report.changed(after, registry, record.position.revision > 20 ? 'entry-2' : undefined);
    registry = after;
  }
  return lines;
}

describe('the report of evacuations', () => {
  it('has a line for the begin and the end of each, with the position and the source', () => {
    assert.deepEqual(linesOf(server, begin('bagmati-a', 12), { kind, id: 'bagmati-a', position: at(30) }), [
      'evacuation begun bagmati-a 2 12 store',
      'evacuation ended bagmati-a 2 30 entry-2',
    ]);
  });

  it('has one line for a data centre without servers and entries, once the first server is known', () => {
    const unknown = 'evacuated data centre has no server or entry bagmati-z';
    const lines = linesOf(begin('bagmati-z', 12), begin('bagmati-a', 13), server, begin('bagmati-b', 14));
    assert.deepEqual(
      lines.filter((line) => !line.startsWith('evacuation begun')),
      [unknown, unknown.replace('-z', '-b')],
    );
  });

  it('describes what is evacuated, and how many servers that concerns', () => {
    const registry = mergeRecords(
      emptyRegistry,
      [server, begin('bagmati-b', 13), begin('bagmati-a', 12)],
      {},
    );
    assert.deepEqual(describeEvacuations(registry), [
      { dataCentre: 'bagmati-a', servers: 1, position: at(12) },
      { dataCentre: 'bagmati-b', servers: 0, position: at(13) },
    ]);
  });
});

describe('the settings for reading from the store', () => {
  it('include evacuations only where the deployment bounds them, and leave half of the bound', () => {
    assert.equal(watchSettingsOf(undefined)[kind], undefined);
    assert.deepEqual(watchSettingsOf(5_000)[kind], { waitMs: 2_500, intervalMs: 500, isShared: true });
  });
});
