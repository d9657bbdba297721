/** Which runs of servers count as ended when records change. */
import assert from 'node:assert/strict';
import { it } from 'node:test';
import {
  type BackendServer,
  emptyRegistry,
  mergeRecords,
  RecordKind,
  type RegistryRecord,
  ServerState,
} from '@toucanbend/registry';
import { runsEnded } from '../src/registry-report.js';

function record(id: string, state: ServerState, bornAtMs = 1_000, revision = 1): RegistryRecord {
  const value: BackendServer = {
    id,
    service: 'model',
    host: '127.0.0.1',
    port: 1,
    dataCentre: 'a',
    slots: 1,
    state,
    bornAtMs,
  };
  return { kind: RecordKind.Server, id, position: { era: 1, revision }, value };
}

it('a server that announced that it leaves is not one that may have crashed', () => {
  const records = [record('leaving', ServerState.Leaving), record('crashed', ServerState.Ready)];
  const before = mergeRecords(emptyRegistry, records, {});
  const position = { era: 1, revision: 2 };
  const removed = ['leaving', 'crashed'].map((id): RegistryRecord => ({
    kind: RecordKind.Server,
    id,
    position,
  }));
  const after = mergeRecords(before, removed, {});
  assert.deepEqual(runsEnded(after, before), ['crashed@1000']);
});

it('a run of a server has ended if the record is that of a later run under the same id', () => {
  const records = [record('restarted', ServerState.Ready), record('same', ServerState.Ready)];
  const before = mergeRecords(emptyRegistry, records, {});
  const changed = [
    record('restarted', ServerState.Ready, 9_000, 2),
    record('same', ServerState.Leaving, 1_000, 2),
  ];
  const after = mergeRecords(before, changed, {});
  assert.deepEqual(runsEnded(after, before), ['restarted@1000']);
});
