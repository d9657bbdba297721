// Bundles programs, each to one CommonJS file: the program, the stand-ins and the measuring tool to dist/, or with the
// argument `platform` the programs that run on the users' platform to target/.
import { build } from 'esbuild';

const isForPlatform = process.argv[2] === 'platform';

const platformEntryPoints = { entry: 'platform/src/main.ts' };
const entryPoints = {
  toucanbend: 'packages/cli/src/main.ts',
  fakes: 'fakes/main.ts',
  measure: 'measure/main.ts',
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
  define: { 'import.meta.url': '""' },
  logLevel: 'error',
});
