/** Guards against new requests being placed on a backend server that is draining. */
import assert from 'node:assert/strict';
import { after, before, describe, test } from 'node:test';
import { requestCompletion, makePrompt } from '../fakes/caller.js';
import { callJson, type Fleet, startFleet, until } from '../fakes/fleet.js';

/** Time during which new requests may still arrive after the host list marks a host as leaving. */
const MARK_TARGET_MS = 3_000;

interface SideStatus {
  readonly leaving: boolean;
  readonly running: number;
  readonly queued: Readonly<Record<string, number>>;
}

describe('leaving', () => {
  let fleet: Fleet;
  before(async () => {
    fleet = await startFleet({
      dataCentres: [{ name: 'dc-1', region: 'bagmati' }],
      entries: [{ name: 'entry-1', dataCentre: 'dc-1' }],
      backends: [1, 2].map((index) => ({
        name: `engine-${String(index)}`,
        dataCentre: 'dc-1',
        engine: { iterationMs: 1 },
      })),
      accounts: [{ name: 'patan' }],
    });
  });
  after(() => fleet.stop());

  let requestCount = 0;
  const sendRequest = (): ReturnType<typeof requestCompletion> => {
    requestCount += 1;
    const prompt = makePrompt(1_000, `leaving ${String(requestCount)}`);
    return requestCompletion({
      port: fleet.entries[0]?.callerPort ?? 0,
      key: fleet.keyOf('patan'),
      prompt,
      maxTokens: 2,
    });
  };

  /** Sends a request that must be served; the reason of a rejection is part of the failure. */
  const requireServed = async (): Promise<void> => {
    const { outcome, reason } = await sendRequest();
    assert.deepEqual({ outcome, reason }, { outcome: 'complete', reason: '' });
  };

  const requestsAt = async (index: number): Promise<number> =>
    (await callJson<{ requests: number }>(fleet.backends[index]?.port ?? 0, '/status')).requests;

  /** Sends requests until a number of consecutive requests have not been placed on the first server. */
  const waitUntilAvoided = async (limitMs: number): Promise<void> => {
    await until(
      async () => {
        const before = await requestsAt(0);
        for (let index = 0; index < 8; index += 1) {
          await requireServed();
        }
        return (await requestsAt(0)) === before;
      },
      'the leaving server is avoided',
      limitMs,
    );
  };

  test('a host marked as leaving receives no new requests after three seconds', async () => {
    await fleet.publishHosts(['side-engine-1']);
    await waitUntilAvoided(MARK_TARGET_MS);
  });

  test('a host that is no longer marked as leaving receives requests again', async () => {
    await fleet.publishHosts([]);
    await until(async () => {
      const before = await requestsAt(0);
      await Promise.all([sendRequest(), sendRequest(), sendRequest(), sendRequest()]);
      return (await requestsAt(0)) > before;
    }, 'the first server is used again');
  });

  test('a stopping side accepts no new requests while it completes its running ones', async () => {
    const port = fleet.entries[0]?.callerPort ?? 0;
    const key = fleet.keyOf('patan');
    const prompts = Array.from({ length: 8 }, (_, index) => makePrompt(1_000, `slow ${String(index)}`));
    const beforeSlow = await Promise.all(fleet.sides.map((_, index) => requestsAt(index)));
    const slow = prompts.map((prompt) => requestCompletion({ port, key, prompt, maxTokens: 1_500 }));
    let busy = -1;
    const findBusy = async (): Promise<boolean> => {
      const states = await Promise.all(
        fleet.sides.map((item) => callJson<{ running: number }>(item.operatorPort, '/status')),
      );
      busy = states.findIndex((state) => state.running > 0);
      return busy >= 0;
    };
    await until(findBusy, 'a server is busy');
    const side = fleet.sides[busy];
    /** Requests that were accepted before the signal may still be queued at the side, or on their way to its server. */
    const isLeaving = async (): Promise<boolean> => {
      const status = await callJson<SideStatus>(side?.operatorPort ?? 0, '/status');
      const isQueueEmpty = Object.values(status.queued).every((waiting) => waiting === 0);
      const arrived = (await requestsAt(busy)) - (beforeSlow[busy] ?? 0);
      return status.leaving && isQueueEmpty && arrived === status.running;
    };
    side?.process.signal('SIGTERM');
    await until(isLeaving, 'the signal is taken');
    const before = await requestsAt(busy);
    for (let index = 0; index < 10; index += 1) {
      await requireServed();
    }
    assert.equal(await requestsAt(busy), before);
    const results = await Promise.all(slow);
    assert.ok(results.every((result) => result.outcome === 'complete' && result.tokens === 1_500));
    assert.equal(await side?.process.exited, 0);
  });
});
