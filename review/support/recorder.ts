/** Writes what a script sends, receives and sees to its record. */
import { appendFileSync, writeFileSync } from 'node:fs';

/** The record of a script. */
export interface Recorder {
  /** Adds a line with the time since the start of the script. */
  note(text: string): void;
}

/**
 * Creates the record of a script, in place of an earlier one.
 *
 * @param path - path of the file
 * @returns the record
 */
export function createRecorder(path: string): Recorder {
  const startedAtMs = performance.now();
  writeFileSync(path, '');
  return {
    note: (text) => {
      const seconds = ((performance.now() - startedAtMs) / 1_000).toFixed(3).padStart(8);
      appendFileSync(path, `${seconds} ${text}\n`);
    },
  };
}
