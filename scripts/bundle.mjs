// Bundles each program into one CommonJS file. Writes the program, the fakes and the measuring tool to dist/; with the
// argument `platform`, writes the programs that run on the users' platform to target/.
import { build } from 'esbuild';

const isForPlatform = process.argv[2] === 'platform';

const platformEntryPoints = {
  entry: 'platform/src/launch.ts',
  program: 'platform/src/main.ts',
  'keep-bytecode': 'platform/src/keep-bytecode.ts',
};
const entryPoints = {
  toucanbend: 'packages/cli/src/main.ts',
  fakes: 'fakes/main.ts',
  measure: 'measure/main.ts',
};

/** Unused library modules, by path; loading them would take a third of the start-up time. */
const unusedParts = [
  // Message translations; English is the default.
  { filter: /zod\/v4\/locales\/index\.js$/, contents: "export { default as en } from './en.js';" },
  // Push gateway, aggregation across worker processes, and runtime metrics.
  { filter: /prom-client\/lib\/pushgateway\.js$/, contents: 'module.exports = class {};' },
  { filter: /prom-client\/lib\/cluster\.js$/, contents: 'module.exports = class {};' },
  { filter: /prom-client\/lib\/defaultMetrics\.js$/, contents: 'module.exports = () => {};' },
];

const withoutUnusedParts = {
  name: 'without-unused-parts',
  setup: (plugin) => {
    for (const { filter, contents } of unusedParts) {
      plugin.onLoad({ filter }, () => ({ contents }));
    }
  },
};

await build({
  entryPoints: isForPlatform ? platformEntryPoints : entryPoints,
  minify: isForPlatform,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  outdir: isForPlatform ? 'target' : 'dist',
  outExtension: { '.js': '.cjs' },
  external: ['cbor-extract', 'vega', 'vega-lite'],
  define: {
    'import.meta.url': '""',
    // The native addon is intended for larger messages than ours, and is looked up at every start.
    'process.env.CBOR_NATIVE_ACCELERATION_DISABLED': '"true"',
  },
  plugins: [withoutUnusedParts],
  // Excludes the reporters for terminals.
  alias: isForPlatform ? { consola: 'consola/core' } : {},
  logLevel: 'error',
});
