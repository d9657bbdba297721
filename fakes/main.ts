/** Runs one fake: `fakes KIND OPTIONS-AS-JSON`. */
import { type EngineOptions, serveEngine } from './engine.js';
import { serveHosts } from './hosts.js';
import { type RelayRoute, serveRelay } from './relay.js';
import { serveService, type ServiceOptions } from './service.js';
import { serveStore } from './store.js';

const [kind, text] = process.argv.slice(2);
const options = JSON.parse(text ?? '{"port":0}') as EngineOptions & ServiceOptions & { routes: RelayRoute[] };

const serveFake = {
  engine: serveEngine,
  service: serveService,
  store: serveStore,
  hosts: serveHosts,
  relay: serveRelay,
}[kind ?? ''];

if (serveFake === undefined) {
  process.stderr.write(`unknown fake: ${String(kind)}\n`);
  process.exitCode = 2;
} else {
  void serveFake(options).then((port) => process.stdout.write(`${String(port)}\n`));
}
