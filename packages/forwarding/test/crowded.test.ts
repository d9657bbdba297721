/** Short prompts at an entry whose engines have no free place. */
import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';
import { createManualClock, type ManualClock } from '@toucanbend/core';
import { DecisionKind } from '@toucanbend/observability';
import { type Catalogue } from '@toucanbend/registry';
import { smallEngine } from '../../../fakes/engine-parameters.js';
import { catalogue, paths, startTestGateway } from './support/gateway.js';
import { callAs, startScriptedServer } from './support/scripted-server.js';

const open: { close(): void }[] = [];

afterEach(() => {
  open.splice(0).forEach((item) => {
    item.close();
  });
});

const engines: Catalogue = {
  ...catalogue,
  services: [{ name: 'vanes', maxConnections: 20, engine: smallEngine }],
};
const STEP_MS = 20;
/** Far more steps than a prompt waits. */
const MAX_STEPS = 400;

/** Lets time pass in steps until a condition holds, or fails. */
async function stepUntil(clock: ManualClock, stepMs: number, holds: () => boolean): Promise<void> {
  for (let steps = 0; !holds(); steps += 1) {
    assert.ok(steps < MAX_STEPS, 'the condition did not come about');
    clock.advance(stepMs);
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
}

describe('a short prompt at an entry whose engines have no free place', () => {
  it('waits, yields and is rejected as not run, which is logged', { timeout: 20_000 }, async () => {
    const clock = createManualClock();
    const server = await startScriptedServer(() => undefined);
    const gateway = await startTestGateway([server.port], { initialCatalogue: engines, clock });
    open.push(gateway, server);
    const call = (id: string): ReturnType<typeof callAs> => {
      const headers = { 'request-id': id, 'prompt-tokens': '5000', 'answer-tokens': '1300' };
      return callAs({ port: gateway.port, path: paths.stream, headers });
    };
    const running = Array.from({ length: smallEngine.slots }, (_, index) => call(`running${String(index)}`));
    running.forEach(({ result }) => result.catch(() => undefined));
    await stepUntil(clock, 2, () => server.received.length === smallEngine.slots);
    const roomOf = (): unknown[] =>
      gateway.decisions
        .filter(({ decision, fields }) => decision === DecisionKind.Route && 'room' in fields)
        .map(({ fields }) => fields.room);
    const { result } = call('next');
    await stepUntil(clock, 0, () => roomOf().length > 0);
    await stepUntil(clock, STEP_MS, () => roomOf().at(-1) === 'turn_away');
    const answer = await result;
    assert.deepEqual(roomOf(), ['wait', 'yield', 'turn_away']);
    assert.equal(answer.status, 503);
    assert.equal(JSON.parse(answer.body).reason, 'crowded');
    assert.ok(Number(answer.headers['retry-after']) > 0);
    assert.equal(server.received.length, smallEngine.slots);
  });
});
