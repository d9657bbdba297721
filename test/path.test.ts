/** End-to-end tests on real processes: completions, confirmations and graceful shutdown. */
import assert from 'node:assert/strict';
import { after, before, describe, test } from 'node:test';
import { requestCompletion, callService, makePrompt } from '../fakes/caller.js';
import { callJson, CONFIRM_PATH, type Fleet, type FleetNode, startFleet, until } from '../fakes/fleet.js';
import { expectedAnswer } from '../fakes/text.js';

const ENGINE = { prefillTokensPerMs: 400, iterationMs: 2, perAnswerMs: 0.02 };

describe('the whole path', () => {
  let fleet: Fleet;
  before(async () => {
    fleet = await startFleet({
      dataCentres: [{ name: 'dc-1', region: 'bagmati' }],
      entries: [
        { name: 'entry-1', dataCentre: 'dc-1' },
        { name: 'entry-2', dataCentre: 'dc-1' },
      ],
      backends: [
        { name: 'engine-1', dataCentre: 'dc-1', engine: ENGINE },
        { name: 'engine-2', dataCentre: 'dc-1', engine: ENGINE },
        { name: 'orders-1', dataCentre: 'dc-1' },
      ],
      accounts: [{ name: 'patan' }, { name: 'gone', closed: true }, { name: 'narrow', maxConcurrent: 1 }],
    });
  });
  after(() => fleet.stop());

  const sendRequest = (
    entry: number,
    prompt: string,
    maxTokens: number,
  ): ReturnType<typeof requestCompletion> =>
    requestCompletion({
      port: fleet.entries[entry]?.callerPort ?? 0,
      key: fleet.keyOf('patan'),
      prompt,
      maxTokens,
    });

  /** Sends the stop signal to the side that serves a stream. */
  const stopBusySide = async (): Promise<FleetNode | undefined> => {
    const states = await Promise.all(
      fleet.sides.map((side) => callJson<{ running: number }>(side.operatorPort, '/status')),
    );
    const busy = fleet.sides[states.findIndex((state) => state.running > 0)];
    assert.ok(busy !== undefined, 'no side is busy');
    busy.process.signal('SIGTERM');
    return busy;
  };

  for (const tokens of [1_000, 200_000]) {
    test(`a prompt of ${String(tokens)} tokens is answered whole`, async () => {
      const prompt = makePrompt(tokens, `whole ${String(tokens)}`);
      const result = await sendRequest(0, prompt, 20);
      assert.equal(result.outcome, 'complete');
      assert.equal(result.text, expectedAnswer(prompt, 20));
    });
  }

  const post = async (key: string, path: string, body: string): Promise<number> => {
    const port = fleet.entries[0]?.callerPort ?? 0;
    const headers = { authorization: `Bearer ${key}` };
    return (await fetch(`http://127.0.0.1:${String(port)}${path}`, { method: 'POST', headers, body })).status;
  };

  test('wrong keys, closed accounts and invalid input are rejected, each with its own status', async () => {
    const key = fleet.keyOf('patan');
    const good = JSON.stringify({ model: 'model-a', prompt: 'a quote', max_tokens: 1 });
    assert.equal(await post('wrong', '/v1/completions', good), 401);
    assert.equal(await post(fleet.keyOf('gone'), '/v1/completions', good), 403);
    assert.equal(await post(key, '/v1/completions', '{'), 400);
    assert.equal(await post(key, '/v1/completions', '{"model":"model-a","prompt":"","max_tokens":-1}'), 400);
    assert.equal(await post(key, '/v1/completions', good.replace('model-a', 'model-b')), 404);
    assert.equal(await post(key, '/nowhere', good), 404);
    assert.equal(await post(key, '/v1/completions', good), 200);
  });

  test('an account at its concurrency limit has a further request rejected', async () => {
    const prompt = makePrompt(1_000, 'narrow');
    const port = fleet.entries[0]?.callerPort ?? 0;
    const key = fleet.keyOf('narrow');
    let second: Promise<number> | undefined;
    const first = await requestCompletion({
      port,
      key,
      prompt,
      maxTokens: 100,
      onText: () => {
        second ??= post(key, '/v1/completions', JSON.stringify({ model: 'model-a', prompt, max_tokens: 1 }));
      },
    });
    assert.equal(first.outcome, 'complete');
    assert.equal(await second, 429);
  });

  test('a confirmation runs once when its key is sent repeatedly', async () => {
    const send = (entry: number): ReturnType<typeof callService> =>
      callService({
        port: fleet.entries[entry]?.callerPort ?? 0,
        key: fleet.keyOf('patan'),
        path: CONFIRM_PATH,
        body: 'vane 17',
        idempotencyKey: 'vane-17',
      });
    const results = [await send(0), await send(0), await send(1)];
    assert.deepEqual(
      results.map((result) => result.outcome),
      ['complete', 'complete', 'complete'],
    );
    const runs = await callJson<Record<string, number>>(fleet.backends[2]?.port ?? 0, '/runs');
    assert.deepEqual(runs, { 'vane 17': 1 });
  });

  test('a stopping entry completes its running stream', async () => {
    const prompt = makePrompt(1_000, 'entry stops');
    const entry = fleet.entries[1];
    let isStopped = false;
    const result = await requestCompletion({
      port: entry?.callerPort ?? 0,
      key: fleet.keyOf('patan'),
      prompt,
      maxTokens: 200,
      onText: () => {
        if (!isStopped) {
          isStopped = true;
          entry?.process.signal('SIGTERM');
        }
      },
    });
    assert.equal(result.text, expectedAnswer(prompt, 200));
    assert.equal(await entry?.process.exited, 0);
    await entry?.restart();
  });

  test('a stopping side completes its stream and receives no further probes', async () => {
    const prompt = makePrompt(1_000, 'side stops');
    let stopping: Promise<FleetNode | undefined> | undefined;
    const result = await requestCompletion({
      port: fleet.entries[0]?.callerPort ?? 0,
      key: fleet.keyOf('patan'),
      prompt,
      maxTokens: 200,
      onText: () => {
        stopping ??= stopBusySide();
      },
    });
    assert.equal(result.text, expectedAnswer(prompt, 200));
    const side = await stopping;
    assert.equal(await side?.process.exited, 0);
    const next = await sendRequest(0, makePrompt(1_000, 'after the stop'), 5);
    assert.equal(next.outcome, 'complete');
    await side?.restart();
  });

  test('engines hold no memory while there are no requests', async () => {
    for (const backend of fleet.backends.slice(0, 2)) {
      await until(async () => {
        const status = await callJson<{ usedTokens: number }>(backend.port, '/status');
        return status.usedTokens === 0;
      }, `${backend.name} is empty`);
    }
  });
});
