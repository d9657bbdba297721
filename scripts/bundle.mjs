// Bundles programs, each to one CommonJS file: the program, the stand-ins and the measuring tool to dist/, or with the
// argument `platform` the programs that run on the users' platform to target/.
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

/** Parts of libraries that the programs do not use and that would take a third of the time of a start, by path. */
const unusedParts = [
  // Translations of messages; English is the default.
  { filter: /zod\/v4\/locales\/index\.js$/, contents: "export { default as en } from './en.js';" },
  // Metrics pushed to a gateway, gathered over worker processes, and of the runtime.
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
    // Its native part is for larger messages than ours, and is looked for at each start.
    'process.env.CBOR_NATIVE_ACCELERATION_DISABLED': '"true"',
  },
  plugins: [withoutUnusedParts],
  // Without the reporters for terminals.
  alias: isForPlatform ? { consola: 'consola/core' } : {},
  logLevel: 'error',
});
