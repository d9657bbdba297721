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
  mergeListing,
  mergeRecords,
  newestRecords,
  RecordKind,
  type RegistryRecord,
  recordsSince,
  RepeatPolicy,
  type Route,
  ServerState,
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
  return { kind: RecordKind.Server, id, revision, value };
}

const inForce = (version: number, revision: number): RegistryRecord => ({
  kind: RecordKind.Catalogue,
  id: '',
  revision,
  value: catalogue(version),
});

describe('the registry', () => {
  it('never goes back to an older catalogue', () => {
    const newer = mergeRecords(emptyRegistry, [inForce(7, 70)], {});
    assert.equal(mergeRecords(newer, [inForce(5, 50)], {}).catalogue?.version, 7);
    assert.equal(mergeRecords(newer, [inForce(5, 90)], {}).catalogue?.version, 7);
    assert.equal(mergeRecords(newer, [inForce(9, 90)], {}).catalogue?.version, 9);
  });

  it('keeps the newest word on a server, whatever comes later from a peer that is behind', () => {
    const leaving = mergeRecords(emptyRegistry, [server('s1', 20, ServerState.Leaving)], {});
    const after = mergeRecords(leaving, [server('s1', 10)], {});
    assert.deepEqual(
      listServers(after).map((known) => known.state),
      [ServerState.Leaving],
    );
    const gone = mergeRecords(after, [{ kind: RecordKind.Server, id: 's1', revision: 30 }], {});
    assert.deepEqual(listServers(mergeRecords(gone, [server('s1', 25)], {})), []);
  });

  it('drops what a listing lacks, but not what came after the listing', () => {
    const known = mergeRecords(emptyRegistry, [server('s1', 10), server('s2', 11), server('s3', 40)], {});
    const listed = mergeListing(known, RecordKind.Server, [server('s1', 10)], 30);
    assert.deepEqual(
      listServers(listed)
        .map((kept) => kept.id)
        .sort(),
      ['s1', 's3'],
    );
  });

  it('gives a peer what it lacks, removals included', () => {
    const registry = mergeRecords(
      emptyRegistry,
      [server('s1', 10), { kind: RecordKind.Server, id: 's2', revision: 20 }],
      { [RecordKind.Server]: 20 },
    );
    const known = { ...registry.revisions, [RecordKind.Server]: 15 };
    assert.deepEqual(
      recordsSince(registry, known).map((record) => record.id),
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

  it('tells a node that lacks a record from one that only looked at another moment', () => {
    const ahead = mergeRecords(emptyRegistry, [server('s1', 5)], { [RecordKind.Server]: 9 });
    const level = mergeRecords(emptyRegistry, [server('s1', 5)], { [RecordKind.Server]: 6 });
    const behind = mergeRecords(emptyRegistry, [], { [RecordKind.Server]: 4 });
    const announced = newestRecords(ahead);
    assert.equal(isBehind(level.revisions, announced), false);
    assert.equal(isBehind(behind.revisions, announced), true);
  });
});
