/** Evacuations in the registry: merging, positions, and what entries send one another. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  decodeRecords,
  emptyRegistry,
  evacuatedDataCentres,
  evacuationsChanged,
  initialPosition,
  isBehind,
  mergeRecords,
  newestPositions,
  RecordKind,
  type Registry,
  type RegistryRecord,
  type StorePosition,
  transferOf,
} from '@toucanbend/registry';

const at = (revision: number, era = 1): StorePosition => ({ era, revision });
const kind = RecordKind.Evacuation as const;
const begin = (dataCentre: string, position: StorePosition): RegistryRecord => ({
  kind,
  id: dataCentre,
  position,
  value: { dataCentre },
});
const end = (id: string, position: StorePosition): RegistryRecord => ({ kind, id, position });
const registryOf = (...records: readonly RegistryRecord[]): Registry =>
  mergeRecords(emptyRegistry, records, {});
const evacuatedIn = (registry: Registry): string[] => [...evacuatedDataCentres(registry)].sort();

describe('evacuations in the registry', () => {
  it('are in force until a later record removes them, whatever the order of arrival', () => {
    const begun = registryOf(begin('a', at(10)), begin('b', at(11)));
    assert.deepEqual(evacuatedIn(begun), ['a', 'b']);
    const ended = mergeRecords(begun, [end('a', at(12))], {});
    assert.deepEqual(evacuatedIn(ended), ['b']);
    assert.deepEqual(evacuatedIn(mergeRecords(ended, [begin('a', at(10))], {})), ['b']);
    assert.deepEqual(evacuatedIn(mergeRecords(ended, [begin('a', at(13))], {})), ['a', 'b']);
  });

  it('are compared before and after a change', () => {
    const before = registryOf(begin('a', at(10)), begin('b', at(11)));
    const after = mergeRecords(before, [end('a', at(12)), begin('c', at(13))], {});
    assert.deepEqual(evacuationsChanged(after, before), { begun: ['c'], ended: ['a'] });
    assert.deepEqual(evacuationsChanged(after, after), { begun: [], ended: [] });
  });

  it('are announced, pulled and decoded by a peer that lacks them, and so is their end', () => {
    const ended = registryOf(begin('a', at(10)), end('b', at(12)));
    const lacking = mergeRecords(emptyRegistry, [begin('b', at(5))], { [kind]: at(6) });
    assert.equal(isBehind(lacking.positions, newestPositions(ended)), true);
    const sent = JSON.parse(JSON.stringify(transferOf(ended, lacking.positions, false).records)) as unknown[];
    const { records, unreadable } = decodeRecords(sent);
    assert.equal(unreadable, 0);
    const merged = mergeRecords(lacking, records, { [kind]: at(12) });
    assert.deepEqual(evacuatedIn(merged), ['a']);
    assert.equal(isBehind(merged.positions, newestPositions(ended)), false);
  });

  it('are not sent to a peer of a version without them, which would drop the other positions', () => {
    const registry = registryOf(begin('a', at(10)), end('s1', at(10)));
    const { [kind]: own, ...earlier } = registry.positions;
    assert.deepEqual(own, initialPosition);
    assert.deepEqual(transferOf(registry, earlier, false).records, []);
    const merged = mergeRecords(emptyRegistry, [], earlier);
    assert.deepEqual(merged.positions[kind], initialPosition);
  });

  it('end for every peer, however many other objects were removed since', () => {
    const removals = Array.from({ length: 3_000 }, (_, index): RegistryRecord => ({
      kind: RecordKind.Quarantine,
      id: String(index),
      position: at(100 + index),
    }));
    const registry = mergeRecords(registryOf(begin('a', at(10))), [end('a', at(20)), ...removals], {});
    const lacking = registryOf(begin('a', at(10)));
    const pulled = mergeRecords(lacking, transferOf(registry, lacking.positions, false).records, {});
    assert.deepEqual(evacuatedIn(pulled), []);
  });
});
