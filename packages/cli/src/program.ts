/** The commands of the command-line program. */
import { readFileSync } from 'node:fs';
import { get } from 'node:http';
import { userInfo } from 'node:os';
import { createSystemClock, type Finding, formatFindings } from '@toucanbend/core';
import { parseDeclaration, printDocument } from '@toucanbend/configuration';
import { runDemonstration } from '@toucanbend/fakes';
import {
  createConfigurationClient,
  type ConfigurationClient,
  replaceDeclaration,
} from '@toucanbend/operator';
import { HttpKeyValueStore } from '@toucanbend/store';
import { Command } from 'commander';
import { Result } from 'neverthrow';
import { checkText, exitCodeOf, formatReport } from './configuration-check.js';
import { ExitCode } from './exit-code.js';
import { requireSettings, runRole } from './run.js';

const VERSION = '0.1.0';
const STORE_TIMEOUT_MS = 2_000;
const STORE_ATTEMPTS = 5;
const CHECK_EXIT_CODES =
  '\nExit status: 0 without findings, 1 with findings, 2 if the file or the store cannot be read.';

function exitWithFindings(findings: readonly Finding[]): never {
  process.stderr.write(`${formatFindings(findings)}\n`);
  process.exit(ExitCode.Failure);
}

function openOperator(address: string): ConfigurationClient {
  return createConfigurationClient({
    store: new HttpKeyValueStore(address, createSystemClock()),
    timeoutMs: STORE_TIMEOUT_MS,
    attempts: STORE_ATTEMPTS,
    wallClock: Date.now,
  });
}

function fetchText(address: string, path: string): Promise<string> {
  return new Promise((resolve, reject) => {
    get(`http://${address}${path}`, (response) => {
      let text = '';
      response.setEncoding('utf8');
      response.on('data', (chunk: string) => (text += chunk));
      response.on('end', () => {
        resolve(text);
      });
    }).on('error', reject);
  });
}

async function printConfiguration(store: string): Promise<void> {
  const document = await openOperator(store).read();
  process.stdout.write(
    document.isOk() ? printDocument(document.value) : exitWithFindings(document.error.findings),
  );
  process.exit(ExitCode.Success);
}

async function applyConfiguration(
  file: string,
  options: { store: string; who: string; why: string },
): Promise<void> {
  const declaration = parseDeclaration(readFileSync(file, 'utf8'), file);
  if (declaration.isErr()) {
    exitWithFindings(declaration.error);
  }
  const { who, why } = options;
  const accepted = await openOperator(options.store).change(
    { who, why },
    replaceDeclaration(declaration.value),
  );
  if (accepted.isErr()) {
    exitWithFindings(accepted.error.findings);
  }
  process.stdout.write(`accepted at revision ${String(accepted.value.revision)}\n`);
  process.exit(ExitCode.Success);
}

interface CheckOptions {
  readonly store?: string;
  readonly json?: true;
}

/** Checks a configuration file, and compares it with the version in force if the address of the store is given. */
async function checkConfiguration(file: string, { store, json }: CheckOptions): Promise<void> {
  const text = Result.fromThrowable(readFileSync, (error) => ({ place: file, message: String(error) }))(
    file,
    'utf8',
  );
  const inForce = store === undefined ? undefined : await openOperator(store).read();
  const report = checkText(
    text.map(String),
    file,
    inForce?.mapErr(({ findings }) => findings),
  );
  process.stdout.write(json === true ? `${JSON.stringify(report)}\n` : formatReport(report, file));
  process.exit(exitCodeOf(report));
}

function addConfigurationCommands(program: Command): void {
  const config = program
    .command('config')
    .description('print, check or apply the configuration of the fleet');
  config
    .command('print')
    .description('print the whole configuration as TOML that can be applied again')
    .requiredOption('--store <address>', 'IP:PORT of the key-value store')
    .action(({ store }: { store: string }) => printConfiguration(store));
  config
    .command('check <file>')
    .description(
      'check a configuration file: report all findings, and what differs from the version in force',
    )
    .option('--store <address>', 'IP:PORT of the key-value store that holds the version in force')
    .option('--json', 'print one JSON object')
    .addHelpText('after', CHECK_EXIT_CODES)
    .action(checkConfiguration);
  config
    .command('apply <file>')
    .description('replace the configuration by the one in a file, unless a newer revision is in force')
    .requiredOption('--store <address>', 'IP:PORT of the key-value store')
    .option('--who <name>', 'who makes the change', userInfo().username)
    .requiredOption('--why <reason>', 'why the change is made')
    .action(applyConfiguration);
}

function addOperatorCommands(program: Command): void {
  program
    .command('status <address...>')
    .description('show the status of nodes, given the IP:PORT at which each serves operators')
    .action(async (addresses: string[]) => {
      for (const address of addresses) {
        process.stdout.write(await fetchText(address, '/status'));
      }
    });
  program
    .command('explain <request> <address...>')
    .description('show the decisions on a request that nodes have recorded')
    .action(async (request: string, addresses: string[]) => {
      for (const address of addresses) {
        const lines = JSON.parse(
          await fetchText(address, `/explain/${encodeURIComponent(request)}`),
        ) as object[];
        lines.forEach((line) => process.stdout.write(`${address} ${JSON.stringify(line)}\n`));
      }
    });
}

/**
 * Creates the command-line program with all its commands.
 *
 * @returns the program, ready to parse a command line
 */
export function createProgram(): Command {
  const program = new Command('toucanbend')
    .description('Serving layer for prompts of widely varying lengths.')
    .version(VERSION)
    .showSuggestionAfterError(true)
    .showHelpAfterError('(use --help to show the usage)');
  for (const role of ['entry', 'side'] as const) {
    program
      .command(role)
      .description(
        role === 'entry'
          ? 'run the process that callers connect to'
          : 'run the process beside one backend server',
      )
      .requiredOption('--settings <file>', 'settings file, in TOML')
      .action(async ({ settings: path }: { settings: string }) => {
        const settings = requireSettings(path);
        if (settings[role] === undefined) {
          process.stderr.write(`${path}: the settings contain no table ${role}\n`);
          process.exit(ExitCode.Usage);
        }
        await runRole(settings);
      });
  }
  program
    .command('settings')
    .description('check settings files')
    .command('check <file>')
    .description('check a settings file and report all findings')
    .action((file: string) => {
      requireSettings(file);
      process.stdout.write(`${file}: no findings\n`);
    });
  program
    .command('demo')
    .description(
      'run a small fleet in this process with simulated backends, and print the result of each request',
    )
    .action(async () => {
      process.exit((await runDemonstration()) ? ExitCode.Success : ExitCode.Failure);
    });
  addConfigurationCommands(program);
  addOperatorCommands(program);
  return program;
}
