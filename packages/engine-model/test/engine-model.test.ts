import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  addRequest,
  advanceEngine,
  type EngineParameters,
  EngineSimulation,
  type EngineState,
  ExpectedEnd,
  idleEngine,
  neededTokens,
  newRequest,
  observeTokens,
  PartRole,
  prefillMs,
  slowEngine,
} from '@toucanbend/engine-model';

const engine: EngineParameters = {
  slots: 2,
  memoryTokens: 232_000,
  stepsPerPass: 43,
  chunkTokens: 2_048,
  stepMs: 1,
  generatingMs: 0,
  contextMsPerThousand: 0,
  prefillTokensPerMs: 200,
  attentionMsPerMillionPairs: 0.1,
  helperHopMs: 0,
};

function stateWith(...prompts: readonly number[]): EngineState {
  return prompts.reduce(
    (state, promptTokens, index) =>
      addRequest(state, newRequest(`r${String(index)}`, { promptTokens, answerTokens: 430 })),
    idleEngine,
  );
}

/** Runs passes until a request has its first token, and returns the time of the token in milliseconds. */
function firstTokenMs(state: EngineState, id: string, parameters = engine): number {
  const simulation = new EngineSimulation(parameters, state, ExpectedEnd.Leaves);
  let hasStarted = false;
  while (!hasStarted) {
    simulation.runPass(
      () => undefined,
      (started) => {
        hasStarted ||= started === id;
      },
    );
  }
  return simulation.passStartsAtMs;
}

describe('the engine model', () => {
  it('prefills a single prompt at the published speed, with one step per chunk', () => {
    const chunks = Math.ceil(20_000 / engine.chunkTokens);
    assert.ok(
      Math.abs(firstTokenMs(stateWith(20_000), 'r0') - (prefillMs(engine, 0, 20_000) + chunks)) < 1e-6,
    );
  });

  it('takes as long to prefill a prompt as to prefill its two halves in sequence', () => {
    const halves = prefillMs(engine, 0, 5_000) + prefillMs(engine, 5_000, 5_000);
    assert.ok(Math.abs(prefillMs(engine, 0, 10_000) - halves) < 1e-6);
  });

  it('lengthens the pass of a request in decode by the prefill of other prompts', () => {
    const generating = observeTokens(stateWith(1_000), 'r0', 0, 0);
    const withPrefill = addRequest(
      generating,
      newRequest('long', { promptTokens: 40_000, answerTokens: 43 }),
    );
    const decodeOnly = new EngineSimulation(engine, generating, ExpectedEnd.Leaves);
    const withLongPrompt = new EngineSimulation(engine, withPrefill, ExpectedEnd.Leaves);
    const ignore = (): void => undefined;
    assert.equal(decodeOnly.runPass(ignore, ignore), 43);
    assert.equal(withLongPrompt.runPass(ignore, ignore), 43 + prefillMs(engine, 0, 40_000));
  });

  it('queues a prompt while no slot is free or memory is insufficient', () => {
    const noSlot = stateWith(1_000, 1_000, 1_000);
    const noMemory = stateWith(150_000, 100_000);
    assert.ok(firstTokenMs(noSlot, 'r2') > 430);
    assert.ok(firstTokenMs(noMemory, 'r1') > firstTokenMs(stateWith(150_000), 'r0') + 430);
  });

  it('prefills a part of a prompt before other prompts, with its share of the token pairs', () => {
    const part = newRequest('part', {
      promptTokens: 50_000,
      answerTokens: 43,
      part: { role: PartRole.LeaderOfHolders, wholeTokens: 100_000, readyAtMs: 0 },
    });
    const state = addRequest(stateWith(50_000), part);
    const simulation = new EngineSimulation(engine, state, ExpectedEnd.Leaves);
    const order: string[] = [];
    while (order.length < 2) {
      simulation.runPass(
        () => undefined,
        (id) => order.push(id),
      );
    }
    assert.deepEqual(order, ['part', 'r0']);
    assert.ok(firstTokenMs(addRequest(idleEngine, part), 'part') > firstTokenMs(stateWith(50_000), 'r0'));
  });

  it('prefills the newest part first', () => {
    const partOf = (id: string): ReturnType<typeof newRequest> =>
      newRequest(id, {
        promptTokens: 30_000,
        answerTokens: 43,
        part: { role: PartRole.Reader, wholeTokens: 90_000, readyAtMs: 0 },
      });
    const state = addRequest(addRequest(idleEngine, partOf('older')), partOf('newer'));
    assert.ok(firstTokenMs(state, 'newer') < firstTokenMs(state, 'older'));
  });

  it('drops a part for another engine once it is prefilled, and counts no slot and no memory for it', () => {
    const part = { role: PartRole.Reader, wholeTokens: 230_000, readyAtMs: 0 };
    const state = addRequest(
      stateWith(1_000, 1_000),
      newRequest('part', { promptTokens: 20_000, answerTokens: 43, part }),
    );
    assert.equal(neededTokens(state), 2_000);
    assert.ok(firstTokenMs(state, 'r1') < firstTokenMs(stateWith(1_000, 1_000, 1_000), 'r2'));
    const later = advanceEngine(engine, state, 1_000);
    assert.deepEqual(
      later.requests.map((request) => request.id),
      ['r0', 'r1'],
    );
  });

  it('lets a leader keep the whole prompt and generate only when all parts are ready', () => {
    const part = { role: PartRole.Leader, wholeTokens: 100_000, readyAtMs: 2_000 };
    const leader = newRequest('leader', { promptTokens: 10_000, answerTokens: 430, part });
    const state = addRequest(idleEngine, leader);
    assert.equal(neededTokens(state), 100_000);
    assert.equal(advanceEngine(engine, state, 1_500).requests[0]?.generatedTokens, 0);
    assert.ok((advanceEngine(engine, state, 2_200).requests[0]?.generatedTokens ?? 0) > 0);
  });

  it('keeps a request until its end is reported, however long its answer is', () => {
    const later = advanceEngine(engine, stateWith(1_000), 60_000);
    assert.equal(later.requests.length, 1);
    assert.ok(later.passStartsAtMs > 60_000);
  });

  it('does not run the current pass twice when it is advanced to the same time again', () => {
    const once = advanceEngine(engine, stateWith(5_000), 500);
    assert.deepEqual(advanceEngine(engine, once, 500), once);
  });

  it('treats an event as the end of the nearest pass', () => {
    const running = advanceEngine(engine, stateWith(1_000), 500);
    const early = observeTokens(running, 'r0', 86, running.passStartsAtMs - 5);
    const late = observeTokens(running, 'r0', 86, running.passStartsAtMs - running.lastPassMs + 5);
    assert.equal(early.passStartsAtMs, running.passStartsAtMs - 5);
    assert.equal(late.passStartsAtMs, running.passStartsAtMs + 5);
  });

  it('scales durations with the slowdown of the engine', () => {
    const state = stateWith(20_000);
    const slow = firstTokenMs(state, 'r0', slowEngine(engine, 3));
    assert.ok(Math.abs(slow - 3 * firstTokenMs(state, 'r0')) < 1e-6);
  });
});
