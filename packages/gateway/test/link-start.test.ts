/** When an entry that has started opens its links. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createManualClock, type ManualClock } from '@toucanbend/core';
import { isLinking, whenLinksOpen } from '../src/link-start.js';

interface Start {
  readonly clock: ManualClock;
  configure(): void;
  loseStore(): void;
  isOpen(): Promise<boolean>;
}

function start(): Start {
  const clock = createManualClock();
  const ignore = (): void => undefined;
  let configure = ignore;
  let loseStore = ignore;
  let isOpen = false;
  const configured = new Promise<void>((resolve) => {
    configure = resolve;
  });
  const waitForConfiguration = (waitMs: number): Promise<void> =>
    Promise.race([configured, new Promise<void>((resolve) => clock.after(waitMs, resolve))]);
  const onStoreUnreachable = (handle: () => void): void => {
    loseStore = handle;
  };
  void whenLinksOpen({ waitForConfiguration, onStoreUnreachable }).then(() => {
    isOpen = true;
  });
  return {
    clock,
    configure: () => {
      configure();
    },
    loseStore: () => {
      loseStore();
    },
    isOpen: async () => {
      await new Promise((resolve) => setImmediate(resolve));
      return isOpen;
    },
  };
}

describe('the links of an entry that has started', () => {
  it('are opened when the configuration is known', async () => {
    const { configure, isOpen } = start();
    assert.equal(await isOpen(), false);
    configure();
    assert.equal(await isOpen(), true);
  });

  it('are opened at the first failed call to the store, so that the others can tell the configuration', async () => {
    const { loseStore, isOpen } = start();
    loseStore();
    assert.equal(await isOpen(), true);
  });

  it('are opened soon if the store does not answer', async () => {
    const { clock, isOpen } = start();
    clock.advance(399);
    assert.equal(await isOpen(), false);
    clock.advance(1);
    assert.equal(await isOpen(), true);
  });
});

describe('an entry that starts beside others', () => {
  it('leaves watching the store to them until it is linked to half of them, for a second at most', () => {
    assert.ok(isLinking(300, 0, 29));
    assert.ok(isLinking(300, 14, 29));
    assert.ok(!isLinking(300, 15, 29));
    assert.ok(!isLinking(1_000, 0, 29));
  });

  it('watches the store at once if it is the only one', () => {
    assert.ok(!isLinking(0, 0, 0));
    assert.ok(!isLinking(0, 0, -1));
  });
});
