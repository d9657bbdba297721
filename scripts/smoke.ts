/** Sends one completion and one confirmation through the built binary, which is started with an empty environment. */
import assert from 'node:assert/strict';
import { requestCompletion, callService, makePrompt } from '../fakes/caller.js';
import { CONFIRM_PATH, startFleet } from '../fakes/fleet.js';
import { expectedAnswer } from '../fakes/text.js';

const fleet = await startFleet({
  dataCentres: [{ name: 'dc-1', region: 'bagmati' }],
  entries: [{ name: 'entry-1', dataCentre: 'dc-1' }],
  backends: [
    { name: 'engine-1', dataCentre: 'dc-1', engine: { prefillTokensPerMs: 400, iterationMs: 2 } },
    { name: 'orders-1', dataCentre: 'dc-1' },
  ],
  accounts: [{ name: 'patan' }],
  binary: 'toucanbend',
});
try {
  const port = fleet.entries[0]?.callerPort ?? 0;
  const key = fleet.keyOf('patan');
  const prompt = makePrompt(2_000, 'smoke');
  const answer = await requestCompletion({ port, key, prompt, maxTokens: 16 });
  assert.equal(answer.text, expectedAnswer(prompt, 16));
  const confirmed = await callService({
    port,
    key,
    path: CONFIRM_PATH,
    body: 'one vane',
    idempotencyKey: 'smoke',
  });
  assert.equal(confirmed.outcome, 'complete');
  process.stdout.write('the built binary answered one completion and one confirmation\n');
} finally {
  await fleet.stop();
}
process.exit(0);
