// Builds the standalone binary: the bundled program in a copy of node, as a single executable application.
import { execFileSync } from 'node:child_process';
import { chmodSync, copyFileSync, rmSync, writeFileSync } from 'node:fs';

const CONFIGURATION = 'dist/sea.json';
const BLOB = 'dist/toucanbend.blob';
const BINARY = 'dist/toucanbend';
const FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

writeFileSync(
  CONFIGURATION,
  JSON.stringify({ main: 'dist/toucanbend.cjs', output: BLOB, disableExperimentalSEAWarning: true }),
);
execFileSync(process.execPath, ['--experimental-sea-config', CONFIGURATION], { stdio: 'inherit' });
rmSync(BINARY, { force: true });
copyFileSync(process.execPath, BINARY);
execFileSync('npx', ['postject', BINARY, 'NODE_SEA_BLOB', BLOB, '--sentinel-fuse', FUSE], {
  stdio: 'inherit',
});
chmodSync(BINARY, 0o755);
