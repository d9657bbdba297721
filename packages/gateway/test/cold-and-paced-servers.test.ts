/** What changes of the registry say of servers that have started or turned cold. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { PaceCause } from '@toucanbend/pace';
import {
  type BackendServer,
  type Catalogue,
  emptyRegistry,
  mergeRecords,
  RecordKind,
  type Registry,
  type RegistryRecord,
  ServerState,
} from '@toucanbend/registry';
import { coldStatements } from '../src/cold-statements.js';
import { equalsOf, paceBeginnings, PaceMode } from '../src/pace-beginnings.js';

let revision = 0;

function recordOf(id: string, change: Partial<BackendServer> = {}): RegistryRecord {
  revision += 1;
  const value: BackendServer = {
    id,
    service: 'model',
    host: '10.0.0.1',
    port: 80,
    dataCentre: 'bagmati-a',
    slots: 4,
    state: ServerState.Ready,
    bornAtMs: 1,
    ...change,
  };
  return { kind: RecordKind.Server, id, position: { era: 1, revision }, value };
}

function removalOf(id: string): RegistryRecord {
  revision += 1;
  return { kind: RecordKind.Server, id, position: { era: 1, revision } };
}

const first = mergeRecords(emptyRegistry, [recordOf('s1'), recordOf('s2')], {});
const after = (registry: Registry, ...records: RegistryRecord[]): Registry =>
  mergeRecords(registry, records, {});
const causes = (later: Registry, earlier: Registry): string[] =>
  paceBeginnings(later, earlier).map(({ server, cause }) => `${server.id} ${cause}`);

describe('the pace of a server', () => {
  it('begins when its run is new, not for the servers of the first listing', () => {
    assert.deepEqual(causes(first, emptyRegistry), []);
    assert.deepEqual(causes(after(first, recordOf('s3')), first), [`s3 ${PaceCause.Started}`]);
    assert.deepEqual(causes(after(first, recordOf('s1', { bornAtMs: 2 })), first), [
      `s1 ${PaceCause.Started}`,
    ]);
  });

  it('begins when it turns cold, not with each record of that time', () => {
    const cold = after(first, recordOf('s1', { coldMs: 3_000 }));
    assert.deepEqual(causes(cold, first), [`s1 ${PaceCause.Cold}`]);
    assert.deepEqual(causes(after(cold, recordOf('s1', { coldMs: 2_000 })), cold), []);
  });

  it('stays whole when its record is back after it had expired, and when it leaves', () => {
    const expired = after(first, removalOf('s1'));
    assert.deepEqual(causes(after(expired, recordOf('s1')), expired), []);
    assert.deepEqual(causes(after(first, recordOf('s1', { state: ServerState.Leaving })), first), []);
  });

  it('begins again when its data centre is taken back, and counts no evacuated server as an equal', () => {
    const evacuation = (isRemoved: boolean): RegistryRecord => {
      revision += 1;
      const id = 'bagmati-b';
      const value = isRemoved ? {} : { value: { dataCentre: id } };
      return { kind: RecordKind.Evacuation, id, position: { era: 1, revision }, ...value };
    };
    const remote = after(first, recordOf('s3', { dataCentre: 'bagmati-b' }));
    const evacuated = after(remote, evacuation(false));
    assert.deepEqual(causes(evacuated, remote), []);
    assert.deepEqual(causes(after(evacuated, evacuation(true)), evacuated), [`s3 ${PaceCause.Returned}`]);
    const services = [{ name: 'model', maxConnections: 1, engine: undefined, coldMs: 3_000 }];
    const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
    const value: Catalogue = { version: 1, routes: [], services, accounts: [], limits };
    const declared = after(evacuated, {
      kind: RecordKind.Catalogue,
      id: 'c',
      position: { era: 1, revision },
      value,
    });
    const equals = equalsOf(declared, 's1', PaceMode.Automatic)?.map(({ id }) => id);
    assert.deepEqual(equals, ['s2']);
  });

  it('may be reduced where the deployment says so', () => {
    const catalogue: Catalogue = {
      version: 1,
      routes: [],
      services: [
        { name: 'model', maxConnections: 10, engine: undefined, coldMs: 3_000 },
        { name: 'desk', maxConnections: 10, engine: undefined, coldMs: 0 },
      ],
      accounts: [],
      limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    };
    const position = { era: 1, revision: 1 };
    const registry = after(
      first,
      { kind: RecordKind.Catalogue, id: '', position, value: catalogue },
      recordOf('d1', { service: 'desk' }),
    );
    const equals = (id: string, mode: PaceMode): string[] | undefined =>
      equalsOf(registry, id, mode)?.map((server) => server.id);
    assert.deepEqual(equals('s1', PaceMode.Automatic), ['s2']);
    assert.equal(equals('d1', PaceMode.Automatic), undefined);
    assert.deepEqual(equals('d1', PaceMode.On), []);
    assert.equal(equals('s1', PaceMode.Off), undefined);
    assert.equal(equals('unknown', PaceMode.On), undefined);
  });
});

describe('the statements about cold servers', () => {
  it('are those of changed records, with whether the run is new', () => {
    const cold = after(
      first,
      recordOf('s1', { coldMs: 3_000 }),
      recordOf('s3', { coldMs: 2_000 }),
      removalOf('s2'),
    );
    const statements = coldStatements(cold, first).map(({ server, coldMs, isNewRun }) => [
      server.id,
      coldMs,
      isNewRun,
    ]);
    assert.deepEqual(statements, [
      ['s1', 3_000, false],
      ['s3', 2_000, true],
    ]);
    const warm = after(cold, recordOf('s1'));
    assert.deepEqual(
      coldStatements(warm, cold).map(({ coldMs }) => coldMs),
      [0],
    );
  });
});
