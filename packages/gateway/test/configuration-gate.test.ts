/** When an entry that starts knows enough to serve requests. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createManualClock, type ManualClock } from '@toucanbend/core';
import { createRegistryHolder, type RegistryHolder } from '@toucanbend/membership';
import { RecordKind, type RegistryRecord } from '@toucanbend/registry';
import { silentLogger as logger } from '../../../fakes/silent-logger.js';
import { type ConfigurationGate, createConfigurationGate } from '../src/configuration-gate.js';

const BOUND_MS = 5_000;
const position = { era: 1, revision: 7 };
const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
const catalogue: RegistryRecord = {
  kind: RecordKind.Catalogue,
  id: '',
  position,
  value: { version: 3, routes: [], services: [], accounts: [], limits },
};

function start(maxEvacuationMs: number | undefined): {
  gate: ConfigurationGate;
  holder: RegistryHolder;
  clock: ManualClock;
} {
  const clock = createManualClock();
  const holder = createRegistryHolder({ clock, logger, expiryMs: 3_600, onDeferred: () => undefined });
  return { gate: createConfigurationGate({ holder, clock, logger, maxEvacuationMs }), holder, clock };
}

describe('an entry that starts', () => {
  it('is configured with the catalogue where there are no evacuations', () => {
    const { gate, holder } = start(undefined);
    assert.equal(gate.isConfigured(), false);
    holder.merge([catalogue], {});
    assert.equal(gate.isConfigured(), true);
  });

  it('waits for the evacuations too, from the store or from another entry', async () => {
    const { gate, holder, clock } = start(BOUND_MS);
    holder.merge([catalogue], {});
    assert.equal(gate.isConfigured(), false);
    let isWaiting = true;
    const waited = gate.wait(BOUND_MS).then(() => (isWaiting = false));
    clock.advance(BOUND_MS - 1);
    await Promise.resolve();
    assert.equal(isWaiting, true);
    holder.merge([], { [RecordKind.Evacuation]: position }, 'entry-2');
    await waited;
    assert.equal(gate.isConfigured(), true);
  });

  it('serves without them if they cannot be read for as long as they may take to be in force', () => {
    const { gate, holder, clock } = start(BOUND_MS);
    holder.merge([catalogue], {});
    clock.advance(BOUND_MS);
    assert.equal(gate.isConfigured(), true);
  });
});
