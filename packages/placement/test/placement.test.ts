import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { type EngineParameters } from '@toucanbend/engine-model';
import {
  applyNews,
  createLoadBook,
  createRetryWindow,
  decodeNews,
  DecisionKind,
  encodeNews,
  type Job,
  type LoadBook,
  type LoadNews,
  NewsKind,
  type PlacementDecision,
  planJob,
  sharesOf,
} from '@toucanbend/placement';
import {
  type BackendServer,
  emptyRegistry,
  mergeRecords,
  RecordKind,
  type Registry,
  type RegistryRecord,
  ServerState,
  type Service,
} from '@toucanbend/registry';
import { smallEngine as engine } from '../../../fakes/engine-parameters.js';

const model: Service = { name: 'model', maxConnections: 100, engine };
const desk: Service = { name: 'desk', maxConnections: 100, engine: undefined };

function serverRecord(id: string, service: string, state = ServerState.Ready): RegistryRecord {
  const value: BackendServer = {
    id,
    service,
    host: '10.0.0.1',
    port: 80,
    dataCentre: 'bagmati-a',
    slots: 2,
    state,
    bornAtMs: 0,
  };
  return { kind: RecordKind.Server, id, revision: 1, value };
}

function registryOf(...ids: readonly string[]): Registry {
  return mergeRecords(
    emptyRegistry,
    ids.map((id) => serverRecord(id, 'model')),
    {},
  );
}

function shortJob(id: string, arrivedAtMs = 0): Job {
  return {
    id,
    service: 'model',
    generation: { promptTokens: 5_000, answerTokens: 1_300 },
    rank: 0,
    arrivedAtMs,
    targetMs: 300,
    targetPauseMs: 250,
    deadlineAtMs: arrivedAtMs + 10_000,
  };
}

function longJob(id: string, promptTokens = 130_000, arrivedAtMs = 0): Job {
  return {
    ...shortJob(id, arrivedAtMs),
    generation: { promptTokens, answerTokens: 700 },
    rank: 2,
    targetMs: 5_000,
    targetPauseMs: 1_000,
    deadlineAtMs: arrivedAtMs + 15_000,
  };
}

const call: Job = {
  ...shortJob('call'),
  service: 'desk',
  generation: undefined,
  deadlineAtMs: 1_000,
};
const settings = { entry: 'entry-1', dataCentre: 'bagmati-a', crossRoundTripMs: 7 };

function plan(
  book: LoadBook,
  registry: Registry,
  job: Job,
  nowMs = 0,
  service = model,
  excluded: readonly string[] = [],
  options = { mayWait: true, isBlind: false },
): PlacementDecision {
  return planJob(job, service, new Set(excluded), { registry, book, settings, ...options }, nowMs);
}

/** The server that a decision names; fails for any other decision. */
function placeOf(decision: PlacementDecision): string {
  assert.equal(decision.kind, DecisionKind.Send);
  return decision.kind === DecisionKind.Send ? decision.server.id : '';
}

function place(book: LoadBook, server: string, job: Job, atMs = 0): void {
  book.placed('entry-1', server, engine, job, atMs);
}

describe('long prompts beside short ones', () => {
  it('sends a long prompt to the engine where it breaks no pauses', () => {
    const book = createLoadBook();
    for (const id of ['a', 'b', 'c']) {
      place(book, 'e1', shortJob(id));
    }
    assert.equal(placeOf(plan(book, registryOf('e1', 'e2'), longJob('long'), 200)), 'e2');
  });

  it('sends a short prompt to the engine where no long one is prefilled', () => {
    const book = createLoadBook();
    place(book, 'e1', longJob('long'));
    for (const id of ['a', 'b', 'c', 'd']) {
      place(book, 'e2', shortJob(id));
    }
    assert.equal(placeOf(plan(book, registryOf('e1', 'e2'), shortJob('short', 100), 100)), 'e2');
  });

  it('keeps an idle engine free for long prompts while another takes short ones well', () => {
    const book = createLoadBook();
    place(book, 'e1', shortJob('a'));
    assert.equal(placeOf(plan(book, registryOf('e1', 'e2'), shortJob('b', 300), 300)), 'e1');
  });

  it('opens another engine before the last slot is taken', () => {
    const book = createLoadBook();
    for (let index = 0; index < 7; index += 1) {
      place(book, 'e1', shortJob(`a${String(index)}`));
    }
    assert.equal(placeOf(plan(book, registryOf('e1', 'e2'), shortJob('b', 300), 300)), 'e2');
  });

  it('lets a long prompt wait while every engine serves short ones and its target leaves time', () => {
    const book = createLoadBook();
    for (const engineName of ['e1', 'e2']) {
      for (const id of ['a', 'b', 'c']) {
        place(book, engineName, shortJob(`${engineName}${id}`));
      }
    }
    const registry = registryOf('e1', 'e2');
    assert.equal(plan(book, registry, longJob('long'), 200).kind, DecisionKind.Wait);
    // Three streams that break are worth more than one long prompt that comes on time.
    assert.equal(plan(book, registry, longJob('long'), 4_500).kind, DecisionKind.Wait);
    assert.equal(plan(book, registry, longJob('long'), 12_500).kind, DecisionKind.Send);
  });

  it('places a long prompt while it comes on time where that breaks less than it is worth', () => {
    const book = createLoadBook();
    place(book, 'e1', shortJob('a'));
    assert.equal(plan(book, registryOf('e1'), longJob('long'), 200).kind, DecisionKind.Wait);
    assert.equal(plan(book, registryOf('e1'), longJob('long'), 2_400).kind, DecisionKind.Send);
  });

  it('lets a short prompt wait only as long as it still comes on time', () => {
    const book = createLoadBook();
    const generation = { promptTokens: 1_000, answerTokens: 500 };
    place(book, 'e1', { ...shortJob('a'), generation, targetPauseMs: 60 });
    const registry = registryOf('e1');
    assert.equal(plan(book, registry, shortJob('b', 300), 300).kind, DecisionKind.Wait);
    const decision = plan(book, registry, shortJob('b', 300), 460);
    assert.ok(decision.kind === DecisionKind.Send && decision.expectedMs + 160 < 300);
  });
});

describe('prompts that come late wherever they go', () => {
  it('go where they come least late', () => {
    const book = createLoadBook();
    place(book, 'e1', longJob('a', 180_000));
    place(book, 'e1', longJob('b', 180_000));
    place(book, 'e2', longJob('c', 60_000));
    const options = { mayWait: false, isBlind: false };
    for (const registry of [registryOf('e1', 'e2'), registryOf('e2', 'e1')]) {
      assert.equal(placeOf(plan(book, registry, shortJob('d', 10), 10, model, [], options)), 'e2');
    }
  });
});

describe('entries that are not heard any more', () => {
  it('leave no load behind once the answers that they placed must be complete', () => {
    const book = createLoadBook();
    const registry = registryOf('e1', 'e2');
    for (const id of ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h']) {
      book.placed('entry-2', 'e1', engine, shortJob(id), 0);
    }
    const busy = book.loadAt('e1', engine, 4_000).engineState.requests.length;
    assert.equal(busy, 8);
    book.unheard('entry-2');
    assert.equal(book.loadAt('e1', engine, 6_000).engineState.requests.length, 0);
    assert.equal(plan(book, registry, shortJob('z', 6_000), 6_000).kind, DecisionKind.Send);
  });
});

describe('entries that were restarted together', () => {
  it('spread short prompts over engines until they hear one another', () => {
    const book = createLoadBook();
    place(book, 'e1', shortJob('a'));
    const options = { mayWait: true, isBlind: true };
    assert.equal(
      placeOf(plan(book, registryOf('e1', 'e2'), shortJob('b', 300), 300, model, [], options)),
      'e2',
    );
  });

  it('place at once what could wait when the process is about to end', () => {
    const book = createLoadBook();
    place(book, 'e1', shortJob('a'));
    const registry = registryOf('e1');
    const options = { mayWait: false, isBlind: false };
    assert.equal(plan(book, registry, longJob('long'), 200).kind, DecisionKind.Wait);
    assert.equal(plan(book, registry, longJob('long'), 200, model, [], options).kind, DecisionKind.Send);
  });
});

describe('prompts beyond the memory of one engine', () => {
  it('are prefilled by several, each with room for its part', () => {
    const decision = plan(createLoadBook(), registryOf('e1', 'e2', 'e3', 'e4'), longJob('huge', 500_000));
    assert.equal(decision.kind, DecisionKind.Send);
    if (decision.kind === DecisionKind.Send) {
      assert.ok(decision.helpers.length >= 2);
      assert.ok(decision.helpers.every((helper) => helper.keepsPart && helper.partTokens < 200_000));
      assert.ok(!decision.helpers.some((helper) => helper.server.id === decision.server.id));
      const shares = sharesOf(longJob('huge', 500_000), decision.server, decision.helpers);
      assert.equal(new Set(shares.map((share) => share.job.id)).size, decision.helpers.length + 1);
    }
  });

  it('are refused at once where the fleet can never hold them and the target has passed', () => {
    const decision = plan(createLoadBook(), registryOf('e1'), longJob('huge', 500_000), 6_000);
    assert.equal(decision.kind, DecisionKind.Refuse);
  });
});

describe('servers that should not be chosen', () => {
  it('leaves out servers that are leaving, were tried, or have just failed', () => {
    const book = createLoadBook();
    const registry = mergeRecords(
      emptyRegistry,
      [
        serverRecord('leaving', 'model', ServerState.Leaving),
        serverRecord('tried', 'model'),
        serverRecord('failed', 'model'),
        serverRecord('well', 'model'),
        serverRecord('other', 'desk'),
      ],
      {},
    );
    book.failed('failed', 0);
    assert.equal(placeOf(plan(book, registry, shortJob('a'), 10, model, ['tried'])), 'well');
  });

  it('refuses rather than send to a server that is leaving', () => {
    const registry = mergeRecords(emptyRegistry, [serverRecord('e1', 'model', ServerState.Leaving)], {});
    assert.equal(plan(createLoadBook(), registry, shortJob('a')).kind, DecisionKind.Refuse);
  });

  it('takes a server that has just failed rather than none', () => {
    const book = createLoadBook();
    book.failed('e1', 0);
    assert.equal(placeOf(plan(book, registryOf('e1'), shortJob('a'), 10)), 'e1');
  });

  it('refuses where no server is known, with a time to come back', () => {
    const decision = plan(createLoadBook(), emptyRegistry, shortJob('a'));
    assert.equal(decision.kind, DecisionKind.Refuse);
    assert.ok(decision.kind === DecisionKind.Refuse && decision.retryAfterMs > 0);
  });
});

describe('calls of plain services', () => {
  const registry = mergeRecords(emptyRegistry, [serverRecord('d1', 'desk'), serverRecord('d2', 'desk')], {});

  it('go where fewest are in flight', () => {
    const book = createLoadBook();
    book.placed('entry-2', 'd1', undefined, { ...call, id: 'other' }, 0);
    assert.equal(placeOf(plan(book, registry, call, 0, desk)), 'd2');
  });

  it('are refused at once where the queue is longer than their time', () => {
    const book = createLoadBook();
    for (let index = 0; index < 80; index += 1) {
      for (const server of ['d1', 'd2']) {
        book.placed('entry-2', server, undefined, { ...call, id: `${server}${String(index)}` }, 0);
      }
    }
    assert.equal(plan(book, registry, call, 0, desk).kind, DecisionKind.Refuse);
  });
});

describe('news among entries', () => {
  const engineOf = (): EngineParameters => engine;

  it('counts what other entries have placed, and forgets it at its end', () => {
    const book = createLoadBook();
    const placed: LoadNews = {
      kind: NewsKind.Placed,
      server: 'e1',
      job: longJob('long', 130_000, 900),
      atMs: 1_000,
    };
    const received = decodeNews(JSON.parse(JSON.stringify(encodeNews(placed, 1_010))), 5_010);
    assert.ok(received !== undefined);
    applyNews(book, 'entry-2', received, engineOf, 5_010);
    assert.deepEqual(
      [...book.load('e1').jobs.values()].map(({ job }) => job.arrivedAtMs),
      [4_900],
    );
    assert.equal(placeOf(plan(book, registryOf('e1', 'e2'), shortJob('short', 5_020), 5_020)), 'e2');
    applyNews(book, 'entry-2', { kind: NewsKind.Ended, server: 'e1', jobId: 'long' }, engineOf, 5_100);
    assert.equal(book.load('e1').jobs.size, 0);
    assert.equal(book.load('e1').engineState.requests.length, 0);
  });

  it('forgets the work of an entry whose process is gone, and only that', () => {
    const book = createLoadBook();
    book.placed('entry-1', 'e1', engine, shortJob('mine'), 0);
    book.placed('entry-2', 'e1', engine, shortJob('theirs'), 0);
    book.dropOwner('entry-2');
    assert.deepEqual([...book.load('e1').jobs.keys()], ['mine']);
  });

  it('ignores what is no news', () => {
    assert.equal(decodeNews(['placed'], 0), undefined);
    assert.equal(decodeNews([1, 'e1'], 0), undefined);
    assert.equal(decodeNews(undefined, 0), undefined);
  });

  it('drops work long past its deadline even if its end was never told', () => {
    const book = createLoadBook();
    book.placed('entry-2', 'e1', engine, shortJob('lost'), 0);
    book.prune(new Set(['e1']), 10_500);
    assert.equal(book.load('e1').jobs.size, 1);
    book.prune(new Set(['e1']), 11_500);
    assert.equal(book.load('e1').jobs.size, 0);
  });
});

describe('the budget for repeats', () => {
  const bound = { ratio: 0.2, allowance: 100, windowMs: 10_000 };

  it('stays below ratio and allowance over all entries', () => {
    const entries = 5;
    const windows = Array.from({ length: entries }, () => createRetryWindow(bound));
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

  it('grows back when repeats fall out of the window', () => {
    const window = createRetryWindow({ ...bound, allowance: 2 });
    assert.equal(window.trySpend('model', 1, 0), true);
    assert.equal(window.trySpend('model', 1, 1), false);
    assert.equal(window.trySpend('model', 1, 10_002), true);
  });
});
