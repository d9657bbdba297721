import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  addRequest,
  advanceEngine,
  type EngineParameters,
  EngineRun,
  type EngineState,
  ExpectedEnd,
  idleEngine,
  newRequest,
  observeTokens,
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

/** Runs passes until a request has its first token, and gives the time. */
function firstTokenMs(state: EngineState, id: string, parameters = engine): number {
  const run = new EngineRun(parameters, state, ExpectedEnd.Leaves);
  let hasStarted = false;
  while (!hasStarted) {
    run.pass(
      () => undefined,
      (started) => {
        hasStarted ||= started === id;
      },
    );
  }
  return run.passStartsAtMs;
}

describe('the model of an engine', () => {
  it('prefills a lone prompt at the published speed, with one step a chunk', () => {
    const chunks = Math.ceil(20_000 / engine.chunkTokens);
    assert.ok(
      Math.abs(firstTokenMs(stateWith(20_000), 'r0') - (prefillMs(engine, 0, 20_000) + chunks)) < 1e-6,
    );
  });

  it('takes as long for a prompt as for its two halves one after the other', () => {
    const halves = prefillMs(engine, 0, 5_000) + prefillMs(engine, 5_000, 5_000);
    assert.ok(Math.abs(prefillMs(engine, 0, 10_000) - halves) < 1e-6);
  });

  it('lengthens the pass of a generating request by the prompts that are prefilled beside it', () => {
    const generating = observeTokens(stateWith(1_000), 'r0', 0, 0);
    const beside = addRequest(generating, newRequest('long', { promptTokens: 40_000, answerTokens: 43 }));
    const alone = new EngineRun(engine, generating, ExpectedEnd.Leaves);
    const both = new EngineRun(engine, beside, ExpectedEnd.Leaves);
    const ignore = (): void => undefined;
    assert.equal(alone.pass(ignore, ignore), 43);
    assert.equal(both.pass(ignore, ignore), 43 + prefillMs(engine, 0, 40_000));
  });

  it('holds a prompt back that finds no slot, or no memory', () => {
    const noSlot = stateWith(1_000, 1_000, 1_000);
    const noMemory = stateWith(150_000, 100_000);
    assert.ok(firstTokenMs(noSlot, 'r2') > 430);
    assert.ok(firstTokenMs(noMemory, 'r1') > firstTokenMs(stateWith(150_000), 'r0') + 430);
  });

  it('prefills a part with its share of the pairs, before other prompts', () => {
    const part = newRequest('part', { promptTokens: 50_000, answerTokens: 43, wholeTokens: 100_000 });
    const state = addRequest(stateWith(50_000), part);
    const run = new EngineRun(engine, state, ExpectedEnd.Leaves);
    const order: string[] = [];
    while (order.length < 2) {
      run.pass(
        () => undefined,
        (id) => order.push(id),
      );
    }
    assert.deepEqual(order, ['part', 'r0']);
    assert.ok(firstTokenMs(addRequest(idleEngine, part), 'part') > firstTokenMs(stateWith(50_000), 'r0'));
  });

  it('keeps a request until its end is seen, however long its answer', () => {
    const later = advanceEngine(engine, stateWith(1_000), 60_000);
    assert.equal(later.requests.length, 1);
    assert.ok(later.passStartsAtMs > 60_000);
  });

  it('does not count the pass that runs at the time twice', () => {
    const once = advanceEngine(engine, stateWith(5_000), 500);
    assert.deepEqual(advanceEngine(engine, once, 500), once);
  });

  it('takes an event as the end of the nearest pass', () => {
    const running = advanceEngine(engine, stateWith(1_000), 500);
    const early = observeTokens(running, 'r0', 86, running.passStartsAtMs - 5);
    const late = observeTokens(running, 'r0', 86, running.passStartsAtMs - running.lastPassMs + 5);
    assert.equal(early.passStartsAtMs, running.passStartsAtMs - 5);
    assert.equal(late.passStartsAtMs, running.passStartsAtMs + 5);
  });

  it('takes longer where the engine is slow', () => {
    const state = stateWith(20_000);
    const slow = firstTokenMs(state, 'r0', slowEngine(engine, 3));
    assert.ok(Math.abs(slow - 3 * firstTokenMs(state, 'r0')) < 1e-6);
  });
});
