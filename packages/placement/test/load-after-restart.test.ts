import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  applyLoadUpdate,
  createLoadTracker,
  decodeLoadUpdate,
  encodeLoadUpdate,
  type EngineReport,
  type Job,
  type LoadTracker,
  LoadUpdateKind,
  runningJobsOf,
  unattributedLoad,
} from '@toucanbend/placement';
import { smallEngine as engine } from '../../../fakes/engine-parameters.js';
import { longJob, plan, recordJob, registryOf, sentTo, shortJob } from './support/jobs.js';

const restrictions = { countRequest: (): void => undefined };

/** Hands the jobs of an entry to another one over the wire. */
function handOver(from: LoadTracker, to: LoadTracker, owner: string, nowMs: number): void {
  for (const running of runningJobsOf(from.loads(), owner)) {
    const encoded = encodeLoadUpdate({ kind: LoadUpdateKind.Running, ...running }, nowMs);
    const update = decodeLoadUpdate(encoded, nowMs);
    assert.ok(update !== undefined);
    applyLoadUpdate(to, restrictions, owner, update, () => engine, nowMs);
  }
}

/** Receives a report that another entry has read. */
function receiveReport(tracker: LoadTracker, report: EngineReport, nowMs: number): void {
  const reported = {
    kind: LoadUpdateKind.Reported,
    server: 'a',
    service: 'model',
    report,
    asOfMs: nowMs,
  } as const;
  const update = decodeLoadUpdate(encodeLoadUpdate(reported, nowMs), nowMs);
  assert.ok(update !== undefined);
  applyLoadUpdate(tracker, restrictions, 'entry-2', update, () => engine, nowMs);
}

/** Advances the model of an engine in short steps, as the decisions of a loaded entry do. */
function advanceOften(tracker: LoadTracker, server: string, untilMs: number): void {
  for (let nowMs = 0; nowMs <= untilMs; nowMs += 10) {
    tracker.loadAt(server, engine, nowMs);
  }
}

function fill(tracker: LoadTracker, server: string, jobs: number): Job[] {
  const placed = Array.from({ length: jobs }, (_, index) => shortJob(`${server}-${String(index)}`));
  placed.forEach((job) => {
    recordJob(tracker, server, job);
  });
  return placed;
}

describe('An entry that has just started', () => {
  it('places its first requests on engines that the jobs of the others leave free', () => {
    const other = createLoadTracker();
    fill(other, 'a', engine.slots);
    other.loadAt('a', engine, 200);
    const started = createLoadTracker();
    handOver(other, started, 'entry-1', 200);
    for (let index = 0; index < engine.slots / 2; index += 1) {
      const job = shortJob(`own-${String(index)}`, 200);
      const server = sentTo(plan(started, registryOf('a', 'b'), job, 200));
      assert.equal(server, 'b');
      recordJob(started, server, job, 200);
    }
  });

  it('receives the progress of a job, once', () => {
    const other = createLoadTracker();
    recordJob(other, 'a', longJob('long'));
    const [before] = other.loadAt('a', engine, 400).engineState.requests;
    const started = createLoadTracker();
    handOver(other, started, 'entry-1', 400);
    handOver(other, started, 'entry-1', 400);
    const { requests } = started.load('a').engineState;
    assert.equal(requests.length, 1);
    assert.equal(requests[0]?.prefilledTokens, before?.prefilledTokens);
  });

  it('counts a job once whose update follows its hand-over', () => {
    const other = createLoadTracker();
    const job = shortJob('short');
    recordJob(other, 'a', job);
    const started = createLoadTracker();
    handOver(other, started, 'entry-1', 0);
    started.placed('entry-1', 'a', engine, job, 0);
    assert.equal(started.load('a').engineState.requests.length, 1);
  });

  it('forgets the jobs when they end', () => {
    const other = createLoadTracker();
    const jobs = fill(other, 'a', 3);
    const started = createLoadTracker();
    handOver(other, started, 'entry-1', 0);
    jobs.forEach(({ id }) => {
      started.ended('a', id);
    });
    assert.equal(started.load('a').jobs.size, 0);
    assert.equal(started.load('a').engineState.requests.length, 0);
  });

  it('regains the jobs that left its model while it was cut off, until their ends are reported', () => {
    const other = createLoadTracker();
    const cutOff = createLoadTracker();
    for (const tracker of [other, cutOff]) {
      recordJob(tracker, 'a', shortJob('long answer'));
    }
    cutOff.markUnreachable('entry-1');
    for (const nowMs of [5, 10_000]) {
      other.loadAt('a', engine, nowMs);
      cutOff.loadAt('a', engine, nowMs);
      handOver(other, cutOff, 'entry-1', nowMs);
      assert.equal(cutOff.load('a').engineState.requests.length, 1);
      cutOff.loadAt('a', engine, nowMs + 5_000);
      assert.equal(cutOff.load('a').engineState.requests.length, 1);
      cutOff.markUnreachable('entry-1');
    }
  });

  it('is not told of the jobs of third entries', () => {
    const other = createLoadTracker();
    other.placed('entry-2', 'a', engine, shortJob('third'), 0);
    assert.deepEqual(runningJobsOf(other.loads(), 'entry-1'), []);
  });
});

describe('The requests of a host that lost power', () => {
  it('stay in the model of their engines when its next process is seen', () => {
    const tracker = createLoadTracker();
    fill(tracker, 'a', engine.slots);
    tracker.markUnreachable('entry-1');
    tracker.dropOwner('entry-1');
    assert.equal(tracker.load('a').engineState.requests.length, engine.slots);
    assert.equal(sentTo(plan(tracker, registryOf('a', 'b'), shortJob('next', 50), 50)), 'b');
  });

  it('leave the model when they are expected to have ended', () => {
    const tracker = createLoadTracker();
    fill(tracker, 'a', 2);
    tracker.markUnreachable('entry-1');
    tracker.dropOwner('entry-1');
    assert.equal(tracker.loadAt('a', engine, 10_000).engineState.requests.length, 0);
  });

  it('leave the model also if it is advanced at every pass, as under load', () => {
    const tracker = createLoadTracker();
    fill(tracker, 'a', 2);
    tracker.loadAt('a', engine, 100);
    tracker.markUnreachable('entry-1');
    tracker.dropOwner('entry-1');
    advanceOften(tracker, 'a', 10_000);
    assert.equal(tracker.load('a').engineState.requests.length, 0);
  });

  it('end with a process that has closed its connections', () => {
    const tracker = createLoadTracker();
    fill(tracker, 'a', 2);
    tracker.dropOwner('entry-1');
    assert.equal(tracker.load('a').engineState.requests.length, 0);
  });
});

describe('After all hosts lost power', () => {
  const busy = { requests: engine.slots, usedTokens: 60_000 };

  it('requests go to the engines that report no others', () => {
    const tracker = createLoadTracker();
    const load = unattributedLoad(busy, tracker.load('a'), 0);
    tracker.unattributed('a', engine, load, 0);
    for (let index = 0; index < engine.slots / 2; index += 1) {
      const job = shortJob(`own-${String(index)}`);
      const server = sentTo(plan(tracker, registryOf('a', 'b'), job));
      assert.equal(server, 'b');
      recordJob(tracker, server, job);
    }
  });

  it('the requests that the entries have placed since are not counted twice', () => {
    const tracker = createLoadTracker();
    recordJob(tracker, 'a', shortJob('known', 100), 100);
    recordJob(tracker, 'a', shortJob('later', 500), 500);
    const load = unattributedLoad({ requests: 3, usedTokens: 15_000 }, tracker.load('a'), 300);
    assert.equal(load.requests, 2);
    assert.equal(load.promptTokens, 10_000);
  });

  it('a later report replaces an earlier one, and the last one ends by itself', () => {
    const tracker = createLoadTracker();
    const report = (requests: number): void => {
      const load = unattributedLoad({ requests, usedTokens: 0 }, tracker.load('a'), 0);
      tracker.unattributed('a', engine, load, 0);
    };
    report(5);
    report(2);
    assert.equal(tracker.load('a').engineState.requests.length, 2);
    assert.equal(tracker.loadAt('a', engine, 10_000).engineState.requests.length, 0);
  });

  it('the requests of the last report end by themselves also if the model is advanced at every pass', () => {
    const tracker = createLoadTracker();
    const load = unattributedLoad({ requests: 3, usedTokens: 0 }, tracker.load('a'), 0);
    tracker.unattributed('a', engine, load, 0);
    advanceOften(tracker, 'a', 10_000);
    assert.equal(tracker.load('a').engineState.requests.length, 0);
  });

  it('an entry that knows the jobs at an engine adds nothing by the report that another entry has read', () => {
    const tracker = createLoadTracker();
    fill(tracker, 'a', 3);
    receiveReport(tracker, { requests: 3, usedTokens: 15_000 }, 500);
    assert.equal(tracker.load('a').engineState.requests.length, 3);
  });

  it('the kept requests of a host that lost power are not counted twice', () => {
    const tracker = createLoadTracker();
    fill(tracker, 'a', 3);
    tracker.markUnreachable('entry-1');
    tracker.dropOwner('entry-1');
    receiveReport(tracker, { requests: 3, usedTokens: 15_000 }, 50);
    assert.equal(tracker.load('a').engineState.requests.length, 3);
  });

  it('a job that is handed over after the report is not counted twice', () => {
    const other = createLoadTracker();
    fill(other, 'a', 3);
    const started = createLoadTracker();
    receiveReport(started, { requests: 3, usedTokens: 15_000 }, 0);
    handOver(other, started, 'entry-1', 0);
    assert.equal(started.load('a').engineState.requests.length, 3);
  });

  it('an absurd report is bounded', () => {
    const tracker = createLoadTracker();
    receiveReport(tracker, { requests: 1e9, usedTokens: 1e15 }, 0);
    const { requests } = tracker.load('a').engineState;
    assert.ok(requests.length > 0 && requests.length <= 64);
    assert.ok(requests.every(({ promptTokens }) => promptTokens <= engine.memoryTokens));
    advanceOften(tracker, 'a', 10_000);
    assert.equal(tracker.load('a').engineState.requests.length, 0);
  });
});
