/** The report on a configuration file, as `config check` prints it. */
import {
  type ChangedField,
  type ChangedItem,
  changedItems,
  checkDeclaration,
  type ConfigurationDocument,
  findInconsistencies,
  ItemChange,
  readToml,
} from '@toucanbend/configuration';
import { type Finding, formatFindings } from '@toucanbend/core';
import { replaceDeclaration } from '@toucanbend/operator';
import { type Result } from 'neverthrow';
import { ExitCode } from './exit-code.js';

/** What the check of a configuration file has found. */
export interface CheckReport {
  /** What could not be read: the file, or the version in force. */
  readonly unreadable: readonly Finding[];
  /** What is invalid, contradicts itself, has no effect or would be refused when it is applied. */
  readonly findings: readonly Finding[];
  /** Revision in force, which the file was compared with; undefined if there was no comparison. */
  readonly comparedWith: number | undefined;
  /** What differs from the version in force. */
  readonly differences: readonly ChangedItem[];
}

/**
 * Checks the text of a configuration file.
 *
 * @param text - the text, or why the file cannot be read
 * @param file - name of the file
 * @param inForce - the version in force, or why it cannot be read; undefined for no comparison
 * @returns the report; a document that does not match the schema is not checked further
 */
export function checkText(
  text: Result<string, Finding>,
  file: string,
  inForce?: Result<ConfigurationDocument, readonly Finding[]>,
): CheckReport {
  const value = text.andThen((content) => readToml(content, file));
  const unreadable = [
    ...(value.isErr() ? [value.error] : []),
    ...(inForce?.isErr() === true ? inForce.error : []),
  ];
  const checked = value.isOk() ? checkDeclaration(value.value, file) : undefined;
  const findings =
    checked?.match(
      ({ document }) => findInconsistencies(document, file),
      (invalid) => invalid,
    ) ?? [];
  const [declared, before] = [checked?.unwrapOr(undefined), inForce?.unwrapOr(undefined)];
  if (declared === undefined || before === undefined) {
    return { unreadable, findings, comparedWith: undefined, differences: [] };
  }
  const refused = replaceDeclaration(declared)
    .edit(before)
    .match(
      () => [],
      (reasons) => reasons.map(({ place, message }) => ({ place: `${file}: ${place}`, message })),
    );
  return {
    unreadable,
    findings: [...refused, ...findings],
    comparedWith: before.revision,
    differences: changedItems(before, declared.document),
  };
}

/**
 * Returns the exit code of the check.
 *
 * @param report - the report
 * @returns the code
 */
export function exitCodeOf({ unreadable, findings }: CheckReport): ExitCode {
  if (unreadable.length > 0) {
    return ExitCode.Usage;
  }
  return findings.length > 0 ? ExitCode.Failure : ExitCode.Success;
}

/** Longest value that is printed in full, in characters; lists of key hashes are longer. */
const MAX_VALUE_LENGTH = 60;

function formatValue(value: unknown): string {
  const text = value === undefined ? 'nothing' : JSON.stringify(value);
  return text.length <= MAX_VALUE_LENGTH
    ? text
    : `${text.slice(0, MAX_VALUE_LENGTH)}… (${String(text.length)} characters)`;
}

function formatField({ field, before, after }: ChangedField): string {
  return `${field} ${formatValue(before)} -> ${formatValue(after)}`;
}

function formatItem({ section, name, change, fields }: ChangedItem): string {
  if (change === ItemChange.Reordered) {
    return `  ${section}: ${change}`;
  }
  const details = fields.length === 0 ? '' : `: ${fields.map(formatField).join(', ')}`;
  return `  ${section}: ${name} ${change}${details}`;
}

/**
 * Formats a report as text.
 *
 * @param report - the report
 * @param file - name of the file
 * @returns the text, which ends with a line feed
 */
export function formatReport(report: CheckReport, file: string): string {
  const { unreadable, findings, comparedWith, differences } = report;
  const compared =
    comparedWith === undefined
      ? []
      : [
          `${differences.length === 0 ? 'no differences' : 'differences'} from revision ${String(comparedWith)} in force`,
          ...differences.map(formatItem),
        ];
  const summary =
    unreadable.length > 0
      ? `${file}: not checked completely`
      : `${file}: ${findings.length === 0 ? 'no findings' : `${String(findings.length)} finding${findings.length === 1 ? '' : 's'}`}`;
  const problems = [...unreadable, ...findings];
  return `${[...(problems.length === 0 ? [] : [formatFindings(problems)]), ...compared, summary].join('\n')}\n`;
}
