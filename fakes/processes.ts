/** Starts the processes of a fleet on loopback, for tests and measurements. */
import { type ChildProcess, spawn } from 'node:child_process';
import { join } from 'node:path';

/** Folder of the bundled programs. */
export const DISTRIBUTION = join(process.cwd(), 'dist');

/** A process of a fleet. */
export interface FleetProcess {
  readonly name: string;
  readonly child: ChildProcess;
  /** Returns the last 200,000 characters of the process's standard error. */
  readonly errors: () => string;
  /** Resolves with the exit code, or the signal's name. */
  readonly exited: Promise<number | string>;
  signal(signal: NodeJS.Signals): void;
}

/** Processes that are killed together. */
export class ProcessGroup {
  readonly #children: ChildProcess[] = [];
  #isEnded = false;

  /** Adds a process; kills it immediately if the group has already ended. */
  add(child: ChildProcess): void {
    this.#children.push(child);
    if (this.#isEnded) {
      child.kill('SIGKILL');
    }
  }

  /** Kills all processes, including those added later. */
  end(): void {
    this.#isEnded = true;
    this.#children.forEach((child) => child.kill('SIGKILL'));
  }
}

/**
 * Starts a process and waits for its first output, which signals that it is ready.
 *
 * @param name - name of the process in the fleet
 * @param program - a program in the distribution folder: a binary, or a bundled script that ends in .cjs
 * @param parameters - its arguments
 * @param group - the group to which the process is added
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
