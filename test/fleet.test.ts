/** Tests the test harness: a fleet that fails to start. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { startFleet } from '../fakes/fleet.js';

const runningChildren = (): number =>
  process.getActiveResourcesInfo().filter((resource) => resource === 'ProcessWrap').length;

describe('a fleet that does not start', () => {
  it('leaves no process that keeps the tests from ending', { timeout: 60_000 }, async () => {
    const plan = {
      dataCentres: [{ name: 'bagmati-a', region: 'bagmati' }],
      accounts: [{ name: 'patan' }],
      entries: [{ name: 'entry-1', dataCentre: 'bagmati-a' }],
      entrySettings: { unknownSetting: 1 },
      backends: [{ name: 'desk-1', dataCentre: 'bagmati-a' }],
    };
    await assert.rejects(startFleet(plan), /entry-1 ended with/);
    while (runningChildren() > 0) {
      await new Promise((resolve) => setImmediate(resolve));
    }
  });
});
