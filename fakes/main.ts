/** Runs one fake: `fakes KIND OPTIONS-AS-JSON`. */
import { type EngineOptions, serveEngine } from './engine.js';
import { serveHosts } from './hosts.js';
import { type RelayRoute, serveRelay } from './relay.js';
import { serveService, type ServiceOptions } from './service.js';
import { serveStore } from './store.js';

const [kind, text] = process.argv.slice(2);
const options = JSON.parse(text ?? '{"port":0}') as EngineOptions & ServiceOptions & { routes: RelayRoute[] };

const stand = {
  engine: serveEngine,
  service: serveService,
  store: serveStore,
  hosts: serveHosts,
  relay: serveRelay,
}[kind ?? ''];

if (stand === undefined) {
  process.stderr.write(`unknown fake: ${String(kind)}\n`);
  process.exitCode = 2;
} else {
  void stand(options).then((port) => process.stdout.write(`${String(port)}\n`));
}
