/** Reads and validates the settings of a process. */
import { readFileSync } from 'node:fs';
import { type Finding, findingsOf } from '@toucanbend/core';
import { err, ok, type Result } from 'neverthrow';
import { parse, TomlError } from 'smol-toml';
import { type Settings, settingsShape } from './shape.js';

/**
 * Parses and validates settings.
 *
 * @param text - the settings as TOML
 * @param source - the origin of the text, such as a file name; it is part of the place of each finding
 * @returns the settings with defaults filled in, or all findings of the first check that fails: syntax, schema or tables
 */
export function parseSettings(text: string, source: string): Result<Settings, Finding[]> {
  let value: unknown;
  try {
    value = parse(text);
  } catch (error) {
    const place =
      error instanceof TomlError ? `${source}:${String(error.line)}:${String(error.column)}` : source;
    return err([
      { place, message: error instanceof Error ? (error.message.split('\n')[0] ?? '') : String(error) },
    ]);
  }
  const checked = settingsShape.safeParse(value);
  if (!checked.success) {
    return err(findingsOf(checked.error.issues, source));
  }
  const { entry, side } = checked.data;
  if ((entry === undefined) === (side === undefined)) {
    return err([{ place: source, message: 'must contain exactly one of the tables entry and side' }]);
  }
  return ok(checked.data);
}

/**
 * Reads and validates a settings file.
 *
 * @param path - path of the file
 * @returns the settings with defaults filled in, or the findings, also if the file cannot be read
 */
export function readSettings(path: string): Result<Settings, Finding[]> {
  let text: string;
  try {
    text = readFileSync(path, 'utf8');
  } catch (error) {
    return err([{ place: path, message: error instanceof Error ? error.message : String(error) }]);
  }
  return parseSettings(text, path);
}
