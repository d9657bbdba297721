/** Prompts that several engines prefill together, and the load patterns that the comparison of placements answers. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { PartRole } from '@toucanbend/engine-model';
import {
  createLoadTracker,
  decodeLoadUpdate,
  DecisionKind,
  encodeLoadUpdate,
  type Job,
  type LoadTracker,
  type LoadUpdate,
  LoadUpdateKind,
  type PlacementDecision,
  readyServers,
  shortlistEngines,
  splitJob,
} from '@toucanbend/placement';
import { type Registry } from '@toucanbend/registry';
import { smallEngine as engine } from '../../../fakes/engine-parameters.js';
import { longJob, plan, recordJob, registryOf, sentTo, settings, shortJob } from './support/jobs.js';

const SHORT_STREAMS = 4;

function engineIds(count: number): string[] {
  return Array.from({ length: count }, (_, index) => `e${String(index + 1)}`);
}

/** Creates a prompt whose prefill takes most of its target on one engine. */
function archiveJob(id: string, promptTokens = 180_000, arrivedAtMs = 0): Job {
  return { ...longJob(id, promptTokens, arrivedAtMs), targetMs: 3_000, targetPauseMs: 800 };
}

type Sent = Extract<PlacementDecision, { kind: DecisionKind.Send }>;

/** Records a decision as the entry does. */
function record(tracker: LoadTracker, job: Job, decision: Sent, nowMs: number): void {
  const { server, helpers, expectedMs } = decision;
  for (const share of splitJob(job, server, helpers, nowMs + expectedMs)) {
    recordJob(tracker, share.server.id, share.job, nowMs);
  }
}

/** Plans a job again and again, as the entry does while it waits, and records where it was sent. */
function place(tracker: LoadTracker, registry: Registry, job: Job): { sent: Sent; sentAtMs: number } {
  for (let nowMs = job.arrivedAtMs; ; nowMs += 50) {
    const decision = plan(tracker, registry, job, nowMs);
    assert.notEqual(decision.kind, DecisionKind.Reject, `${job.id} rejected at ${String(nowMs)}`);
    if (decision.kind === DecisionKind.Send) {
      record(tracker, job, decision, nowMs);
      return { sent: decision, sentAtMs: nowMs };
    }
  }
}

/** Records short streams on the first engines. */
function recordShortStreams(tracker: LoadTracker, engines: readonly string[], atMs = 0): void {
  for (const id of engines) {
    for (let index = 0; index < SHORT_STREAMS; index += 1) {
      recordJob(tracker, id, shortJob(`${id}-short-${String(index)}`, atMs), atMs);
    }
  }
}

describe('a prompt whose prefill takes most of its target', () => {
  it('is prefilled by several idle engines, of which only the first keeps it', () => {
    const decision = plan(createLoadTracker(), registryOf(...engineIds(12)), archiveJob('archive'));
    assert.ok(decision.kind === DecisionKind.Send);
    assert.ok(decision.helpers.length >= 3, `${String(decision.helpers.length)} helpers`);
    assert.ok(decision.helpers.every((helper) => !helper.keepsPart));
    assert.ok(decision.expectedMs < 1_000, `${String(decision.expectedMs)} ms`);
  });

  for (const [busy, free] of [
    [4, 6],
    [12, 3],
  ] as const) {
    it(`does not lengthen the pauses of short streams on ${String(busy)} engines while ${String(free)} are free`, () => {
      const tracker = createLoadTracker();
      const ids = engineIds(busy + free);
      recordShortStreams(tracker, ids.slice(0, busy));
      const decision = plan(tracker, registryOf(...ids), archiveJob('archive', 180_000, 300), 300);
      assert.ok(decision.kind === DecisionKind.Send && decision.helpers.length > 0);
      const used = [decision.server, ...decision.helpers.map((helper) => helper.server)].map(({ id }) => id);
      assert.deepEqual(
        used.filter((id) => ids.slice(0, busy).includes(id)),
        [],
      );
    });
  }

  it('is served in time for its deadline even if a placement beyond it costs the others less', () => {
    const tracker = createLoadTracker();
    const ids = engineIds(4);
    const nowMs = 13_000;
    recordShortStreams(tracker, ids, nowMs - 300);
    const job = archiveJob('archive', 190_000);
    const decision = plan(tracker, registryOf(...ids), job, nowMs);
    assert.ok(decision.kind === DecisionKind.Send, decision.kind);
    assert.ok(nowMs + decision.expectedMs <= job.deadlineAtMs);
  });

  it('is prefilled by one engine in time after a helper made an attempt fail, and by several only to be in time', () => {
    const registry = registryOf(...engineIds(12));
    const helpersOf = (targetMs: number): number => {
      const decision = plan(createLoadTracker(), registry, {
        ...archiveJob('archive'),
        targetMs,
        avoidsHelpers: true,
      });
      return decision.kind === DecisionKind.Send ? decision.helpers.length : -1;
    };
    assert.equal(helpersOf(6_000), 0);
    assert.ok(helpersOf(1_000) > 0);
  });

  it('is sent to one engine if it is short', () => {
    const decision = plan(createLoadTracker(), registryOf(...engineIds(12)), shortJob('short'));
    assert.ok(decision.kind === DecisionKind.Send && decision.helpers.length === 0);
  });
});

describe('a burst of the longest prompts beside short streams', () => {
  it('is placed so that each one is expected on time', () => {
    const tracker = createLoadTracker();
    const ids = engineIds(16);
    recordShortStreams(tracker, ids.slice(0, 4));
    const registry = registryOf(...ids);
    const late: string[] = [];
    for (let index = 0; index < 8; index += 1) {
      const job = archiveJob(`archive-${String(index)}`, 120_000 + 10_000 * index, 300 + 120 * index);
      const { sent, sentAtMs } = place(tracker, registry, job);
      const firstEventMs = sentAtMs + sent.expectedMs - job.arrivedAtMs;
      if (firstEventMs > job.targetMs) {
        late.push(`${job.id}: ${String(Math.round(firstEventMs))} ms`);
      }
    }
    assert.deepEqual(late, []);
  });

  it('waits for engines that are free soon rather than delay the prompts before it', () => {
    const tracker = createLoadTracker();
    const registry = registryOf(...engineIds(2));
    const first = archiveJob('first', 190_000);
    const { sent } = place(tracker, registry, first);
    assert.equal(sent.helpers.length, 1);
    const second = plan(tracker, registry, archiveJob('second', 190_000, 600), 600);
    assert.equal(second.kind, DecisionKind.Wait);
  });
});

describe('short prompts beside long ones', () => {
  it('are packed on engines that have others, up to half of their slots', () => {
    const tracker = createLoadTracker();
    const registry = registryOf(...engineIds(6));
    recordJob(tracker, 'e5', shortJob('a'));
    recordJob(tracker, 'e5', shortJob('b'));
    recordJob(tracker, 'e6', shortJob('c'));
    assert.equal(sentTo(plan(tracker, registry, shortJob('d', 400), 400)), 'e5');
  });
});

describe('a prompt beyond the memory of one engine', () => {
  it('may use again what its own attempt holds if it replaces that attempt', () => {
    const tracker = createLoadTracker();
    const registry = registryOf(...engineIds(2));
    const huge = archiveJob('huge', 300_000);
    const decision = plan(tracker, registry, huge);
    assert.ok(decision.kind === DecisionKind.Send);
    record(tracker, huge, decision, 0);
    const options = { mayWait: false, hasPartialLoadView: false };
    const again = plan(tracker, registry, huge, 100, undefined, [], options);
    assert.equal(again.kind, DecisionKind.Reject);
    const replacing = { ...options, replacesAttempt: true };
    assert.equal(plan(tracker, registry, huge, 100, undefined, [], replacing).kind, DecisionKind.Send);
  });
});

describe('load updates of prompts on several engines', () => {
  const part = { role: PartRole.Reader, wholeTokens: 180_000, readyAtMs: 1_500 };
  const share: Job = {
    ...archiveJob('archive/1'),
    generation: { promptTokens: 15_000, answerTokens: 700, part },
  };
  const update: LoadUpdate = { kind: LoadUpdateKind.Placed, server: 'e1', job: share, atMs: 1_000 };

  it('carry the role of the engine and the time at which all parts are ready', () => {
    const received = decodeLoadUpdate(JSON.parse(JSON.stringify(encodeLoadUpdate(update, 1_010))), 9_010);
    assert.ok(received?.kind === LoadUpdateKind.Placed);
    assert.deepEqual(received.job.generation?.part, { ...part, readyAtMs: 9_500 });
  });

  it('are accepted without both, as earlier versions send them', () => {
    const received = decodeLoadUpdate(encodeLoadUpdate(update, 1_010).slice(0, 13), 1_010);
    assert.ok(received?.kind === LoadUpdateKind.Placed);
    assert.equal(received.job.generation?.part?.role, PartRole.LeaderOfHolders);
  });
});

describe('the selection of engines to simulate', () => {
  it('contains the free engines of a large fleet', () => {
    const tracker = createLoadTracker();
    const ids = engineIds(200);
    const free = new Set(['e40', 'e120', 'e199']);
    for (const id of ids.filter((candidate) => !free.has(candidate))) {
      recordJob(tracker, id, longJob(`${id}-long`, 150_000));
    }
    const engines = readyServers(registryOf(...ids), 'model', settings).map((view) => ({
      view,
      load: tracker.load(view.server.id),
    }));
    const job = shortJob('short');
    const prompt = { promptTokens: 5_000, answerTokens: 1_300 };
    const selected = shortlistEngines(engine, engines, job, prompt, 3, 0);
    assert.deepEqual(new Set(selected.map(({ view }) => view.server.id)), free);
  });
});
