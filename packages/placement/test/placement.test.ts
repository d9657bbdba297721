import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { type EngineParameters } from '@toucanbend/engine-model';
import {
  applyLoadUpdate,
  createLoadTracker,
  createRetryBudget,
  decodeLoadUpdate,
  DecisionKind,
  encodeLoadUpdate,
  type LoadUpdate,
  LoadUpdateKind,
  splitJob,
} from '@toucanbend/placement';
import { emptyRegistry, mergeRecords, ServerState } from '@toucanbend/registry';
import { smallEngine as engine } from '../../../fakes/engine-parameters.js';
import {
  call,
  desk,
  longJob,
  model,
  plan,
  recordJob,
  registryOf,
  sentTo,
  serverRecord,
  shortJob,
} from './support/jobs.js';

describe('long prompts beside short ones', () => {
  it('sends a long prompt to the engine on which no stream exceeds its pause limit', () => {
    const tracker = createLoadTracker();
    for (const id of ['a', 'b', 'c']) {
      recordJob(tracker, 'e1', shortJob(id));
    }
    assert.equal(sentTo(plan(tracker, registryOf('e1', 'e2'), longJob('long'), 200)), 'e2');
  });

  it('sends a short prompt to the engine that is not prefilling a long prompt', () => {
    const tracker = createLoadTracker();
    recordJob(tracker, 'e1', longJob('long'));
    for (const id of ['a', 'b', 'c', 'd']) {
      recordJob(tracker, 'e2', shortJob(id));
    }
    assert.equal(sentTo(plan(tracker, registryOf('e1', 'e2'), shortJob('short', 100), 100)), 'e2');
  });

  it('keeps an idle engine free for long prompts while another engine can serve short ones on time', () => {
    const tracker = createLoadTracker();
    recordJob(tracker, 'e1', shortJob('a'));
    assert.equal(sentTo(plan(tracker, registryOf('e1', 'e2'), shortJob('b', 300), 300)), 'e1');
  });

  it('uses an idle engine before the last slot of a busy one is taken', () => {
    const tracker = createLoadTracker();
    for (let index = 0; index < 7; index += 1) {
      recordJob(tracker, 'e1', shortJob(`a${String(index)}`));
    }
    assert.equal(sentTo(plan(tracker, registryOf('e1', 'e2'), shortJob('b', 300), 300)), 'e2');
  });

  it('delays a long prompt while every engine serves short ones, until its deadline is near', () => {
    const tracker = createLoadTracker();
    for (const engineName of ['e1', 'e2']) {
      for (const id of ['a', 'b', 'c']) {
        recordJob(tracker, engineName, shortJob(`${engineName}${id}`));
      }
    }
    const registry = registryOf('e1', 'e2');
    assert.equal(plan(tracker, registry, longJob('long'), 200).kind, DecisionKind.Wait);
    // Three streams that exceed their pause limits lose more value than one long prompt gains by meeting its target.
    assert.equal(plan(tracker, registry, longJob('long'), 4_500).kind, DecisionKind.Wait);
    assert.equal(plan(tracker, registry, longJob('long'), 12_500).kind, DecisionKind.Send);
  });

  it('places a long prompt in time for its target if other jobs lose less than it gains', () => {
    const tracker = createLoadTracker();
    recordJob(tracker, 'e1', shortJob('a'));
    assert.equal(plan(tracker, registryOf('e1'), longJob('long'), 200).kind, DecisionKind.Wait);
    assert.equal(plan(tracker, registryOf('e1'), longJob('long'), 2_400).kind, DecisionKind.Send);
  });

  it('delays a short prompt only while it can still meet its target', () => {
    const tracker = createLoadTracker();
    const generation = { promptTokens: 1_000, answerTokens: 500 };
    recordJob(tracker, 'e1', { ...shortJob('a'), generation, targetPauseMs: 60 });
    const registry = registryOf('e1');
    assert.equal(plan(tracker, registry, shortJob('b', 300), 300).kind, DecisionKind.Wait);
    const decision = plan(tracker, registry, shortJob('b', 300), 460);
    assert.ok(decision.kind === DecisionKind.Send && decision.expectedMs + 160 < 300);
  });
});

describe('prompts that miss their target on every engine', () => {
  it('are sent to the engine with the shortest delay', () => {
    const tracker = createLoadTracker();
    recordJob(tracker, 'e1', longJob('a', 180_000));
    recordJob(tracker, 'e1', longJob('b', 180_000));
    recordJob(tracker, 'e2', longJob('c', 60_000));
    const options = { mayWait: false, hasPartialLoadView: false };
    for (const registry of [registryOf('e1', 'e2'), registryOf('e2', 'e1')]) {
      assert.equal(sentTo(plan(tracker, registry, shortJob('d', 10), 10, model, [], options)), 'e2');
    }
  });
});

describe('entries that become unreachable', () => {
  it('leave no recorded load once the expected answers of their jobs are complete', () => {
    const tracker = createLoadTracker();
    const registry = registryOf('e1', 'e2');
    for (const id of ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h']) {
      tracker.placed('entry-2', 'e1', engine, shortJob(id), 0);
    }
    const busy = tracker.loadAt('e1', engine, 4_000).engineState.requests.length;
    assert.equal(busy, 8);
    tracker.markUnreachable('entry-2');
    assert.equal(tracker.loadAt('e1', engine, 6_000).engineState.requests.length, 0);
    assert.equal(plan(tracker, registry, shortJob('z', 6_000), 6_000).kind, DecisionKind.Send);
  });
});

describe('entries that were restarted together', () => {
  it('spread short prompts over engines until they receive load updates', () => {
    const tracker = createLoadTracker();
    recordJob(tracker, 'e1', shortJob('a'));
    const options = { mayWait: true, hasPartialLoadView: true };
    assert.equal(
      sentTo(plan(tracker, registryOf('e1', 'e2'), shortJob('b', 300), 300, model, [], options)),
      'e2',
    );
  });

  it('place jobs immediately that could wait if the process is about to exit', () => {
    const tracker = createLoadTracker();
    recordJob(tracker, 'e1', shortJob('a'));
    const registry = registryOf('e1');
    const options = { mayWait: false, hasPartialLoadView: false };
    assert.equal(plan(tracker, registry, longJob('long'), 200).kind, DecisionKind.Wait);
    assert.equal(plan(tracker, registry, longJob('long'), 200, model, [], options).kind, DecisionKind.Send);
  });
});

describe('prompts beyond the memory of one engine', () => {
  it('are prefilled by several engines, each with memory for its part', () => {
    const decision = plan(createLoadTracker(), registryOf('e1', 'e2', 'e3', 'e4'), longJob('huge', 500_000));
    assert.equal(decision.kind, DecisionKind.Send);
    if (decision.kind === DecisionKind.Send) {
      assert.ok(decision.helpers.length >= 2);
      assert.ok(decision.helpers.every((helper) => helper.keepsPart && helper.partTokens < 200_000));
      assert.ok(!decision.helpers.some((helper) => helper.server.id === decision.server.id));
      const shares = splitJob(longJob('huge', 500_000), decision.server, decision.helpers, 1_000);
      assert.equal(new Set(shares.map((share) => share.job.id)).size, decision.helpers.length + 1);
    }
  });

  it('are rejected immediately if all engines together lack the memory and the target has passed', () => {
    const decision = plan(createLoadTracker(), registryOf('e1'), longJob('huge', 500_000), 6_000);
    assert.equal(decision.kind, DecisionKind.Reject);
  });
});

describe('servers that should not be chosen', () => {
  it('excludes servers that are draining, were tried before, or have just failed', () => {
    const tracker = createLoadTracker();
    const registry = mergeRecords(
      emptyRegistry,
      [
        serverRecord('leaving', 'model', ServerState.Leaving),
        serverRecord('tried', 'model'),
        serverRecord('failed', 'model'),
        serverRecord('healthy', 'model'),
        serverRecord('other', 'desk'),
      ],
      {},
    );
    tracker.failed('failed', 0);
    assert.equal(sentTo(plan(tracker, registry, shortJob('a'), 10, model, ['tried'])), 'healthy');
  });

  it('rejects a job if the only server is draining', () => {
    const registry = mergeRecords(emptyRegistry, [serverRecord('e1', 'model', ServerState.Leaving)], {});
    assert.equal(plan(createLoadTracker(), registry, shortJob('a')).kind, DecisionKind.Reject);
  });

  it('chooses a server that has just failed if there is no other', () => {
    const tracker = createLoadTracker();
    tracker.failed('e1', 0);
    assert.equal(sentTo(plan(tracker, registryOf('e1'), shortJob('a'), 10)), 'e1');
  });

  it('rejects a job if no server is registered, with a retry-after time', () => {
    const decision = plan(createLoadTracker(), emptyRegistry, shortJob('a'));
    assert.equal(decision.kind, DecisionKind.Reject);
    assert.ok(decision.kind === DecisionKind.Reject && decision.retryAfterMs > 0);
  });
});

describe('calls of plain services', () => {
  const registry = mergeRecords(emptyRegistry, [serverRecord('d1', 'desk'), serverRecord('d2', 'desk')], {});

  it('go to the server with the fewest calls in flight', () => {
    const tracker = createLoadTracker();
    tracker.placed('entry-2', 'd1', undefined, { ...call, id: 'other' }, 0);
    assert.equal(sentTo(plan(tracker, registry, call, 0, desk)), 'd2');
  });

  it('are rejected immediately if the queueing delay exceeds their deadline', () => {
    const tracker = createLoadTracker();
    for (let index = 0; index < 80; index += 1) {
      for (const server of ['d1', 'd2']) {
        tracker.placed('entry-2', server, undefined, { ...call, id: `${server}${String(index)}` }, 0);
      }
    }
    assert.equal(plan(tracker, registry, call, 0, desk).kind, DecisionKind.Reject);
  });
});

describe('a load tracker that receives load updates', () => {
  const engineOf = (): EngineParameters => engine;
  const restrictions = { countRequest: () => undefined };

  it('tracks the jobs that other entries have placed until they end', () => {
    const tracker = createLoadTracker();
    const placed: LoadUpdate = {
      kind: LoadUpdateKind.Placed,
      server: 'e1',
      job: longJob('long', 130_000, 900),
      atMs: 1_000,
    };
    const received = decodeLoadUpdate(JSON.parse(JSON.stringify(encodeLoadUpdate(placed, 1_010))), 5_010);
    assert.ok(received !== undefined);
    applyLoadUpdate(tracker, restrictions, 'entry-2', received, engineOf, 5_010);
    assert.deepEqual(
      [...tracker.load('e1').jobs.values()].map(({ job }) => job.arrivedAtMs),
      [4_900],
    );
    assert.equal(sentTo(plan(tracker, registryOf('e1', 'e2'), shortJob('short', 5_020), 5_020)), 'e2');
    applyLoadUpdate(
      tracker,
      restrictions,
      'entry-2',
      { kind: LoadUpdateKind.Ended, server: 'e1', jobId: 'long' },
      engineOf,
      5_100,
    );
    assert.equal(tracker.load('e1').jobs.size, 0);
    assert.equal(tracker.load('e1').engineState.requests.length, 0);
  });

  it('drops only the jobs of the entry whose process has ended', () => {
    const tracker = createLoadTracker();
    tracker.placed('entry-1', 'e1', engine, shortJob('mine'), 0);
    tracker.placed('entry-2', 'e1', engine, shortJob('theirs'), 0);
    tracker.dropOwner('entry-2');
    assert.deepEqual([...tracker.load('e1').jobs.keys()], ['mine']);
  });

  it('ignores values that are not valid load updates', () => {
    assert.equal(decodeLoadUpdate(['placed'], 0), undefined);
    assert.equal(decodeLoadUpdate([1, 'e1'], 0), undefined);
    assert.equal(decodeLoadUpdate(undefined, 0), undefined);
  });

  it('drops jobs whose deadline has long passed even if their end was not reported', () => {
    const tracker = createLoadTracker();
    tracker.placed('entry-2', 'e1', engine, shortJob('lost'), 0);
    tracker.prune(new Set(['e1']), 10_500);
    assert.equal(tracker.load('e1').jobs.size, 1);
    tracker.prune(new Set(['e1']), 11_500);
    assert.equal(tracker.load('e1').jobs.size, 0);
  });
});

describe('the retry budget', () => {
  const bound = { ratio: 0.2, allowance: 100, windowMs: 10_000 };

  it('limits retries to ratio plus allowance over all entries', () => {
    const entries = 5;
    const windows = Array.from({ length: entries }, () => createRetryBudget(bound));
    let allowed = 0;
    for (const window of windows) {
      for (let index = 0; index < 100; index += 1) {
        window.request('model', index);
      }
      for (let index = 0; index < 100; index += 1) {
        allowed += window.trySpend('model', entries, 200) ? 1 : 0;
      }
    }
    assert.ok(allowed > 0);
    assert.ok(allowed <= bound.ratio * 100 * entries + bound.allowance);
  });

  it('allows retries again once earlier ones have left the window', () => {
    const window = createRetryBudget({ ...bound, allowance: 2 });
    assert.equal(window.trySpend('model', 1, 0), true);
    assert.equal(window.trySpend('model', 1, 1), false);
    assert.equal(window.trySpend('model', 1, 10_002), true);
  });
});
