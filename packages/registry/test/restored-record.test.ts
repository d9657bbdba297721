/** Records of an older copy of the store, compared with what was known before the store returned with it. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  type BackendServer,
  isAfter,
  isDoubtful,
  RecordKind,
  type RegistryRecord,
  ServerState,
} from '@toucanbend/registry';

const ready: BackendServer = {
  id: 's1',
  service: 'vanes',
  host: '10.0.0.1',
  port: 80,
  dataCentre: 'bagmati-a',
  slots: 4,
  state: ServerState.Ready,
  bornAtMs: 500,
};
const leaving = { ...ready, state: ServerState.Leaving };
const restarted = { ...ready, bornAtMs: 900 };

function record(era: number, revision: number, value?: BackendServer): RegistryRecord {
  const described = { kind: RecordKind.Server, id: 's1', position: { era, revision } } as const;
  return value === undefined ? described : { ...described, value };
}

describe('a position of a later era', () => {
  it('is after every position of an earlier era, whatever the revisions', () => {
    assert.equal(isAfter({ era: 2, revision: 5 }, { era: 1, revision: 900 }), true);
    assert.equal(isAfter({ era: 1, revision: 900 }, { era: 2, revision: 5 }), false);
    assert.equal(isAfter({ era: 2, revision: 6 }, { era: 2, revision: 5 }), true);
  });
});

describe('a record of a later era', () => {
  const cases: readonly (readonly [string, RegistryRecord, RegistryRecord, boolean])[] = [
    ['puts a removed server back', record(1, 90), record(2, 80, ready), true],
    ['makes a leaving server ready', record(1, 90, leaving), record(2, 80, ready), true],
    ['is of an earlier run', record(1, 90, restarted), record(2, 80, ready), true],
    ['was certainly written later', record(1, 90), record(2, 91, ready), false],
    ['is of a later run', record(1, 90, leaving), record(2, 80, restarted), false],
    ['says that the server leaves', record(1, 90, ready), record(2, 80, leaving), false],
    ['removes the server', record(1, 90, ready), record(2, 80), false],
    ['says the same', record(1, 90, ready), record(2, 80, ready), false],
    ['is the first one', record(2, 90), record(2, 95, ready), false],
  ];
  for (const [name, known, later, expected] of cases) {
    it(`is ${expected ? '' : 'not '}doubtful if it ${name}`, () => {
      assert.equal(isDoubtful(known, later), expected);
    });
  }

  it('is not doubtful if nothing is known', () => {
    assert.equal(isDoubtful(undefined, record(2, 80, ready)), false);
  });
});
