/** Tests of printing and parsing the configuration document, of differences, and of the holder. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Rank, RequestKind } from '@toucanbend/core';
import fc from 'fast-check';
import {
  applyDifference,
  checkDocument,
  type ConfigurationDocument,
  createConfigurationHolder,
  declarationOf,
  differenceOf,
  OfferResult,
  parseDeclaration,
  printDocument,
} from '../src/index.js';

const name = fc.stringMatching(/^[a-z][a-z0-9-]{0,12}$/);
const names = fc.uniqueArray(name, { maxLength: 6 });

const documentArbitrary: fc.Arbitrary<ConfigurationDocument> = fc
  .record({
    accounts: names,
    models: fc.uniqueArray(name, { minLength: 1, maxLength: 4 }),
    dataCentres: fc.uniqueArray(name, { minLength: 1, maxLength: 3 }),
    servers: names,
    weight: fc.double({ min: 0.1, max: 100, noNaN: true }),
    revision: fc.nat(1_000),
  })
  .map(({ accounts, models, dataCentres, servers, weight, revision }) => ({
    revision,
    accounts: accounts.map((item) => ({
      name: item,
      keyHashes: ['0'.repeat(64)],
      weight,
      defaultRank: Rank.Urgent,
      maxConcurrent: 5,
      closed: false,
    })),
    ranks: [{ name: Rank.Urgent, firstTokenTargetMs: 1_100, deadlineMs: 30_000, floor: 0.5 }],
    models: models.map((item) => ({ name: item, version: '2', adapters: [] })),
    services: [],
    dataCentres: dataCentres.map((item) => ({ name: item, region: 'bagmati' })),
    servers: servers.map((item) => ({
      name: item,
      host: item,
      dataCentre: dataCentres[0] ?? '',
      address: '10.0.0.1:7000',
      kind: RequestKind.Model,
      serves: models,
      checksFencing: true,
    })),
    operators: [],
    history: [],
  }));

test('parsing a printed document gives the same declaration', () => {
  fc.assert(
    fc.property(documentArbitrary, (document) => {
      const parsed = parseDeclaration(printDocument(document), 'printed')._unsafeUnwrap();
      assert.deepEqual(parsed.declaration, declarationOf(document));
      assert.equal(parsed.basedOn, document.revision);
    }),
  );
});

test('applying a difference to the older document gives the newer one', () => {
  fc.assert(
    fc.property(documentArbitrary, documentArbitrary, (before, after) => {
      const newer = { ...after, revision: before.revision + 1 };
      assert.deepEqual(applyDifference(before, differenceOf(before, newer)), newer);
    }),
  );
});

test('a holder never returns to an older revision, in whatever order documents arrive', () => {
  fc.assert(
    fc.property(fc.array(documentArbitrary, { minLength: 1, maxLength: 12 }), (documents) => {
      const holder = createConfigurationHolder();
      let highest = -1;
      for (const document of documents) {
        holder.offer(document);
        highest = Math.max(highest, document.revision);
        assert.equal(holder.current().revision, highest);
      }
    }),
  );
});

test('a node that is one revision behind receives only the difference', () => {
  const createDocument = (revision: number, accounts: readonly string[]): ConfigurationDocument =>
    checkDocument({ revision, accounts: accounts.map((item) => ({ name: item })) }, 'test')._unsafeUnwrap();
  const document = createDocument(1, ['patan']);
  const ahead = createConfigurationHolder();
  const behind = createConfigurationHolder();
  ahead.offer(document);
  behind.offer(document);
  ahead.offer(createDocument(2, ['patan', 'thimi']));
  const { from, payload } = ahead.changesSince(1);
  assert.equal(from, 1);
  assert.equal(behind.receive(from, payload)._unsafeUnwrap(), OfferResult.Applied);
  assert.deepEqual(behind.current(), ahead.current());
});

test('all findings about a document are reported together, each with its place', () => {
  const findings = checkDocument(
    {
      revision: 1,
      accounts: [{ name: 'patan' }, { name: 'patan' }],
      servers: [
        { name: 's', host: 'h', dataCentre: 'nowhere', address: '10.0.0.1:1', kind: 'model', serves: ['m'] },
      ],
    },
    'fleet.toml',
  )._unsafeUnwrapErr();
  assert.deepEqual(
    findings.map((finding) => finding.place),
    ['fleet.toml: accounts.1.name', 'fleet.toml: servers.0.serves', 'fleet.toml: servers.0.dataCentre'],
  );
});

test('a syntax error is reported with line and column', () => {
  const findings = parseDeclaration('[[accounts]]\nname = \n', 'fleet.toml')._unsafeUnwrapErr();
  assert.match(findings[0]?.place ?? '', /^fleet\.toml:2:/);
});
