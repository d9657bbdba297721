/**
 * Removals that an entry misses while others read the store for it. Guards against servers that stay in use after they have left,
 * since the entry took the records of one that does not know their removal for complete.
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createManualClock, createRandom, type ManualClock } from '@toucanbend/core';
import {
  applyTransfer,
  createFollower,
  createRegistryHolder,
  createStoreHealth,
  type Follower,
  type RegistryHolder,
  type StoreHealth,
} from '@toucanbend/membership';
import { type Logger } from '@toucanbend/observability';
import { listServers, RecordKind, ServerState, transferOf } from '@toucanbend/registry';
import { CopiedStore } from './support/copied-store.js';

const ignore = (): void => undefined;
const logger: Logger = { decision: ignore, info: ignore, warn: ignore, error: ignore, explain: () => [] };
const settings = { waitMs: 1_000, intervalMs: 500, isShared: true };
/** Time within which what is held back is dropped, in milliseconds. */
const HELD_MS = 3_000;

interface Entry {
  readonly holder: RegistryHolder;
  readonly follower: Follower;
  readonly storeHealth: StoreHealth;
  servers(): string[];
  revision(): number;
}

class Deployment {
  readonly store = new CopiedStore();
  readonly clock: ManualClock = createManualClock();

  constructor(...ids: readonly string[]) {
    ids.forEach((id) => {
      this.add(id);
    });
  }

  add(id: string): void {
    const address = { host: '10.0.0.1', port: 80, dataCentre: 'bagmati-a' };
    const value = { id, service: 'vanes', slots: 4, state: ServerState.Ready, bornAtMs: 7, ...address };
    this.store.write(RecordKind.Server, id, value);
  }

  remove(id: string): void {
    this.store.remove(RecordKind.Server, id);
  }

  async start(isReader: () => boolean): Promise<Entry> {
    const { clock, store } = this;
    const holder = createRegistryHolder({ clock, logger, expiryMs: 3_600, onDeferred: ignore });
    const storeHealth = createStoreHealth(clock, logger);
    const follower = createFollower({
      source: store,
      holder,
      clock,
      random: createRandom(1),
      logger,
      watchSettings: { [RecordKind.Server]: settings },
      storeHealth,
      linkedEntryCount: () => 2,
      isReader,
      onChanges: ignore,
    });
    follower.start();
    await this.advance(0);
    return {
      holder,
      follower,
      storeHealth,
      servers: () => listServers(holder.current()).map(({ id }) => id),
      revision: () => holder.current().positions[RecordKind.Server].revision,
    };
  }

  async advance(ms: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs <= ms; elapsedMs += 100) {
      this.clock.advance(elapsedMs === 0 ? 0 : 100);
      await new Promise((resolve) => setImmediate(resolve));
    }
  }
}

/** Transfers the records that an entry lacks from another one, all of them if it asks for that. */
function pull(to: Entry, from: Entry, mayList: boolean): void {
  const transfer = transferOf(from.holder.current(), to.holder.current().positions, mayList);
  applyTransfer(to.holder, to.follower.applyListing, transfer, 'peer');
}

const never = (): boolean => false;
const always = (): boolean => true;

describe('an entry that pulls from one that has started after a removal', () => {
  it('still gets the removal from an entry that knows it', async () => {
    const deployment = new Deployment('s1', 's2');
    const reader = await deployment.start(always);
    const other = await deployment.start(never);
    deployment.remove('s1');
    const started = await deployment.start(never);
    deployment.add('s3');
    await deployment.advance(1_500);
    pull(other, started, false);
    assert.deepEqual(other.servers(), ['s1', 's2']);
    pull(other, reader, false);
    assert.deepEqual(other.servers(), ['s2', 's3']);
  });

  it('still reads the removal from the store if it reads for the others', async () => {
    const deployment = new Deployment('s1', 's2');
    let isReader = false;
    const other = await deployment.start(() => isReader);
    deployment.remove('s1');
    const started = await deployment.start(always);
    pull(other, started, false);
    isReader = true;
    await deployment.advance(1_500);
    assert.deepEqual(other.servers(), ['s2']);
  });

  it('drops the server where no entry knows the removal any more', async () => {
    const deployment = new Deployment('s1', 's2');
    const other = await deployment.start(never);
    deployment.remove('s1');
    const started = await deployment.start(always);
    pull(other, started, true);
    assert.deepEqual(other.servers(), ['s2']);
    assert.equal(other.revision(), started.revision());
    deployment.remove('s2');
    await deployment.advance(1_000);
    pull(other, started, false);
    assert.deepEqual(other.servers(), [], 'later changes make it complete');
  });

  it('does the same where that entry lists again since the store has lost the history', async () => {
    const deployment = new Deployment('s1');
    const relisted = await deployment.start(always);
    deployment.add('s2');
    const other = await deployment.start(never);
    deployment.remove('s2');
    deployment.add('s3');
    deployment.store.forgetHistory();
    await deployment.advance(1_500);
    pull(other, relisted, true);
    assert.deepEqual(other.servers(), ['s1', 's3']);
  });
});

describe('an entry that receives all records from another one', () => {
  it('keeps the servers that are missing for a while if it does not reach the store, since they may have lapsed', async () => {
    const deployment = new Deployment('s1', 's2');
    const other = await deployment.start(never);
    other.storeHealth.failed('renew', 'no answer', deployment.clock.now());
    deployment.remove('s1');
    const started = await deployment.start(always);
    pull(other, started, true);
    assert.deepEqual(other.servers(), ['s1', 's2']);
    deployment.add('s1');
    await deployment.advance(1_000);
    pull(other, started, true);
    await deployment.advance(HELD_MS);
    assert.deepEqual(other.servers().sort(), ['s1', 's2'], 's1 has registered again');
  });

  it('drops them after that also if it receives the records again and again', async () => {
    const deployment = new Deployment('s1', 's2');
    const other = await deployment.start(never);
    other.storeHealth.failed('renew', 'no answer', deployment.clock.now());
    deployment.remove('s1');
    const started = await deployment.start(always);
    for (let elapsedMs = 0; elapsedMs < HELD_MS; elapsedMs += 500) {
      pull(other, started, true);
      await deployment.advance(500);
    }
    assert.deepEqual(other.servers(), ['s2']);
  });

  it('keeps those for a while that an older copy of the store lacks, also if it has not noticed the copy', async () => {
    const deployment = new Deployment('s1');
    const copy = deployment.store.copy();
    deployment.add('s2');
    const other = await deployment.start(never);
    // The entry makes no call, so that no answer tells it of the new era.
    const copied = new Deployment();
    copied.store.restore(copy);
    const started = await copied.start(always);
    pull(other, started, true);
    assert.deepEqual(other.servers(), ['s1', 's2']);
  });
});
