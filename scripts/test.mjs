// Runs every test file with node:test; arguments narrow the run to the files whose path contains one of them.
import { spawnSync } from 'node:child_process';
import { readdirSync } from 'node:fs';
import { join } from 'node:path';

const filters = process.argv.slice(2);

function testFiles(folder) {
  return readdirSync(folder, { withFileTypes: true, recursive: true })
    .filter((entry) => entry.isFile() && entry.name.endsWith('.test.ts'))
    .map((entry) => join(entry.parentPath ?? entry.path, entry.name))
    .filter((path) => !path.includes('node_modules'));
}

const files = ['packages', 'platform', 'test']
  .flatMap(testFiles)
  .filter((path) => filters.length === 0 || filters.some((filter) => path.includes(filter)))
  .sort();
const run = spawnSync(
  process.execPath,
  ['--import', 'tsx', '--test', '--test-concurrency=3', '--test-reporter=spec', ...files],
  { stdio: 'inherit' },
);
process.exit(run.status ?? 1);
