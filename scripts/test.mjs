// Runs every test file with node:test; arguments restrict the run to files whose path contains one of them. Files whose
// names end in `.alone.test.ts` run after the others, one at a time: they load the machine by themselves. Failures that
// KNOWN-RED.txt lists in a line `test: NAME` are printed and do not fail the run.
import { spawnSync } from 'node:child_process';
import { existsSync, mkdtempSync, readdirSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

const KNOWN_RED = 'KNOWN-RED.txt';
const CONCURRENCY = 3;
const ALONE = '.alone.test.ts';
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

function runTests(files, concurrency, failuresPath) {
  const reporters = [
    ['spec', 'stdout'],
    ['./scripts/failures.mjs', failuresPath],
  ].flatMap(([reporter, target]) => [`--test-reporter=${reporter}`, `--test-reporter-destination=${target}`]);
  return spawnSync(
    process.execPath,
    ['--import', 'tsx', '--test', `--test-concurrency=${concurrency}`, ...reporters, ...files],
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
const known = knownRed();

/** Returns the exit code of a pass: 0 if nothing failed but what is known. */
function runPass(passFiles, concurrency) {
  if (passFiles.length === 0) {
    return 0;
  }
  const folder = mkdtempSync(join(tmpdir(), 'toucanbend-test-'));
  const failuresPath = join(folder, 'failures');
  const run = runTests(passFiles, concurrency, failuresPath);
  const failures = readFailures(failuresPath);
  rmSync(folder, { recursive: true, force: true });
  const expected = failures.filter((name) => known.has(name));
  expected.forEach((name) => process.stdout.write(`known red: ${name} (${KNOWN_RED})\n`));
  const isOnlyKnown = expected.length > 0 && expected.length === failures.length;
  return run.status === 0 || isOnlyKnown ? 0 : (run.status ?? 1);
}

if (files.length === 0) {
  process.stderr.write('no test file matches\n');
  process.exit(1);
}
const codes = [
  runPass(
    files.filter((path) => !path.endsWith(ALONE)),
    CONCURRENCY,
  ),
  runPass(
    files.filter((path) => path.endsWith(ALONE)),
    1,
  ),
];
process.exit(codes.find((code) => code !== 0) ?? 0);
