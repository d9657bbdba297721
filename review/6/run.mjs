/**
 * An entry gets SIGTERM while it answers a long stream. Later in its grace period a client sends short streams on connections that
 * it has kept. Their servers are sound, but fall silent for a second. Are these streams answered completely?
 */
import { Buffer } from 'node:buffer';
import { randomBytes } from 'node:crypto';
import { Agent, request } from 'node:http';
import { dirname, join } from 'node:path';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { fileURLToPath } from 'node:url';
import { getStatus } from '../support-2/callers.mjs';
import { ENGINE, startEngine } from '../support-2/engines.mjs';
import { BOUNDS, Entries } from '../support-2/entries.mjs';
import { configuration, HOST, KEY, Record, sleep } from '../support-2/service.mjs';
import { startStore } from '../support-2/store.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
const FOLDER = dirname(fileURLToPath(import.meta.url));
/** "A sound server may fall silent for a second or so and go on". */
const SILENCE_MS = 1_000;
/** Answers of the short streams, in tokens. */
const SHORT_TOKENS = 300;
const LONG_TOKENS = 6_400;
/** When the short streams are sent, in milliseconds after SIGTERM. */
const SENT_AFTER_MS = [5_500, 5_700, 5_900, 6_000, 6_100, 6_200];
const ROUNDS = 3;

const record = new Record();
const silent = new Set();
const store = await startStore('127.0.0.1');
const exits = new Map();
const entries = new Entries({
  onExit: (entry, code, signal) => {
    exits.set(entry.name, performance.now());
    record.add(`${entry.name} ends, code ${String(code)}, signal ${String(signal)}`);
  },
});

/** Sends a stream request on a kept connection; resolves to what the client has seen. */
function stream({ entry, agent, tokens, isSilent = false }) {
  const attempt = randomBytes(8).toString('hex');
  const sentAt = performance.now();
  if (isSilent) {
    silent.add(attempt);
  }
  record.add(`sent ${attempt} to ${entry.name}, ${String(tokens)} tokens of answer at most`);
  return new Promise((resolve) => {
    const finish = (result) => {
      const seen = { attempt, sentAt, tookMs: Math.round(performance.now() - sentAt), ...result };
      record.add(
        `answered ${attempt} status ${String(seen.status)} events ${String(seen.events)} ${seen.complete ? 'complete' : 'broken off'} after ${String(seen.tookMs)} ms`,
      );
      resolve(seen);
    };
    const headers = {
      Host: HOST,
      'X-Attempt-Id': attempt,
      'X-Deadline-Ms': '10000',
      'Api-Key': KEY,
      'X-Model': 'm',
      'X-Token-Usage': `4960,${String(tokens)}`,
      'X-Prompt-Prefix': `5c1e07a2:40,${attempt}:4920`,
      'Content-Length': '4',
    };
    const options = { host: entry.host, port: entry.front, path: '/draft/1', method: 'POST', agent, headers };
    const outgoing = request(options, (response) => {
      const chunks = [];
      response.on('data', (chunk) => chunks.push(chunk));
      const events = () => Buffer.concat(chunks).toString('utf8').split('\n\n').length - 1;
      response.once('error', () =>
        finish({ status: response.statusCode, events: events(), complete: false }),
      );
      response.once('end', () =>
        finish({ status: response.statusCode, events: events(), complete: response.complete }),
      );
    });
    outgoing.once('error', (error) =>
      finish({ status: 0, events: 0, complete: false, error: error.message }),
    );
    outgoing.end('vane');
  });
}

async function playRound(entry) {
  const agents = SENT_AFTER_MS.map(() => new Agent({ keepAlive: true, maxSockets: 1 }));
  await Promise.all(agents.map((agent) => stream({ entry, agent, tokens: 86 })));
  await sleep(1_000);
  const longStream = stream({ entry, agent: new Agent({ keepAlive: true }), tokens: LONG_TOKENS });
  await sleep(200);
  const startedAt = performance.now();
  if (hasTrouble) {
    record.add(`SIGTERM to ${entry.name}`);
    entry.child.kill('SIGTERM');
  }
  const short = await Promise.all(
    agents.map(async (agent, index) => {
      await sleep(SENT_AFTER_MS[index] - (performance.now() - startedAt));
      return stream({ entry, agent, tokens: SHORT_TOKENS, isSilent: true });
    }),
  );
  await longStream;
  await sleep(2_500);
  agents.forEach((agent) => agent.destroy());
  return short;
}

try {
  const config = configuration();
  const route = {
    name: 'draft',
    host: HOST,
    path_prefix: '/draft/',
    kind: 'streaming',
    resumable: true,
    sticky: true,
    service: 'model',
    timeout_ms: 10_000,
    target_latency_ms: 300,
    target_gap_ms: 250,
    attempts: 2,
    priority: 0,
  };
  store.put('op/config', {
    ...config,
    routes: [...config.routes, route],
    services: [...config.services, { name: 'model', max_connections: 374, engine: ENGINE }],
  });
  for (let index = 0; index < 6; index += 1) {
    const engine = await startEngine({
      id: `engine-${String(index)}`,
      host: '127.0.0.1',
      onArrival: ({ server, attempt }) => record.add(`arrives ${attempt} at ${server}`),
      onEnd: ({ server, attempt, events, complete }) =>
        record.add(
          `${complete ? 'ends' : 'is cut off'} ${attempt} at ${server}, ${String(events)} events made`,
        ),
      silenceOf: (attempt) => (silent.has(attempt) ? { event: 3, ms: SILENCE_MS } : undefined),
    });
    store.put(`servers/${engine.id}`, {
      service: 'model',
      address: engine.address,
      zone: 'bagmati-a',
      version: 1,
      slots: ENGINE.slots,
      state: 'ready',
      cold_ms: 0,
      seq: 1,
      born: Date.now(),
    });
  }
  const names = ['a-1', 'a-2', 'a-3'].map((name) => `edge-bagmati-${name}`);
  await entries.plan({ names, storeAddress: `127.0.0.1:${String(store.port)}` });
  entries.all.forEach((entry) => entries.start(entry, true));
  for (const entry of entries.all) {
    await entries.ready(entry, getStatus);
  }
} catch (error) {
  record.add(`could not start: ${String(error)}`);
  record.write(join(FOLDER, 'record.txt'));
  await entries.stop();
  process.exit(2);
}
await sleep(3_500);
const seen = [];
for (const entry of entries.all.slice(0, ROUNDS)) {
  seen.push(...(await playRound(entry)));
}
const lost = seen.filter(({ complete, events }) => !complete && events > 0);
const summary = [
  `short streams sent late in the grace period: ${String(seen.length)}`,
  `answered 503 (not run): ${String(seen.filter(({ status }) => status === 503).length)}`,
  `answered completely: ${String(seen.filter(({ status, complete }) => status === 200 && complete).length)}`,
  `begun, and broken off without a complete answer: ${String(lost.length)}`,
];
summary.forEach((line) => {
  record.add(line);
  process.stdout.write(`${line}\n`);
});
record.add(`grace period ${String(BOUNDS.grace_s)} s`);
record.write(join(FOLDER, 'record.txt'));
await entries.stop();
process.exit(lost.length > 0 ? 1 : 0);
