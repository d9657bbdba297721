/** Runs entry, sides and fakes in one process and sends requests of widely differing lengths. */
import { CONFIGURATION_KEY } from '@toucanbend/configuration';
import { createSystemClock, hashKey } from '@toucanbend/core';
import { startEntry } from '@toucanbend/entry';
import { parseSettings, type Settings } from '@toucanbend/settings';
import { startSide } from '@toucanbend/side';
import { requestCompletion, callService, type CallerResult, makePrompt } from './caller.js';
import { serveEngine } from './engine.js';
import { callJson, CONFIRM_PATH, MODEL, SERVICE, until } from './fleet.js';
import { serveHosts } from './hosts.js';
import { freePorts } from './ports.js';
import { serveService } from './service.js';
import { serveStore } from './store.js';
import { expectedAnswer } from './text.js';

const KEY = 'key-of-the-demonstration';
const ENGINES = 2;
const DATA_CENTRE = 'dc-1';
const REGION = 'bagmati';
const engineSpeed = { prefillTokensPerMs: 60, iterationMs: 6, perAnswerMs: 0.1, memoryTokens: 400_000 };

/** A line of the printed table. */
interface Row {
  readonly what: string;
  readonly outcome: string;
  readonly firstTokenMs: string;
  readonly totalMs: string;
  readonly tokens: string;
  readonly right: string;
}

interface DemonstrationNode {
  readonly name: string;
  readonly peerPort: number;
  readonly operatorPort: number;
}

function settingsOf(node: DemonstrationNode, storePort: number, hostsPort: number, table: string): Settings {
  return parseSettings(
    `
[node]
name = "${node.name}"
dataCentre = "${DATA_CENTRE}"
region = "${REGION}"
peerAddress = "127.0.0.1:${String(node.peerPort)}"
operatorAddress = "127.0.0.1:${String(node.operatorPort)}"
peerKeys = ["peer-key-of-the-demonstration"]
[platform]
store = "127.0.0.1:${String(storePort)}"
hosts = "127.0.0.1:${String(hostsPort)}"
[log]
level = "error"
${table}
`,
    node.name,
  )._unsafeUnwrap();
}

async function createDemonstrationNode(name: string): Promise<DemonstrationNode> {
  const [peerPort = 0, operatorPort = 0] = await freePorts(2);
  return { name, peerPort, operatorPort };
}

function documentOf(nodes: readonly DemonstrationNode[]): object {
  const isEngine = (node: DemonstrationNode): boolean => node.name.startsWith('engine');
  return {
    revision: 1,
    accounts: [{ name: 'workshop', keyHashes: [hashKey(KEY)] }],
    ranks: [
      { name: 'urgent', firstTokenTargetMs: 1_100, deadlineMs: 30_000, floor: 0.5 },
      { name: 'standard', firstTokenTargetMs: 5_000, deadlineMs: 60_000, floor: 0.2 },
      { name: 'batch', firstTokenTargetMs: 30_000, deadlineMs: 120_000, floor: 0.1 },
    ],
    models: [{ name: MODEL }],
    services: [{ name: SERVICE, nonIdempotent: ['POST /confirm'] }],
    dataCentres: [{ name: DATA_CENTRE, region: REGION }],
    servers: nodes.map((node) => ({
      name: node.name,
      host: node.name,
      dataCentre: DATA_CENTRE,
      address: `127.0.0.1:${String(node.peerPort)}`,
      kind: isEngine(node) ? 'model' : 'service',
      serves: [isEngine(node) ? MODEL : SERVICE],
    })),
  };
}

/** Starts the fleet in this process and returns the port for callers. */
async function startFleet(): Promise<number> {
  const clock = createSystemClock();
  const storePort = await serveStore({ port: 0 });
  const hostsPort = await serveHosts({ port: 0 });
  const nodes: DemonstrationNode[] = [];
  for (let index = 1; index <= ENGINES + 1; index += 1) {
    const isEngine = index <= ENGINES;
    const backend = isEngine
      ? await serveEngine({ port: 0, models: [MODEL], ...engineSpeed })
      : await serveService({ port: 0, delayMs: 20 });
    const node = await createDemonstrationNode(isEngine ? `engine-${String(index)}` : 'orders-1');
    const kind = isEngine ? 'model' : 'service';
    const table = `[side]\nserver = "${node.name}"\nkind = "${kind}"\nbackend = "127.0.0.1:${String(backend)}"`;
    const settings = settingsOf(node, storePort, hostsPort, table);
    if (settings.side !== undefined) {
      await startSide(settings, settings.side, clock);
    }
    nodes.push(node);
  }
  await callJson(storePort, '/set', {
    key: CONFIGURATION_KEY,
    value: JSON.stringify(documentOf(nodes)),
  });
  const [callerPort = 0] = await freePorts(1);
  const entryNode = await createDemonstrationNode('entry-1');
  const table = `[entry]\ncallerAddress = "127.0.0.1:${String(callerPort)}"`;
  const settings = settingsOf(entryNode, storePort, hostsPort, table);
  if (settings.entry !== undefined) {
    await startEntry(settings, settings.entry, clock);
  }
  const isReady = async (node: DemonstrationNode): Promise<boolean> => {
    const status = await callJson<{ ready: boolean; revision: number }>(node.operatorPort, '/status');
    return status.ready && status.revision > 0;
  };
  await until(async () => (await Promise.all([entryNode, ...nodes].map(isReady))).every(Boolean), 'ready');
  return callerPort;
}

function rowOf(what: string, result: CallerResult, right: boolean): Row {
  const whole = (value: number | undefined): string =>
    value === undefined ? '-' : String(Math.round(value));
  return {
    what,
    outcome: result.outcome,
    firstTokenMs: whole(result.firstTokenMs),
    totalMs: whole(result.elapsedMs),
    tokens: result.tokens === 0 ? '-' : String(result.tokens),
    right: right ? 'yes' : 'NO',
  };
}

function printRow(row: Row): void {
  const columns = [
    row.what.padEnd(44),
    row.outcome.padEnd(10),
    row.firstTokenMs.padStart(9),
    row.totalMs.padStart(9),
    row.tokens.padStart(7),
    row.right.padStart(6),
  ];
  process.stdout.write(`${columns.join(' ')}\n`);
}

const header: Row = {
  what: 'request',
  outcome: 'outcome',
  firstTokenMs: 'first ms',
  totalMs: 'total ms',
  tokens: 'tokens',
  right: 'right',
};

/**
 * Runs the demonstration: short quotes alongside long archives, a confirmation that is sent three times, and a
 * request that cannot meet its deadline. Each line is printed when its request ends.
 *
 * @returns whether every request had the expected result
 */
export async function runDemonstration(): Promise<boolean> {
  const port = await startFleet();
  const rows: Row[] = [];
  const show = (row: Row): void => {
    rows.push(row);
    printRow(row);
  };
  const complete = async (what: string, tokens: number, rank: string, afterMs: number): Promise<void> => {
    await new Promise((resolve) => setTimeout(resolve, afterMs));
    const prompt = makePrompt(tokens, what);
    const result = await requestCompletion({ port, key: KEY, prompt, maxTokens: 24, rank });
    show(rowOf(what, result, result.text === expectedAnswer(prompt, 24)));
  };
  const confirm = async (what: string, afterMs: number): Promise<void> => {
    await new Promise((resolve) => setTimeout(resolve, afterMs));
    const ask = { port, key: KEY, path: CONFIRM_PATH, body: 'vane 17', idempotencyKey: 'order-17' };
    const result = await callService(ask);
    show(rowOf(what, result, result.text.includes('"run":1')));
  };
  const late = async (): Promise<void> => {
    const prompt = makePrompt(300_000, 'late');
    const result = await requestCompletion({ port, key: KEY, prompt, maxTokens: 24, deadlineMs: 500 });
    show(rowOf('archive, 300,000 tokens within 0.5 s', result, result.outcome === 'not_run'));
  };
  printRow(header);
  await Promise.all([
    complete('archive, 300,000 tokens', 300_000, 'standard', 0),
    complete('correspondence, 40,000 tokens', 40_000, 'standard', 100),
    ...Array.from({ length: 6 }, (_, index) =>
      complete(`quote ${String(index + 1)}, 1,000 tokens`, 1_000, 'urgent', 300 + 400 * index),
    ),
    complete('season summary, 20,000 tokens', 20_000, 'batch', 500),
    confirm('confirmation of order 17', 200),
    confirm('confirmation of order 17, sent again', 900),
    confirm('confirmation of order 17, sent once more', 1_600),
    late(),
  ]);
  const right = rows.filter((row) => row.right === 'yes').length;
  process.stdout.write(`${String(right)} of ${String(rows.length)} requests had the expected result; `);
  process.stdout.write('the confirmation ran once.\n');
  return right === rows.length;
}
