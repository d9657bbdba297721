/** Running an entry or a side until a signal stops it. */
import { createSystemClock, formatFindings } from '@toucanbend/core';
import { startEntry } from '@toucanbend/entry';
import { readSettings, type Settings } from '@toucanbend/settings';
import { startSide } from '@toucanbend/side';
import { ExitCode } from './exit-code.js';

interface RunningRole {
  leave(): Promise<void>;
  close(): void;
}

/**
 * Reads and checks settings; if they are invalid, prints the findings and exits with {@link ExitCode.Usage}.
 *
 * @param path - path of the settings file
 * @returns the settings
 */
export function requireSettings(path: string): Settings {
  const settings = readSettings(path);
  if (settings.isErr()) {
    process.stderr.write(`${formatFindings(settings.error)}\n`);
    process.exit(ExitCode.Usage);
  }
  return settings.value;
}

function startRole(settings: Settings): Promise<RunningRole> {
  const clock = createSystemClock();
  if (settings.entry !== undefined) {
    return startEntry(settings, settings.entry, clock);
  }
  if (settings.side !== undefined) {
    return startSide(settings, settings.side, clock);
  }
  throw new Error('the settings contain neither a table entry nor a table side');
}

/**
 * Runs the role that the settings describe. The first SIGTERM or SIGINT drains the process: requests in flight
 * finish before it exits. A second one exits at once and aborts them.
 *
 * @param settings - settings with the table of one role
 */
export async function runRole(settings: Settings): Promise<void> {
  const role = await startRole(settings);
  let isStopping = false;
  const stop = (): void => {
    if (isStopping) {
      process.stderr.write('second signal: requests in flight are cut\n');
      process.exit(ExitCode.Interrupted);
    }
    isStopping = true;
    void role.leave().then(() => {
      role.close();
      process.exit(ExitCode.Success);
    });
  };
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
  process.stdout.write('ready\n');
}
