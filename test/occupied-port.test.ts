/** A node whose port is occupied must end with an error, so that whoever started it can tell. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer } from 'node:net';
import { after, before, describe, it } from 'node:test';
import { type Fleet, startFleet } from '../fakes/fleet.js';

describe('an entry whose port for callers is occupied', () => {
  let fleet: Fleet;
  before(async () => {
    fleet = await startFleet({
      dataCentres: [{ name: 'dc-1', region: 'bagmati' }],
      entries: [{ name: 'entry-1', dataCentre: 'dc-1' }],
      backends: [{ name: 'orders-1', dataCentre: 'dc-1' }],
      accounts: [{ name: 'patan' }],
    });
  });
  after(() => fleet.stop());

  it('ends with an error that names the port', { timeout: 20_000 }, async () => {
    const [entry] = fleet.entries;
    assert.ok(entry !== undefined, 'there is an entry');
    entry.process.signal('SIGTERM');
    await entry.process.exited;
    const occupant = createServer();
    occupant.listen(entry.callerPort, '127.0.0.1');
    await once(occupant, 'listening');
    await assert.rejects(
      entry.restart(),
      new RegExp(`ended with 1 .*EADDRINUSE.*${String(entry.callerPort)}`, 's'),
    );
    occupant.close();
  });
});
