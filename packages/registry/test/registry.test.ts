import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  AnswerForm,
  type BackendServer,
  type Catalogue,
  emptyRegistry,
  findRoute,
  isBehind,
  listServers,
  mergeRecords,
  newestPositions,
  RecordKind,
  type RegistryRecord,
  RepeatPolicy,
  type Route,
  ServerState,
  type StorePosition,
  withTombstones,
  transferOf,
} from '@toucanbend/registry';

function route(pathPrefix: string): Route {
  return {
    name: pathPrefix,
    host: 'vanes.example',
    pathPrefix,
    targets: [],
    repeat: RepeatPolicy.Once,
    form: AnswerForm.Whole,
    timeoutMs: 1_000,
    targetMs: 100,
    targetPauseMs: 100,
    rank: 0,
    attempts: 1,
    isPublic: false,
  };
}

function catalogue(version: number): Catalogue {
  return {
    version,
    routes: [route('/drafts/'), route('/drafts/long/')],
    services: [],
    accounts: [],
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
  };
}

const at = (revision: number, era = 1): StorePosition => ({ era, revision });

function server(id: string, revision: number, state = ServerState.Ready): RegistryRecord {
  const value: BackendServer = {
    id,
    service: 'vanes',
    host: '10.0.0.1',
    port: 80,
    dataCentre: 'bagmati-a',
    slots: 4,
    state,
    bornAtMs: 0,
  };
  return { kind: RecordKind.Server, id, position: at(revision), value };
}

const catalogueRecord = (version: number, revision: number): RegistryRecord => ({
  kind: RecordKind.Catalogue,
  id: '',
  position: at(revision),
  value: catalogue(version),
});

describe('the registry', () => {
  it('never reverts to an older catalogue', () => {
    const newer = mergeRecords(emptyRegistry, [catalogueRecord(7, 70)], {});
    assert.equal(mergeRecords(newer, [catalogueRecord(5, 50)], {}).catalogue?.version, 7);
    assert.equal(mergeRecords(newer, [catalogueRecord(5, 90)], {}).catalogue?.version, 7);
    assert.equal(mergeRecords(newer, [catalogueRecord(9, 90)], {}).catalogue?.version, 9);
  });

  it('keeps the newest record of a server when a peer sends an older one', () => {
    const leaving = mergeRecords(emptyRegistry, [server('s1', 20, ServerState.Leaving)], {});
    const after = mergeRecords(leaving, [server('s1', 10)], {});
    assert.deepEqual(
      listServers(after).map((registered) => registered.state),
      [ServerState.Leaving],
    );
    const removed = mergeRecords(after, [{ kind: RecordKind.Server, id: 's1', position: at(30) }], {});
    assert.deepEqual(listServers(mergeRecords(removed, [server('s1', 25)], {})), []);
  });

  it('drops servers that a listing lacks, but not servers newer than the listing', () => {
    const before = mergeRecords(emptyRegistry, [server('s1', 10), server('s2', 11), server('s3', 40)], {});
    const complete = withTombstones(before, RecordKind.Server, [server('s1', 10)], at(30));
    const listed = mergeRecords(before, complete, {});
    assert.deepEqual(
      listServers(listed)
        .map((remaining) => remaining.id)
        .sort(),
      ['s1', 's3'],
    );
  });

  it('returns the records that a peer lacks, tombstones included', () => {
    const registry = mergeRecords(
      emptyRegistry,
      [server('s1', 10), { kind: RecordKind.Server, id: 's2', position: at(20) }],
      { [RecordKind.Server]: at(20) },
    );
    const peerPositions = { ...registry.positions, [RecordKind.Server]: at(15) };
    assert.deepEqual(
      transferOf(registry, peerPositions, false).records.map((record) => record.id),
      ['s2'],
    );
  });

  it('picks the longest prefix among the routes of a host', () => {
    const routes = catalogue(1);
    assert.equal(findRoute(routes, 'vanes.example', '/drafts/long/7')?.name, '/drafts/long/');
    assert.equal(findRoute(routes, 'vanes.example', '/drafts/7')?.name, '/drafts/');
    assert.equal(findRoute(routes, 'vanes.example', '/draft')?.name, undefined);
    assert.equal(findRoute(routes, 'other.example', '/drafts/7')?.name, undefined);
  });

  it('distinguishes a node that lacks a record from one that only read the store at another revision', () => {
    const ahead = mergeRecords(emptyRegistry, [server('s1', 5)], { [RecordKind.Server]: at(9) });
    const upToDate = mergeRecords(emptyRegistry, [server('s1', 5)], { [RecordKind.Server]: at(6) });
    const behind = mergeRecords(emptyRegistry, [], { [RecordKind.Server]: at(4) });
    const announced = newestPositions(ahead);
    assert.equal(isBehind(upToDate.positions, announced), false);
    assert.equal(isBehind(behind.positions, announced), true);
  });
});
