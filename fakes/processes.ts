/** Starting the processes of a fleet on loopback, for tests and measurements. */
import { type ChildProcess, spawn } from 'node:child_process';
import { join } from 'node:path';

/** Folder of the bundled programs. */
export const DISTRIBUTION = join(process.cwd(), 'dist');

/** A process of a fleet. */
export interface FleetProcess {
  readonly name: string;
  readonly child: ChildProcess;
  /** What the process wrote to its standard error. */
  readonly errors: () => string;
  /** Resolves with the exit code, or the signal's name. */
  readonly exited: Promise<number | string>;
  signal(signal: NodeJS.Signals): void;
}

/** Processes that end together. */
export class ProcessGroup {
  readonly #children: ChildProcess[] = [];
  #isEnded = false;

  /** Takes a process in; it is ended at once where the group has ended. */
  add(child: ChildProcess): void {
    this.#children.push(child);
    if (this.#isEnded) {
      child.kill('SIGKILL');
    }
  }

  /** Ends all processes, and those that are still to come. */
  end(): void {
    this.#isEnded = true;
    this.#children.forEach((child) => child.kill('SIGKILL'));
  }
}

/**
 * Starts a process and waits for its first line.
 *
 * @param name - name of the process in the fleet
 * @param program - a program in the folder of distribution: a binary, or a bundled script that ends in .cjs
 * @param parameters - its arguments
 * @param group - what the process belongs to
 * @returns the process
 */
export function startProcess(
  name: string,
  program: string,
  parameters: readonly string[],
  group: ProcessGroup = new ProcessGroup(),
): Promise<FleetProcess> {
  const path = join(DISTRIBUTION, program);
  const isScript = program.endsWith('.cjs');
  const child = spawn(isScript ? process.execPath : path, isScript ? [path, ...parameters] : parameters, {
    stdio: ['ignore', 'pipe', 'pipe'],
    ...(isScript ? {} : { env: {} }),
  });
  group.add(child);
  let errors = '';
  child.stderr.setEncoding('utf8');
  child.stderr.on('data', (text: string) => {
    errors = (errors + text).slice(-200_000);
  });
  const exited = new Promise<number | string>((resolve) => {
    child.on('exit', (code, signal) => {
      resolve(code ?? signal ?? 'unknown');
    });
  });
  const started: FleetProcess = {
    name,
    child,
    exited,
    errors: () => errors,
    signal: (signal) => {
      child.kill(signal);
    },
  };
  return new Promise((resolve, reject) => {
    child.stdout.once('data', () => {
      resolve(started);
    });
    void exited.then((code) => {
      reject(new Error(`${name} ended with ${String(code)} before it was ready:\n${errors}`));
    });
  });
}
