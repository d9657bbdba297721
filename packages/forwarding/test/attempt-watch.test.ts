/** What the watch of an attempt reports when its server ends. */
import assert from 'node:assert/strict';
import { it } from 'node:test';
import { createManualClock, createRandom } from '@toucanbend/core';
import { type Logger } from '@toucanbend/observability';
import { createQuarantine, type QuarantineUpdate, QuarantineUpdateKind } from '@toucanbend/quarantine';
import { type CallerRequest } from '../src/caller-request.js';
import { createRequestQuarantine } from '../src/request-quarantine.js';

const ignore = (): void => undefined;
const logger: Logger = { decision: ignore, info: ignore, warn: ignore, error: ignore, explain: () => [] };

it('an answer beyond its first event speaks against no part if its connection falls silent', () => {
  const clock = createManualClock(10_000);
  const updates: QuarantineUpdate[] = [];
  const quarantine = createQuarantine({
    clock,
    wallClock: clock.now.bind(clock),
    random: createRandom(1),
    logger,
    broadcast: (update) => updates.push(update),
    publish: () => Promise.resolve(true),
    withdraw: ignore,
  });
  const request = {
    head: { requestId: 'r1', prompt: { sharedParts: ['sound'] } },
    service: { name: 'model' },
    account: 'vane',
    method: 'POST',
    host: 'vanes.example',
    path: '/answers',
    body: Buffer.from('body'),
  } as unknown as CallerRequest;
  const watch = createRequestQuarantine({ quarantine, clock }, request).watch('i-1');
  for (const events of [1, 2, 3]) {
    clock.advance(100);
    watch.progressed(events);
  }
  clock.advance(3_000);
  quarantine.serverEnded('i-1');
  const lost = updates.flatMap((update) =>
    update.kind === QuarantineUpdateKind.Lost ? [update.attempt] : [],
  );
  assert.deepEqual(
    lost.map(({ parts }) => parts),
    [[]],
  );
});
