/** Command line of the measurements, which run on real processes: `npm run measure -- SCENARIO`. */
import { writeFileSync } from 'node:fs';
import { Command } from 'commander';
import { plotReport } from './plot.js';
import { type Scenario, type ScenarioReport } from './scenario.js';
import { scenarios } from './scenarios/index.js';

interface Options {
  readonly seed: string;
  readonly seconds?: string;
  readonly nodes: string;
  readonly plot?: string;
  readonly list?: boolean;
}

function listScenarios(): void {
  for (const { name, description } of scenarios) {
    process.stdout.write(`${name.padEnd(22)} ${description}\n`);
  }
}

function printTargets(report: ScenarioReport): void {
  for (const { name, target, measured, held } of report.targets) {
    process.stdout.write(
      `${held ? 'held  ' : 'missed'} ${name}: ${String(measured)} (target ${String(target)})\n`,
    );
  }
}

async function runScenario(scenario: Scenario, options: Options): Promise<void> {
  const seed = Number(options.seed);
  const seconds = Number(options.seconds ?? scenario.seconds);
  const report = await scenario.run({ seed, seconds, nodes: Number(options.nodes) });
  printTargets(report);
  const { figures, ...rest } = report;
  if (options.plot !== undefined) {
    writeFileSync(options.plot, await plotReport(scenario.name, report));
  }
  process.stdout.write(
    `${JSON.stringify({ scenario: scenario.name, seed, seconds, ...figures, ...rest })}\n`,
  );
  process.exit(report.targets.every((target) => target.held) ? 0 : 1);
}

const program = new Command('measure')
  .argument('[scenario]', 'name of the scenario')
  .option('--seed <number>', 'seed of the load', '1')
  .option('--seconds <number>', 'length of each load')
  .option('--nodes <number>', 'number of nodes, for scenarios that use it', '200')
  .option('--plot <file>', 'write a plot of the targets and measured values to an SVG file')
  .option('--list', 'list the scenarios and exit')
  .action(async (name: string | undefined, options: Options) => {
    const scenario = scenarios.find((item) => item.name === name);
    if (options.list === true || name === undefined) {
      listScenarios();
    } else if (scenario === undefined) {
      program.error(`unknown scenario ${name}; use --list to list the scenarios`, { exitCode: 2 });
    } else {
      await runScenario(scenario, options);
    }
  });

void program.parseAsync(process.argv);
