/** Memory that is set aside for parts of a prompt: all or nothing, renewed, and given back on every way out. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createManualClock, type ManualClock } from '@toucanbend/core';
import {
  type EngineMemory,
  type MemoryError,
  OrderFailure,
  ReleaseCause,
  type Reservation,
  reserveParts,
} from '@toucanbend/forwarding';
import { type Logger } from '@toucanbend/observability';
import { type Helper } from '@toucanbend/placement';
import { type BackendServer, ServerState } from '@toucanbend/registry';
import { err, ok } from 'neverthrow';

const ignore = (): void => undefined;
const logger: Logger = { decision: ignore, info: ignore, warn: ignore, error: ignore, explain: () => [] };
const metrics = { countOrder: ignore };
const declined = (server: string): MemoryError => ({
  server,
  failure: OrderFailure.Refused,
  message: 'status 409',
});
const settle = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));

function helper(id: string, keepsPart = true): Helper {
  const server: BackendServer = {
    id,
    service: 'model',
    host: '10.0.0.1',
    port: 80,
    dataCentre: 'bagmati-a',
    slots: 4,
    state: ServerState.Ready,
    bornAtMs: 0,
  };
  return { server, partTokens: 100_000, keepsPart };
}

interface Engines {
  readonly calls: string[];
  readonly clock: ManualClock;
  reserve(...helpers: readonly Helper[]): Promise<Reservation | readonly unknown[]>;
}

/** Engines that record orders; those named in `refusing` refuse to set memory aside, or to release it once. */
function createEngines(refusing: { reserve?: string; firstRelease?: string } = {}): Engines {
  const calls: string[] = [];
  const clock = createManualClock();
  let hasRefusedRelease = false;
  const memory: EngineMemory = {
    reserve: (server, name) => {
      calls.push(`reserve ${name} at ${server.id}`);
      return Promise.resolve(server.id === refusing.reserve ? err(declined(server.id)) : ok());
    },
    release: (server, name) => {
      calls.push(`release ${name} at ${server.id}`);
      const refuses = server.id === refusing.firstRelease && !hasRefusedRelease;
      hasRefusedRelease ||= refuses;
      const error = { server: server.id, failure: OrderFailure.Unanswered, message: 'no answer' };
      return Promise.resolve(refuses ? err(error) : ok());
    },
    list: () => Promise.resolve(ok([{ name: 'r1', isUsed: true }])),
  };
  return {
    calls,
    clock,
    reserve: (...helpers) =>
      reserveParts(
        { clock, logger, memory, metrics, memoryBounds: { returnMs: 4_000, unusedMs: 9_000 } },
        { requestId: 'r', name: 'r1', server: helper('first').server },
        helpers,
      ),
  };
}

async function reserveWell(engines: Engines, ...helpers: readonly Helper[]): Promise<Reservation> {
  const reserved = await engines.reserve(...helpers);
  assert.ok('release' in reserved);
  return reserved;
}

describe('memory for parts of a prompt', () => {
  it('is set aside only at helpers that keep a part', async () => {
    const engines = createEngines();
    await reserveWell(engines, helper('e1'), helper('e2', false));
    assert.deepEqual(engines.calls, ['reserve r1 at e1']);
  });

  it('is given back everywhere where one engine refuses, also where the answer may have been lost', async () => {
    const engines = createEngines({ reserve: 'e2' });
    const reserved = await engines.reserve(helper('e1'), helper('e2'));
    assert.deepEqual(reserved, [declined('e2')]);
    assert.deepEqual(engines.calls.slice(2), ['release r1 at e1', 'release r1 at e2']);
  });

  it('is renewed before its hold ends, and no more after its release', async () => {
    const engines = createEngines();
    const reserved = await reserveWell(engines, helper('e1'));
    for (let second = 0; second < 3; second += 1) {
      engines.clock.advance(1_000);
      await settle();
    }
    assert.equal(engines.calls.filter((call) => call.startsWith('reserve')).length, 4);
    reserved.release(ReleaseCause.Ended);
    engines.clock.advance(10_000);
    await settle();
    assert.deepEqual(engines.calls.slice(4), ['release r1 at e1']);
  });

  it('is released once however often that is asked for', async () => {
    const engines = createEngines();
    const reserved = await reserveWell(engines, helper('e1'));
    reserved.release(ReleaseCause.Ended);
    reserved.release(ReleaseCause.Ended);
    assert.equal(engines.calls.filter((call) => call.startsWith('release')).length, 1);
  });

  it('is released once more where the first order got no answer', async () => {
    const engines = createEngines({ firstRelease: 'e1' });
    const reserved = await reserveWell(engines, helper('e1'));
    reserved.release(ReleaseCause.Ended);
    await settle();
    engines.clock.advance(300);
    await settle();
    assert.equal(engines.calls.filter((call) => call.startsWith('release')).length, 2);
  });
});
