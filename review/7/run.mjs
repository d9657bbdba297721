/**
 * The store is away for some seconds. Some seconds after its return four servers leave, two of which never report `draining`,
 * and the process of one entry is killed and starts again. Do the other entries learn that all four have left?
 */
import { dirname, join } from 'node:path';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { setTimeout } from 'node:timers';
import { fileURLToPath } from 'node:url';
import { getStatus, send } from '../support-2/callers.mjs';
import { BOUNDS, Entries } from '../support-2/entries.mjs';
import { configuration, Desk, HOST, KEY, Record, sleep } from '../support-2/service.mjs';
import { startStore } from '../support-2/store.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
const ROUNDS = 5;
const OUTAGE_MS = 4_500;
/** From the return of the store to the change: the store is stable, and all calm entries are in touch. */
const STABLE_MS = BOUNDS.stable_window_ms + 40;
const KILL_BEFORE_MS = 250;
const RESTART_MS = 300;
/** How long a server that leaves without a report serves on after its entry was removed. */
const SERVES_MS = 8_000;
/** The bound of the rule, and three seconds more, by which any delay of the change itself is over. */
const LATE_MS = BOUNDS.drain_timeout_ms + 3_000;
const WORK_MS = 150;
const REQUEST_INTERVAL_MS = 40;

const record = new Record();
const removedAt = new Map();
const entryOf = new Map();
const late = [];
const cut = [];
const store = await startStore('127.0.0.1');
const desk = new Desk(store, {
  workMs: WORK_MS,
  onArrival: ({ server, attempt, path }) => {
    const sinceMs = performance.now() - (removedAt.get(server) ?? Number.POSITIVE_INFINITY);
    const { entry, isInTouch } = entryOf.get(attempt) ?? {};
    record.add(`arrives ${attempt} at ${server} from ${entry?.name} ${path}`);
    if (sinceMs > BOUNDS.drain_timeout_ms) {
      late.push({
        server,
        attempt,
        entry: entry?.name,
        sinceMs: Math.round(sinceMs),
        isInTouch: isInTouch(),
      });
    }
  },
  onRun: ({ server, attempt }) => {
    record.add(`runs ${attempt} at ${server}`);
  },
  onEnd: ({ server, attempt, complete }) => {
    record.add(`${complete ? 'ends' : 'is cut off'} ${attempt} at ${server}`);
  },
});
store.put('op/config', configuration());
const entries = new Entries();
const names = ['a-1', 'a-2', 'a-3', 'a-4', 'a-5'].map((name) => `edge-bagmati-${name}`);
let isOver = false;

/** Sends requests to one entry, as long as the platform would. */
async function useEntry(entry) {
  for (let count = 0; !isOver; count += 1) {
    await sleep(REQUEST_INTERVAL_MS);
    if (entry.isDown === true) {
      continue;
    }
    const isConfirm = count % 2 === 0;
    const path = isConfirm ? '/confirm/1' : '/lookup/1';
    const method = isConfirm ? 'POST' : 'GET';
    const isInTouch = () => performance.now() - (entry.startedAt ?? 0) > BOUNDS.stable_window_ms;
    const options = { entry, host: HOST, key: KEY, path, method, body: isConfirm ? 'one vane' : undefined };
    const sending = send({
      ...options,
      onAttempt: (attempt) => {
        entryOf.set(attempt, { entry, isInTouch });
        record.add(`sent ${attempt} to ${entry.name} ${method} ${path}`);
      },
    });
    void sending.then(({ attempt, status, complete }) => {
      record.add(`answered ${attempt} ${String(status)}${complete ? '' : ' incomplete'}`);
      if (status === 502 || status === 0) {
        cut.push(attempt);
      }
    });
  }
}

async function playRound(round) {
  if (hasTrouble) {
    record.add('the store is down (silent)');
    store.mode = 'silent';
    await sleep(OUTAGE_MS);
    store.mode = 'ok';
    record.add('the store is back');
  }
  await sleep(STABLE_MS - KILL_BEFORE_MS);
  if (hasTrouble) {
    const entry = entries.all[(2 * round) % entries.all.length];
    entry.isDown = true;
    record.add(`SIGKILL to ${entry.name}`);
    entry.child.kill('SIGKILL');
    setTimeout(() => {
      entry.startedAt = performance.now();
      entries.start(entry);
      record.add(`start of ${entry.name}`);
    }, RESTART_MS);
    setTimeout(() => {
      entry.isDown = false;
    }, RESTART_MS + 1_000);
  }
  await sleep(KILL_BEFORE_MS);
  for (let pair = 0; pair < 2; pair += 1) {
    const draining = desk.drain(BOUNDS.drain_timeout_ms);
    record.add(`${draining.id} reports draining`);
    const leaving = desk.leave(SERVES_MS);
    removedAt.set(leaving.id, performance.now());
    record.add(`${leaving.id} leaves: its entry is removed, it serves ${String(SERVES_MS)} ms more`);
  }
  await sleep(SERVES_MS + 1_500);
  for (let count = 0; count < 4; count += 1) {
    await desk.add();
  }
  await sleep(1_000);
}

try {
  for (let count = 0; count < 12; count += 1) {
    await desk.add();
  }
  await entries.plan({ names, storeAddress: `127.0.0.1:${String(store.port)}` });
  entries.all.forEach((entry) => entries.start(entry, true));
  for (const entry of entries.all) {
    await entries.ready(entry, getStatus);
  }
} catch (error) {
  record.add(`could not start: ${String(error)}`);
  record.write(join(dirname(fileURLToPath(import.meta.url)), 'record.txt'));
  await entries.stop();
  process.exit(2);
}
await sleep(3_000);
entries.all.forEach((entry) => {
  void useEntry(entry);
});
for (let round = 0; round < ROUNDS; round += 1) {
  await playRound(round);
}
isOver = true;
await sleep(1_000);
const broken = late.filter(({ sinceMs, isInTouch }) => sinceMs > LATE_MS && isInTouch);
const stale = new Map();
for (const { server, entry, sinceMs } of broken) {
  const key = `${entry} to ${server}`;
  const before = stale.get(key) ?? { requests: 0, lastMs: 0 };
  stale.set(key, { requests: before.requests + 1, lastMs: Math.max(before.lastMs, sinceMs) });
}
const lost = broken.filter(({ attempt }) => cut.includes(attempt)).length;
const summary = [
  `servers that left without a report: ${String(removedAt.size)}`,
  `requests that reached one later than ${String(BOUNDS.drain_timeout_ms)} ms after: ${String(late.length)}`,
  `of these, later than ${String(LATE_MS)} ms and from entries in touch: ${String(broken.length)}`,
  ...[...stale].map(
    ([key, { requests, lastMs }]) => `  ${key}: ${String(requests)}, the last after ${String(lastMs)} ms`,
  ),
  `of these, without an answer of the server, which ended: ${String(lost)}`,
];
summary.forEach((line) => {
  record.add(line);
  process.stdout.write(`${line}\n`);
});
record.write(join(dirname(fileURLToPath(import.meta.url)), 'record.txt'));
await entries.stop();
desk.stop();
store.close();
process.exit(broken.length > 0 ? 1 : 0);
