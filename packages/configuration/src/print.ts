/** Printing the configuration as TOML, and parsing that TOML to apply it again. */
import { type Finding } from '@toucanbend/core';
import { err, ok, type Result } from 'neverthrow';
import { parse, stringify, TomlError } from 'smol-toml';
import { type Declaration, declarationOf } from './change.js';
import { checkDocument, type ConfigurationDocument, namedSections, type SectionName } from './document.js';

const sectionComments: Record<SectionName, readonly string[]> = {
  accounts: [
    'Client accounts. keyHashes: SHA-256 of each valid key. weight: share among the accounts of a rank.',
    'maxConcurrent: requests at once through one entry. closed: true refuses every request.',
  ],
  ranks: [
    'Ranks of work. firstTokenTargetMs: latest first token of a prompt of up to 8,000 tokens, in milliseconds;',
    'it grows in proportion for longer prompts.',
    'deadlineMs: time for a whole request where the caller names none. floor: least part of the work, 0 to 1.',
  ],
  models: ['Models, with the version in service and the adapters that may be loaded.'],
  services: ['Plain services. nonIdempotent: calls that must not be repeated, as METHOD /path.'],
  dataCentres: ['Data centres and the regions in which they stand.'],
  servers: [
    'Backend servers. address: IP:PORT where the side beside the server listens for peers.',
    'checksFencing: whether the engine refuses orders that carry an old fencing number.',
  ],
  operators: [
    'Operators. keyHashes: SHA-256 of each valid key. write: whether the operator may change things.',
  ],
};

/**
 * Prints a document as TOML with comments.
 *
 * @param document - the document
 * @returns TOML that parses to the same declaration
 */
export function printDocument(document: ConfigurationDocument): string {
  const sections = namedSections
    .filter((section) => document[section].length > 0)
    .map((section) => {
      const comments = sectionComments[section].map((line) => `# ${line}`).join('\n');
      return `${comments}\n${stringify({ [section]: document[section] })}`;
    });
  const head = [
    '# The configuration of the fleet. revision: what this was printed from; applying it is refused once a',
    '# newer revision is in force.',
    `revision = ${String(document.revision)}`,
    '',
  ];
  return [...head, ...sections].join('\n');
}

/** A declaration as parsed from a file. */
export interface ParsedDeclaration {
  readonly declaration: Declaration;
  /** Revision that the declaration is based on; undefined if the file contains none. */
  readonly basedOn: number | undefined;
}

/**
 * Reads TOML.
 *
 * @param text - TOML
 * @param source - where the text was read from, such as a file name; the place of the finding starts with it
 * @returns the value, or where and why it cannot be read
 */
export function readToml(text: string, source: string): Result<Record<string, unknown>, Finding> {
  try {
    return ok(parse(text));
  } catch (error) {
    const place =
      error instanceof TomlError ? `${source}:${String(error.line)}:${String(error.column)}` : source;
    return err({
      place,
      message: error instanceof Error ? (error.message.split('\n')[0] ?? '') : String(error),
    });
  }
}

/** A declaration that was read and is valid. */
export interface CheckedDeclaration extends ParsedDeclaration {
  /** The document that it declares, at the revision that it is based on, or at 0. */
  readonly document: ConfigurationDocument;
}

/**
 * Checks a declaration that was read.
 *
 * @param value - the value
 * @param source - where it was read from
 * @returns the declaration, or all findings
 */
export function checkDeclaration(
  value: Readonly<Record<string, unknown>>,
  source: string,
): Result<CheckedDeclaration, Finding[]> {
  return checkDocument({ revision: 0, ...value }, source).map((document) => ({
    document,
    declaration: declarationOf(document),
    basedOn: value['revision'] === undefined ? undefined : document.revision,
  }));
}

/**
 * Parses a configuration in the form that {@link printDocument} prints.
 *
 * @param text - TOML
 * @param source - where the text was read from, such as a file name; the place of each finding starts with it
 * @returns the declaration, or all findings
 */
export function parseDeclaration(text: string, source: string): Result<ParsedDeclaration, Finding[]> {
  return readToml(text, source)
    .mapErr((finding) => [finding])
    .andThen((value) => checkDeclaration(value, source))
    .map(({ declaration, basedOn }) => ({ declaration, basedOn }));
}
