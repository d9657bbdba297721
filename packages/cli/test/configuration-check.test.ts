/** The check of a configuration file: what its author did not mean is found before it is in force, with its place and figures. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { checkText, type CheckReport, ExitCode, exitCodeOf, formatReport } from '@toucanbend/cli';
import {
  accountsByKeyHash,
  checkDeclaration,
  type ConfigurationDocument,
  ItemChange,
  readToml,
} from '@toucanbend/configuration';
import { err, ok } from 'neverthrow';

const FILE = 'fleet.toml';
const key = (digit: string): string => digit.repeat(64);

const sound = `
[[accounts]]
name = "patan"
keyHashes = ["${key('a')}"]
defaultRank = "urgent"
[[ranks]]
name = "urgent"
firstTokenTargetMs = 1100
deadlineMs = 30000
floor = 0.5
[[models]]
name = "drafts"
[[services]]
name = "orders"
nonIdempotent = ["POST /confirm"]
[[dataCentres]]
name = "bagmati-a"
region = "bagmati"
[[servers]]
name = "engine-1"
host = "host-1"
dataCentre = "bagmati-a"
address = "10.0.0.1:7000"
kind = "model"
serves = ["drafts"]
[[servers]]
name = "desk-1"
host = "host-2"
dataCentre = "bagmati-a"
address = "10.0.0.2:7000"
kind = "service"
serves = ["orders"]
`;

const check = (text: string): CheckReport => checkText(ok(text), FILE);
const documentOf = (text: string, revision: number): ConfigurationDocument => ({
  ...checkDeclaration(readToml(text, FILE)._unsafeUnwrap(), FILE)._unsafeUnwrap().document,
  revision,
});
const placesOf = (text: string): string[] =>
  check(text).findings.map(({ place }) => place.replace(`${FILE}: `, ''));

describe('the check of a configuration file', () => {
  it('finds nothing in a sound one', () => {
    const report = check(sound);
    assert.deepEqual(report, { unreadable: [], findings: [], comparedWith: undefined, differences: [] });
    assert.equal(exitCodeOf(report), ExitCode.Success);
    assert.equal(formatReport(report, FILE), 'fleet.toml: no findings\n');
  });

  const faults: readonly (readonly [string, string, string, readonly [string, RegExp]])[] = [
    [
      'a target beyond the deadline',
      'firstTokenTargetMs = 1100',
      'firstTokenTargetMs = 40000',
      ['ranks.0.firstTokenTargetMs', /30000 ms.*40000 ms/],
    ],
    [
      'a rank that is not declared',
      '"urgent"\n[[ranks]]',
      '"batch"\n[[ranks]]',
      ['accounts.0.defaultRank', /10000 ms.*60000 ms/],
    ],
    ['an account without a key', `["${key('a')}"]`, '[]', ['accounts.0.keyHashes', /no key/]],
    [
      'a call with a query',
      'POST /confirm',
      'POST /confirm?now=1',
      ['services.0.nonIdempotent.0', /POST \/confirm\?now=1/],
    ],
    [
      'a service without servers',
      'kind = "service"\nserves = ["orders"]',
      'kind = "model"\nserves = ["drafts"]',
      ['services.0', /orders/],
    ],
    [
      'an address of another host',
      '10.0.0.2:7000',
      '10.0.0.1:7000',
      ['servers.1.address', /10\.0\.0\.1:7000 of engine-1/],
    ],
    ['a weight of nothing', 'name = "patan"', 'name = "patan"\nweight = 0', ['accounts.0.weight', /0/]],
    [
      'floors that leave nothing to a rank',
      'floor = 0.5',
      'floor = 1\n[[ranks]]\nname = "batch"\nfirstTokenTargetMs = 9\ndeadlineMs = 9\nfloor = 0',
      ['ranks', /add up to 1 .*batch/],
    ],
  ];
  for (const [name, from, to, [place, message]] of faults) {
    it(`reports ${name} with its place and figures`, () => {
      assert.ok(sound.includes(from));
      const report = check(sound.replace(from, to));
      assert.deepEqual(
        report.findings.map((finding) => finding.place),
        [`${FILE}: ${place}`],
      );
      assert.match(report.findings[0]?.message ?? '', message);
      assert.equal(exitCodeOf(report), ExitCode.Failure);
    });
  }

  it('reports a key of two accounts at the one that never gets it', () => {
    const two = `${sound}[[accounts]]\nname = "thamel"\nkeyHashes = ["${key('b')}", "${key('a')}"]\ndefaultRank = "urgent"\n`;
    assert.deepEqual(placesOf(two), ['accounts.0.keyHashes.0']);
    assert.equal(accountsByKeyHash(documentOf(two, 0).accounts).get(key('a'))?.name, 'thamel');
  });

  it('reports a key of two operators, and that nobody may change anything', () => {
    const operator = (name: string): string =>
      `[[operators]]\nname = "${name}"\nkeyHashes = ["${key('c')}"]\n`;
    assert.deepEqual(placesOf(sound + operator('ram') + operator('sita')), [
      'operators.1.keyHashes.0',
      'operators',
    ]);
  });

  it('tells what cannot be read from what is wrong', () => {
    const syntax = check('[[accounts]\n');
    assert.equal(exitCodeOf(syntax), ExitCode.Usage);
    assert.match(syntax.unreadable[0]?.place ?? '', /^fleet\.toml:1:/);
    const missing = checkText(err({ place: FILE, message: 'ENOENT' }), FILE);
    assert.equal(exitCodeOf(missing), ExitCode.Usage);
    const withoutStore = checkText(ok(sound), FILE, err([{ place: 'store', message: 'no answer' }]));
    assert.equal(exitCodeOf(withoutStore), ExitCode.Usage);
    assert.match(
      formatReport(withoutStore, FILE),
      /store: no answer\nfleet\.toml: not checked completely\n$/,
    );
  });

  it('lists what differs from the version in force, with both values', () => {
    const changed = `revision = 12\n${sound}`
      .replace('deadlineMs = 30000', 'deadlineMs = 20000')
      .replaceAll('engine-1', 'engine-2');
    const report = checkText(ok(changed), FILE, ok(documentOf(sound, 12)));
    assert.equal(report.comparedWith, 12);
    assert.deepEqual(
      report.differences.map(({ section, name, change }) => [section, name, change]),
      [
        ['ranks', 'urgent', ItemChange.Changed],
        ['servers', 'engine-2', ItemChange.Added],
        ['servers', 'engine-1', ItemChange.Removed],
        ['servers', '', ItemChange.Reordered],
      ],
    );
    assert.equal(exitCodeOf(report), ExitCode.Success);
    assert.match(
      formatReport(report, FILE),
      /^differences from revision 12 in force\n {2}ranks: urgent changed: deadlineMs 30000 -> 20000\n/,
    );
  });

  it('reports that a file is based on an older version than the one in force, which refuses it', () => {
    const report = checkText(ok(`revision = 11\n${sound}`), FILE, ok(documentOf(sound, 12)));
    assert.deepEqual(report.findings, [
      { place: 'fleet.toml: revision', message: 'is 11, and revision 12 is in force' },
    ]);
    assert.equal(exitCodeOf(report), ExitCode.Failure);
  });
});
