/**
 * Guards against streams that are incomplete, out of order or late after a failure, and against engine memory
 * that is never released.
 */
import assert from 'node:assert/strict';
import { after, afterEach, before, describe, test } from 'node:test';
import { requestCompletion, type CallerResult, makePrompt } from '../fakes/caller.js';
import { EngineFault } from '../fakes/engine.js';
import { callJson, type Fleet, type FleetNode, startFleet, until } from '../fakes/fleet.js';
import { RelayFault } from '../fakes/relay.js';
import { expectedAnswer } from '../fakes/text.js';

const ENGINE = { prefillTokensPerMs: 200, iterationMs: 4, perAnswerMs: 0.02 };
const TOKENS = 300;

describe('streams under failure', () => {
  let fleet: Fleet;
  before(async () => {
    fleet = await startFleet({
      dataCentres: [{ name: 'dc-1', region: 'bagmati' }],
      entries: [
        { name: 'entry-1', dataCentre: 'dc-1' },
        { name: 'entry-2', dataCentre: 'dc-1' },
      ],
      backends: [1, 2, 3].map((index) => ({
        name: `engine-${String(index)}`,
        dataCentre: 'dc-1',
        engine: ENGINE,
      })),
      accounts: [{ name: 'patan' }],
      relayDelaysMs: {},
      sideSettings: { attachGraceMs: 1_000, stallMs: 800 },
    });
  });
  after(() => fleet.stop());

  /** Checks after each test that every engine has released all memory except its cache. */
  afterEach(async () => {
    for (const backend of fleet.backends) {
      await until(async () => {
        const status = await callJson<{ usedTokens: number; running: number }>(backend.port, '/status');
        return status.usedTokens === 0 && status.running === 0;
      }, `${backend.name} holds no memory`);
    }
  });

  const busySide = async (): Promise<number> => {
    const running = await Promise.all(
      fleet.sides.map((side) => callJson<{ running: number }>(side.operatorPort, '/status')),
    );
    return running.findIndex((status) => status.running > 0);
  };

  /** Requests a long answer and injects a failure once tokens arrive. */
  const requestWithFailure = async (
    name: string,
    fail: (busy: number) => unknown,
    deadlineMs = 20_000,
  ): Promise<{ readonly result: CallerResult; readonly expected: string }> => {
    const prompt = makePrompt(1_500, name);
    let broken = false;
    let failure: Promise<unknown> = Promise.resolve();
    const result = await requestCompletion({
      port: fleet.entries[0]?.callerPort ?? 0,
      key: fleet.keyOf('patan'),
      prompt,
      maxTokens: TOKENS,
      deadlineMs,
      onText: () => {
        if (!broken) {
          broken = true;
          failure = busySide().then(fail);
        }
      },
    });
    await failure;
    return { result, expected: expectedAnswer(prompt, TOKENS) };
  };

  const nodeAt = (index: number): FleetNode => {
    const node = fleet.sides[index];
    assert.ok(node !== undefined);
    return node;
  };

  test('a stream resumes after an engine crash, with each token delivered once and in order', async () => {
    const { result, expected } = await requestWithFailure('engine dies', async (busy) => {
      const backend = fleet.backends[busy];
      backend?.process.signal('SIGKILL');
      await backend?.process.exited;
      await backend?.restart();
    });
    assert.equal(result.outcome, 'complete');
    assert.equal(result.text, expected);
  });

  test('a stream resumes at another engine when its engine stops sending', async () => {
    const { result, expected } = await requestWithFailure('engine silent', async (busy) => {
      const port = fleet.backends[busy]?.port ?? 0;
      await callJson(port, '/fault', EngineFault.Silent);
    });
    await Promise.all(fleet.backends.map((backend) => callJson(backend.port, '/fault', EngineFault.None)));
    assert.equal(result.text, expected);
  });

  test('a stream resumes at another side after a side crash', async () => {
    const { result, expected } = await requestWithFailure('side dies', async (busy) => {
      const side = nodeAt(busy);
      side.process.signal('SIGKILL');
      await side.process.exited;
      await side.restart();
    });
    assert.equal(result.text, expected);
  });

  test('a stream resumes when its side freezes, and frames the side sends after it continues are dropped', async () => {
    const { result, expected } = await requestWithFailure('side frozen', (busy) => {
      const side = nodeAt(busy);
      side.process.signal('SIGSTOP');
      setTimeout(() => {
        side.process.signal('SIGCONT');
      }, 2_500);
    });
    assert.equal(result.text, expected);
    await until(
      async () => (await callJson<{ running: number }>(nodeAt(0).operatorPort, '/status')).running === 0,
      'side 0',
    );
  });

  test('a stream resumes from the last token when the network silently drops its connection', async () => {
    const { result, expected } = await requestWithFailure('connection forgotten', async (busy) => {
      await callJson(fleet.relay.port, '/fault', { name: nodeAt(busy).name, fault: RelayFault.Forget });
    });
    assert.equal(result.text, expected);
  });

  test('a stream resumes at another side when its link is cut permanently', async () => {
    let name = '';
    const { result, expected } = await requestWithFailure('link cut', async (busy) => {
      name = nodeAt(busy).name;
      await callJson(fleet.relay.port, '/fault', { name, fault: RelayFault.Cut });
    });
    await callJson(fleet.relay.port, '/fault', { name, fault: RelayFault.None });
    assert.equal(result.text, expected);
  });

  test('engine memory is released when a caller disconnects', async () => {
    const abort = new AbortController();
    const result = await requestCompletion({
      port: fleet.entries[0]?.callerPort ?? 0,
      key: fleet.keyOf('patan'),
      prompt: makePrompt(50_000, 'caller gone'),
      maxTokens: 10_000,
      deadlineMs: 600_000,
      abort: abort.signal,
      onText: () => {
        abort.abort();
      },
    });
    assert.notEqual(result.outcome, 'complete');
  });

  test('engine memory is released when an entry crashes', async () => {
    const entry = fleet.entries[1];
    const result = await requestCompletion({
      port: entry?.callerPort ?? 0,
      key: fleet.keyOf('patan'),
      prompt: makePrompt(50_000, 'entry gone'),
      maxTokens: 10_000,
      deadlineMs: 600_000,
      onText: () => {
        entry?.process.signal('SIGKILL');
      },
    });
    assert.notEqual(result.outcome, 'complete');
    await entry?.process.exited;
    await entry?.restart();
  });

  test('the caller receives an answer before its deadline when every engine is silent', async () => {
    await Promise.all(fleet.backends.map((backend) => callJson(backend.port, '/fault', EngineFault.Silent)));
    const result = await requestCompletion({
      port: fleet.entries[0]?.callerPort ?? 0,
      key: fleet.keyOf('patan'),
      prompt: makePrompt(1_000, 'all silent'),
      maxTokens: 10,
      deadlineMs: 1_500,
    });
    await Promise.all(fleet.backends.map((backend) => callJson(backend.port, '/fault', EngineFault.None)));
    assert.equal(result.outcome, 'unknown');
    assert.ok(result.elapsedMs < 1_500, `answered after ${String(result.elapsedMs)} ms`);
  });

  test('the caller receives an answer before its deadline when every side is frozen', async () => {
    fleet.sides.forEach((side) => {
      side.process.signal('SIGSTOP');
    });
    const result = await requestCompletion({
      port: fleet.entries[0]?.callerPort ?? 0,
      key: fleet.keyOf('patan'),
      prompt: makePrompt(1_000, 'all frozen'),
      maxTokens: 10,
      deadlineMs: 1_500,
    });
    fleet.sides.forEach((side) => {
      side.process.signal('SIGCONT');
    });
    assert.equal(result.outcome, 'not_run');
    assert.ok(result.elapsedMs < 1_500);
  });

  test('a request that cannot meet its deadline is rejected immediately', async () => {
    const result = await requestCompletion({
      port: fleet.entries[0]?.callerPort ?? 0,
      key: fleet.keyOf('patan'),
      prompt: makePrompt(200_000, 'too late'),
      maxTokens: 100,
      deadlineMs: 300,
    });
    assert.deepEqual([result.outcome, result.reason], ['not_run', 'deadline_unreachable']);
    assert.ok(result.elapsedMs < 200);
  });

  test('a second signal ends a side immediately and reports the requests it aborted', async () => {
    const { result, expected } = await requestWithFailure('second signal', async (busy) => {
      const side = nodeAt(busy);
      side.process.signal('SIGTERM');
      const isLeaving = async (): Promise<boolean> =>
        (await callJson<{ leaving: boolean }>(side.operatorPort, '/status')).leaving;
      await until(isLeaving, 'the first signal is taken');
      side.process.signal('SIGTERM');
      assert.equal(await side.process.exited, 130);
      assert.match(side.process.errors(), /cut/);
      await side.restart();
    });
    assert.equal(result.text, expected);
  });

  test('a rolling restart of every node under load aborts no requests', async () => {
    let isRunning = true;
    const results: Promise<{ readonly result: CallerResult; readonly expected: string }>[] = [];
    const load = (async () => {
      for (let index = 0; isRunning; index += 1) {
        const prompt = makePrompt(1_200, `rolling ${String(index)}`);
        const port = fleet.entries[0]?.callerPort ?? 0;
        const pending = requestCompletion({ port, key: fleet.keyOf('patan'), prompt, maxTokens: 60 });
        results.push(pending.then((result) => ({ result, expected: expectedAnswer(prompt, 60) })));
        await new Promise((resolve) => setTimeout(resolve, 40));
      }
    })();
    for (const side of fleet.sides) {
      side.process.signal('SIGTERM');
      assert.equal(await side.process.exited, 0);
      await side.restart();
      await until(
        async () => (await callJson<{ ready: boolean }>(side.operatorPort, '/status')).ready,
        'ready',
      );
    }
    isRunning = false;
    await load;
    for (const { result, expected } of await Promise.all(results)) {
      assert.equal(result.text, expected);
    }
  });
});
