/**
 * Removals of servers after the store was away. Guards against live servers that are dropped since their registrations have lapsed,
 * and against servers that stay in use although they have left when the store was stable again.
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createManualClock, createRandom, type ManualClock } from '@toucanbend/core';
import {
  createFollower,
  createRegistryHolder,
  createStoreHealth,
  type StoreHealth,
} from '@toucanbend/membership';
import { type Logger } from '@toucanbend/observability';
import {
  listServers,
  RecordKind,
  type RegistrySource,
  ServerState,
  SourceErrorKind,
} from '@toucanbend/registry';
import { err } from 'neverthrow';
import { CopiedStore } from './support/copied-store.js';

const ignore = (): void => undefined;
const logger: Logger = { decision: ignore, info: ignore, warn: ignore, error: ignore, explain: () => [] };
const watchSettings = {
  [RecordKind.Catalogue]: { waitMs: 2_000, intervalMs: 200, isShared: false },
  [RecordKind.Server]: { waitMs: 2_000, intervalMs: 400, isShared: true },
  [RecordKind.Entry]: { waitMs: 5_000, intervalMs: 1_000, isShared: true },
};
const STEP_MS = 50;
const OUTAGE_MS = 4_500;
/** Time from the return of the store until it counts as stable, in milliseconds. */
const STABLE_MS = 3_000;
/** Time within which running servers have registered again, in milliseconds. */
const REGISTERED_AGAIN_MS = 1_900;
/** Time in which an entry that reads the store must apply a removal, in milliseconds: others get it from this entry in time. */
const APPLIED_MS = 1_500;
const TIMEOUT_MARGIN_MS = 700;

enum Mode {
  Answering,
  Silent,
  Resetting,
}

/** A store whose watches wait for changes, and that can be away: calls that are pending then are never answered. */
class LeavingStore extends CopiedStore {
  readonly #clock: ManualClock;
  #mode = Mode.Answering;
  /** Number of times that the store has gone away. */
  #outages = 0;

  constructor(clock: ManualClock) {
    super();
    this.#clock = clock;
  }

  setMode(mode: Mode): void {
    this.#outages += mode === Mode.Answering ? 0 : 1;
    this.#mode = mode;
  }

  override list(kind: RecordKind): ReturnType<RegistrySource['list']> {
    return this.#mode === Mode.Answering ? super.list(kind) : this.#fail(1_500);
  }

  override async watch(
    kind: RecordKind,
    position: { readonly era: number; readonly revision: number },
    waitMs = 0,
  ): ReturnType<RegistrySource['watch']> {
    if (this.#mode !== Mode.Answering) {
      return this.#fail(waitMs + TIMEOUT_MARGIN_MS);
    }
    const outages = this.#outages;
    for (let waitedMs = 0; ; waitedMs += STEP_MS) {
      if (outages !== this.#outages) {
        return this.#fail(waitMs + TIMEOUT_MARGIN_MS - waitedMs);
      }
      const answer = await super.watch(kind, position);
      if (answer.isErr() || answer.value.records.length > 0 || waitedMs >= waitMs) {
        return answer;
      }
      await this.#wait(STEP_MS);
    }
  }

  async #fail(timeoutMs: number): Promise<ReturnType<typeof unreachable>> {
    if (this.#mode !== Mode.Resetting) {
      await this.#wait(timeoutMs);
    }
    return unreachable();
  }

  #wait(ms: number): Promise<void> {
    return new Promise((resolve) => {
      this.#clock.after(ms, resolve);
    });
  }
}

const unreachable = () => err({ kind: SourceErrorKind.Unreachable, message: 'no answer' });

class Deployment {
  readonly clock = createManualClock();
  readonly store = new LeavingStore(this.clock);
  readonly storeHealth: StoreHealth = createStoreHealth(this.clock, logger);
  readonly #holder = createRegistryHolder({
    clock: this.clock,
    logger,
    expiryMs: 3_600,
    onDeferred: ignore,
  });

  constructor(seed: number) {
    ['lapsing', 'leaving'].forEach((id) => {
      this.register(id);
    });
    createFollower({
      source: this.store,
      holder: this.#holder,
      clock: this.clock,
      random: createRandom(seed),
      logger,
      watchSettings,
      storeHealth: this.storeHealth,
      linkedEntryCount: () => 4,
      isReader: () => true,
      onChanges: ignore,
    }).start();
  }

  register(id: string): void {
    const address = { host: '10.0.0.1', port: 80, dataCentre: 'bagmati-a' };
    const value = { id, service: 'vanes', slots: 4, state: ServerState.Ready, bornAtMs: 7, ...address };
    this.store.write(RecordKind.Server, id, value);
  }

  remove(id: string): void {
    this.store.remove(RecordKind.Server, id);
  }

  servers(): string[] {
    return listServers(this.#holder.current())
      .map(({ id }) => id)
      .sort();
  }

  async advance(ms: number, check: () => void = ignore): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += STEP_MS) {
      this.clock.advance(STEP_MS);
      await new Promise((resolve) => setImmediate(resolve));
      check();
    }
  }
}

describe('a server that leaves when the store is stable again', () => {
  for (const [name, mode] of [
    ['stayed silent', Mode.Silent],
    ['reset its connections', Mode.Resetting],
  ] as const) {
    it(`is dropped in time after the store ${name}, and one whose registration lapsed is kept`, async () => {
      for (let offsetMs = 3_000; offsetMs <= 5_600; offsetMs += 200) {
        const deployment = new Deployment(offsetMs);
        const { store } = deployment;
        const keepsLapsed = (): void => {
          assert.ok(deployment.servers().includes('lapsing'), `offset ${String(offsetMs)}`);
        };
        await deployment.advance(offsetMs);
        store.setMode(mode);
        await deployment.advance(OUTAGE_MS);
        deployment.remove('lapsing');
        store.setMode(Mode.Answering);
        await deployment.advance(REGISTERED_AGAIN_MS, keepsLapsed);
        deployment.register('lapsing');
        await deployment.advance(STABLE_MS - REGISTERED_AGAIN_MS, keepsLapsed);
        deployment.remove('leaving');
        await deployment.advance(APPLIED_MS, keepsLapsed);
        assert.deepEqual(deployment.servers(), ['lapsing'], `offset ${String(offsetMs)}`);
      }
    });
  }

  it('is dropped at once if another entry has reported the return of the store early', async () => {
    const deployment = new Deployment(1);
    await deployment.advance(3_000);
    deployment.store.setMode(Mode.Silent);
    await deployment.advance(OUTAGE_MS);
    deployment.store.setMode(Mode.Answering);
    deployment.storeHealth.returned();
    await deployment.advance(STABLE_MS);
    deployment.remove('leaving');
    await deployment.advance(500);
    assert.deepEqual(deployment.servers(), ['lapsing']);
  });
});

describe('the health of the store', () => {
  it('does not change by a call that was made before the last answer and is never answered', () => {
    const clock = createManualClock();
    const health = createStoreHealth(clock, logger);
    clock.advance(1_000);
    health.answered();
    health.failed('server', 'no answer', 900);
    assert.equal(health.isReachable(), true);
    health.failed('server', 'no answer', 1_000);
    assert.equal(health.isReachable(), false);
  });

  it('takes the time of the return from another entry, unless a later call has failed', () => {
    for (const [failedCallAtMs, expectedMs] of [
      [4_900, 5_000],
      [5_100, 7_000],
    ] as const) {
      const clock = createManualClock();
      const health = createStoreHealth(clock, logger);
      let returnedAtMs: number | undefined;
      health.onReachable((outage) => {
        ({ returnedAtMs } = outage);
      });
      health.answered();
      clock.advance(5_000);
      health.returned();
      clock.advance(1_000);
      health.returned();
      health.failed('renew', 'no answer', failedCallAtMs);
      clock.advance(1_000);
      health.answered();
      assert.equal(returnedAtMs, expectedMs);
    }
  });
});
