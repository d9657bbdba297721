/** Which servers count as ended when their records are removed. */
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
import { serversRemoved } from '../src/registry-report.js';

function record(id: string, state: ServerState): RegistryRecord {
  const value = { id, service: 'model', host: '127.0.0.1', port: 1, dataCentre: 'a', slots: 1, state };
  return {
    kind: RecordKind.Server,
    id,
    position: { era: 1, revision: 1 },
    value: value as unknown as BackendServer,
  };
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
  assert.deepEqual(serversRemoved(after, before), ['crashed']);
});
