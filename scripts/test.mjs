// Runs every test file with node:test; arguments restrict the run to files whose path contains one of them. Failures
// that KNOWN-RED.txt lists in a line `test: NAME` are printed and do not fail the run.
import { spawnSync } from 'node:child_process';
import { existsSync, mkdtempSync, readdirSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

const KNOWN_RED = 'KNOWN-RED.txt';
const filters = process.argv.slice(2);

function testFiles(folder) {
  return readdirSync(folder, { withFileTypes: true, recursive: true })
    .filter((entry) => entry.isFile() && entry.name.endsWith('.test.ts'))
    .map((entry) => join(entry.parentPath ?? entry.path, entry.name))
    .filter((path) => !path.includes('node_modules'));
}

function knownRed() {
  const lines = existsSync(KNOWN_RED) ? readFileSync(KNOWN_RED, 'utf8').split('\n') : [];
  return new Set(lines.filter((line) => line.startsWith('test: ')).map((line) => line.slice(6).trim()));
}

function runTests(files, failuresPath) {
  const reporters = [
    ['spec', 'stdout'],
    ['./scripts/failures.mjs', failuresPath],
  ].flatMap(([reporter, target]) => [`--test-reporter=${reporter}`, `--test-reporter-destination=${target}`]);
  return spawnSync(
    process.execPath,
    ['--import', 'tsx', '--test', '--test-concurrency=3', ...reporters, ...files],
    { stdio: 'inherit' },
  );
}

function readFailures(path) {
  const text = existsSync(path) ? readFileSync(path, 'utf8') : '';
  return text
    .split('\n')
    .filter((line) => line !== '')
    .map((line) => JSON.parse(line).name);
}

const files = ['packages', 'platform', 'test']
  .flatMap(testFiles)
  .filter((path) => filters.length === 0 || filters.some((filter) => path.includes(filter)))
  .sort();
const folder = mkdtempSync(join(tmpdir(), 'toucanbend-test-'));
const failuresPath = join(folder, 'failures');
const run = runTests(files, failuresPath);
const failures = readFailures(failuresPath);
rmSync(folder, { recursive: true, force: true });
const known = knownRed();
const expected = failures.filter((name) => known.has(name));
expected.forEach((name) => process.stdout.write(`known red: ${name} (${KNOWN_RED})\n`));
const isOnlyKnown = expected.length > 0 && expected.length === failures.length;
process.exit(run.status === 0 || isOnlyKnown ? 0 : (run.status ?? 1));
