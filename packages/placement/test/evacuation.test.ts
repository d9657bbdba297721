/** Decisions while a data centre is evacuated: nothing more is sent to its servers. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  createLoadTracker,
  DecisionKind,
  type Job,
  type PlacementDecision,
  RejectionReason,
} from '@toucanbend/placement';
import { emptyRegistry, mergeRecords, RecordKind, type Registry, ServerState } from '@toucanbend/registry';
import { call, desk, longJob, model, plan, recordJob, serverRecord, shortJob } from './support/jobs.js';

const EVACUATED = 'bagmati-a';
const OTHER = 'bagmati-b';
const { Ready } = ServerState;

const servers: Registry = mergeRecords(
  emptyRegistry,
  [
    ...['a1', 'a2', 'a3', 'a4'].map((id) => serverRecord(id, 'model', Ready, EVACUATED)),
    ...['b1', 'b2', 'b3', 'b4'].map((id) => serverRecord(id, 'model', Ready, OTHER)),
    serverRecord('ad', 'desk', Ready, EVACUATED),
    serverRecord('bd', 'desk', Ready, OTHER),
  ],
  {},
);

/** Returns the registry after a data centre was evacuated, or taken back. */
function change(registry: Registry, dataCentre: string, revision: number, isEvacuated = true): Registry {
  const identity = { kind: RecordKind.Evacuation as const, id: dataCentre, position: { era: 1, revision } };
  return mergeRecords(registry, [isEvacuated ? { ...identity, value: { dataCentre } } : identity], {});
}

const evacuated = change(servers, EVACUATED, 2);
const allEvacuated = change(evacuated, OTHER, 3);

/** Returns the ids of all servers that a decision names. */
function membersOf(decision: PlacementDecision): string[] {
  return decision.kind === DecisionKind.Send
    ? [decision.server, ...decision.helpers.map(({ server }) => server)].map(({ id }) => id)
    : [];
}

const planOn = (registry: Registry, job: Job, excluded: readonly string[] = []): PlacementDecision =>
  plan(createLoadTracker(), registry, job, 0, job.generation === undefined ? desk : model, excluded);
const noServer: PlacementDecision = {
  kind: DecisionKind.Reject,
  reason: RejectionReason.NoServer,
  retryAfterMs: 1_000,
};

describe('the servers of an evacuated data centre', () => {
  it('get no prompt, no call and no further attempt, also where the others are busier', () => {
    const tracker = createLoadTracker();
    for (const id of ['b1', 'b2', 'b3', 'b4']) {
      recordJob(tracker, id, shortJob(`running at ${id}`));
    }
    for (let index = 0; index < 50; index += 1) {
      const [member = ''] = membersOf(plan(tracker, evacuated, shortJob(`j${String(index)}`)));
      assert.match(member, /^b/);
    }
    assert.deepEqual(membersOf(planOn(evacuated, call)), ['bd']);
    assert.match(membersOf(planOn(evacuated, shortJob('repeated'), ['b1', 'b2', 'b3']))[0] ?? '', /^b4$/);
    assert.deepEqual(planOn(evacuated, call, ['bd']), noServer);
  });

  it('prefill no part of a long prompt', () => {
    const job = { ...longJob('long'), targetMs: 500 };
    const before = membersOf(planOn(servers, job));
    const during = membersOf(planOn(evacuated, job));
    assert.ok(
      before.some((id) => id.startsWith('a')),
      before.join(),
    );
    assert.ok(during.length > 1 && during.every((id) => id.startsWith('b')), during.join());
  });

  it('get no job that has waited since before the evacuation, and get jobs again once it is taken back', () => {
    const planAt = (registry: Registry, nowMs: number, accepting: string): PlacementDecision => {
      const availableAtMs = ({ id }: { id: string }): number => (id.startsWith(accepting) ? 20 : 4_000);
      const options = { restrictions: { availableAtMs } };
      return plan(createLoadTracker(), registry, shortJob('waiting'), nowMs, model, [], options);
    };
    assert.equal(planAt(servers, 0, 'a').kind, DecisionKind.Wait);
    assert.match(membersOf(planAt(servers, 20, 'a'))[0] ?? '', /^a/);
    assert.equal(planAt(evacuated, 20, 'a').kind, DecisionKind.Reject);
    assert.match(membersOf(planAt(evacuated, 20, 'b'))[0] ?? '', /^b/);
    assert.match(membersOf(planAt(change(evacuated, EVACUATED, 4, false), 20, 'a'))[0] ?? '', /^a/);
  });
});

describe('a service whose servers are all in evacuated data centres', () => {
  it('rejects its requests at once, with the time after which to send them again', () => {
    for (const job of [shortJob('short'), longJob('long'), longJob('beyond one engine', 400_000), call]) {
      assert.deepEqual(planOn(allEvacuated, job), noServer);
    }
  });
});

describe('an evacuation of an unknown data centre', () => {
  it('changes nothing, until a server registers there', () => {
    const unknown = change(servers, 'bagmati-z', 2);
    assert.deepEqual(planOn(unknown, shortJob('s')), planOn(servers, shortJob('s')));
    const registered = mergeRecords(unknown, [serverRecord('zd', 'desk', Ready, 'bagmati-z')], {});
    assert.deepEqual(planOn(registered, call, ['ad', 'bd']), noServer);
  });
});
