/** What a node sends another one: guards against records that are taken for complete although removals are missing among them. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  emptyRegistry,
  hasAllChanges,
  mergeRecords,
  newestPositions,
  type Registry,
  RecordKind,
  type RegistryRecord,
  ServerState,
  type StorePosition,
  transferOf,
} from '@toucanbend/registry';

const kind = RecordKind.Server;
const at = (revision: number): StorePosition => ({ era: revision === 0 ? 0 : 1, revision });
const positionsAt = (revision: number): Partial<Record<RecordKind, StorePosition>> => ({
  [kind]: at(revision),
});

function server(id: string, revision: number): RegistryRecord {
  const address = { host: '10.0.0.1', port: 80, dataCentre: 'bagmati-a' };
  const value = { id, service: 'vanes', slots: 4, state: ServerState.Ready, bornAtMs: 0, ...address };
  return { kind, id, position: at(revision), value };
}

/** Has listed one server, which was written at revision 10, at revision 30. */
const listed = mergeRecords(emptyRegistry, [server('s1', 10)], positionsAt(30), positionsAt(30));

const describeTransfer = (registry: Registry, revision: number, mayList: boolean): unknown => {
  const { records, positions, listed: kinds } = transferOf(registry, positionsAt(revision), mayList);
  return [records.map(({ id }) => id), positions[kind]?.revision, kinds];
};

describe('a transfer from a node that has listed the records', () => {
  it('makes those of a node that has read up to the listing complete', () => {
    const registry = mergeRecords(listed, [server('s2', 35)], positionsAt(40));
    assert.deepEqual(describeTransfer(registry, 30, false), [['s2'], 40, []]);
    assert.equal(hasAllChanges(listed.positions, announcedBy(registry)), true);
  });

  it('has no position for a node that has read less, which may know servers that were removed before the listing', () => {
    const registry = mergeRecords(listed, [server('s2', 35)], positionsAt(40));
    assert.deepEqual(describeTransfer(registry, 20, false), [['s2'], undefined, []]);
    const behind = mergeRecords(emptyRegistry, [], positionsAt(20));
    assert.equal(hasAllChanges(behind.positions, announcedBy(registry)), false);
  });

  it('has all records for such a node if it asks for them', () => {
    const registry = mergeRecords(listed, [server('s2', 35)], positionsAt(40));
    assert.deepEqual(describeTransfer(registry, 20, true), [['s1', 's2'], 40, [kind]]);
  });

  it('has all records for a node that has read none', () => {
    assert.deepEqual(describeTransfer(listed, 0, false), [['s1'], 30, [kind]]);
  });

  it('has the removals that followed, and not those that a node knows already', () => {
    const removals = ['s1', 's3'].map((id, index) => ({ kind, id, position: at(36 + 8 * index) }));
    const registry = mergeRecords(listed, removals, positionsAt(50));
    assert.deepEqual(describeTransfer(registry, 40, true), [['s3'], 50, []]);
    assert.deepEqual(describeTransfer(registry, 20, true), [['s1', 's3'], 50, [kind]]);
  });
});

function announcedBy(registry: Registry): Parameters<typeof hasAllChanges>[1] {
  return { positions: newestPositions(registry), removalsSince: registry.removalsSince };
}

it('a node that has dropped tombstones does not make the records of nodes that lack them complete', () => {
  const removals = Array.from({ length: 2_500 }, (_, index): RegistryRecord => ({
    kind,
    id: `s${String(index)}`,
    position: at(100 + index),
  }));
  const registry = mergeRecords(listed, removals, positionsAt(2_600));
  assert.equal(transferOf(registry, positionsAt(2_000), false).positions[kind]?.revision, 2_600);
  assert.equal(transferOf(registry, positionsAt(200), false).positions[kind], undefined);
});

it('what an earlier version announces makes no records complete', () => {
  const behind = mergeRecords(emptyRegistry, [], positionsAt(20));
  assert.equal(hasAllChanges(behind.positions, { positions: newestPositions(listed) }), true);
  const newer = mergeRecords(listed, [server('s2', 35)], positionsAt(40));
  assert.equal(hasAllChanges(behind.positions, { positions: newestPositions(newer) }), false);
});
