/** Lets a faulty server answer some prompts with bytes without end, beside sound requests at the same entries. */
import { type Answer, AnswerEnd, ClientConnection } from '../support/client.js';
import { type Entry, sleep, startDeployment, entryOfTurn } from '../support/deployment.js';
import { createRecorder } from '../support/recorder.js';
import { answerHeaders, type BackendStandIn, startBackend } from '../support/server.js';

const ENGINES = 5;
const EVENTS = 32;
const EVENT_MS = 50;
/** Some engines are faulty, and each spoils one of this many of its answers. */
const FAULTY_ENGINES = 2;
const SPOILED_EVERY = 20;
/** What the faulty server sends again and again, until the connection is closed: no event, and nothing of the answer. */
const GARBAGE = Buffer.from('garbage garbage garbage garbage garbag\n\n'.repeat(4_096));
/** Interval between the pieces of garbage, in milliseconds: at most 20 MB/s, a sixth of the link of an entry. */
const GARBAGE_INTERVAL_MS = 8;
const STREAM_CLIENTS = 16;
const CALLERS = 40;
const CALL_MS = 86;
const LOAD_MS = 60_000;
/** Time after which the platform starts a process again that has ended, in milliseconds. */
const RESTART_DELAY_MS = 500;
/** Requests that a machine in touch may lose on kept connections, by the rule. */
const ALLOWED_LOSSES = 3;

const isTrouble = process.env.TROUBLE !== '0';
const record = createRecorder(process.argv[2] ?? 'record.txt');
const deployment = await startDeployment({
  entries: 2,
  routes: [
    { name: 'draft', service: 'model', kind: 'streaming' },
    { name: 'confirm', service: 'desk', kind: 'non_idempotent' },
  ],
  record,
});
const { entries } = deployment;
const loadEndsAtMs = performance.now() + LOAD_MS;
const isLoadOver = (): boolean => performance.now() >= loadEndsAtMs;

const engines = await Promise.all(
  Array.from({ length: ENGINES }, (_, index) =>
    startBackend({
      id: `engine-${String(index)}`,
      isEngine: true,
      callMs: 0,
      events: EVENTS,
      eventMs: EVENT_MS,
    }),
  ),
);
const desks = await Promise.all(
  [0, 1, 2].map((index) =>
    startBackend({ id: `desk-${String(index)}`, isEngine: false, callMs: CALL_MS, events: 0, eventMs: 0 }),
  ),
);
engines.forEach(({ id, port }) => {
  deployment.register({ id, service: 'model', port });
});
desks.forEach(({ id, port }) => {
  deployment.register({ id, service: 'desk', port, slots: 64 });
});

let spoiled = 0;

function spoilAnswers(server: BackendStandIn): void {
  let answers = 0;
  server.handler = ({ requestId }, response) => {
    answers += 1;
    if (answers % SPOILED_EVERY !== 0) {
      return false;
    }
    spoiled += 1;
    let isOpen = true;
    let sentBytes = 0;
    record.note(`${server.id} answers ${requestId} with garbage without end`);
    response.writeHead(200, { ...answerHeaders(server.id, requestId), 'Content-Type': 'text/event-stream' });
    response.on('close', () => {
      isOpen = false;
      record.note(`the connection of ${requestId} is closed after ${String(Math.round(sentBytes / 1e6))} MB`);
    });
    const timer = setInterval(() => {
      if (!isOpen) {
        clearInterval(timer);
      } else if (!response.writableNeedDrain) {
        sentBytes += GARBAGE.length;
        response.write(GARBAGE);
      }
    }, GARBAGE_INTERVAL_MS);
    return true;
  };
}
if (isTrouble) {
  engines.slice(0, FAULTY_ENGINES).forEach(spoilAnswers);
}
await deployment.whenReady(entries);
record.note(isTrouble ? 'all entries ready; trouble: garble' : 'all entries ready; no trouble');

let streamCount = 0;
let wholeStreams = 0;

async function sendStreams(): Promise<void> {
  while (!isLoadOver()) {
    streamCount += 1;
    const number = streamCount;
    const requestId = `stream-${String(number)}`;
    const connection = new ClientConnection(entryOfTurn(entries, number).callerPort);
    const answer = await connection.request({
      requestId,
      method: 'POST',
      path: '/draft/x',
      headers: {
        'X-Model': 'm',
        'X-Token-Usage': '5000,1376',
        'X-Prompt-Prefix': `aa:40,${String(number)}:4960`,
      },
      body: Buffer.from('a prompt'),
    });
    connection.close();
    wholeStreams += answer.status === 200 && answer.end === AnswerEnd.Complete ? 1 : 0;
    if (answer.status !== 200) {
      await sleep(200);
    }
  }
}

interface Call {
  readonly entry: string;
  readonly answer: Answer;
  /** Whether an answer had come on the connection before. */
  readonly isKept: boolean;
}
const calls: Call[] = [];
let callCount = 0;

/** Sends calls one after the other on one connection as long as it is open. */
async function sendCalls(entry: Entry): Promise<void> {
  while (!isLoadOver()) {
    const connection = new ClientConnection(entry.callerPort);
    for (let isKept = false; !isLoadOver() && connection.isOpen; isKept = true) {
      callCount += 1;
      const requestId = `call-${String(callCount)}`;
      const answer = await connection.request({
        requestId,
        method: 'POST',
        path: '/confirm/x',
        deadlineMs: 10_000,
      });
      calls.push({ entry: entry.name, answer, isKept });
    }
    connection.close();
    await sleep(100);
  }
}

/** Starts entries again that have ended by themselves, as the platform does. */
async function restartEntries(): Promise<void> {
  while (!isLoadOver()) {
    for (const entry of entries.filter(({ child }) => child.exitCode !== null || child.signalCode !== null)) {
      await sleep(RESTART_DELAY_MS);
      deployment.start(entry);
    }
    await sleep(50);
  }
}

await Promise.all([
  restartEntries(),
  ...Array.from({ length: STREAM_CLIENTS }, sendStreams),
  ...Array.from({ length: CALLERS }, (_, index) => sendCalls(entryOfTurn(entries, index))),
]);
for (const { name, ownExits, lines } of entries) {
  record.note(`${name} has ended by itself: ${ownExits.join('; ') || 'never'}`);
  lines.filter((line) => line.includes('FATAL ERROR')).forEach(record.note);
}
const ran = new Set(desks.flatMap(({ runs }) => runs.map(({ requestId }) => requestId)));
const lost = calls.filter(
  ({ answer, isKept }) =>
    isKept &&
    answer.status === 0 &&
    [AnswerEnd.Cut, AnswerEnd.Reset].includes(answer.end) &&
    ran.has(answer.requestId),
);
lost.forEach(({ entry, answer }) => {
  record.note(
    `lost: ${answer.requestId} on a kept connection to ${entry}: it ran, and the connection ended (${answer.end})`,
  );
});
for (const { entry, answer, isKept } of calls.filter(({ answer: { status } }) => status !== 200)) {
  record.note(
    `not answered with success: ${answer.requestId} at ${entry}, status ${String(answer.status)}, ${answer.end}, ` +
      `${isKept ? 'kept' : 'new'} connection, ${ran.has(answer.requestId) ? 'ran' : 'not run'}, ${answer.tookMs.toFixed(0)} ms`,
  );
}
const answered = calls.filter(({ answer }) => answer.status === 200).length;
record.note(
  `${String(streamCount)} streams, ${String(wholeStreams)} complete, ${String(spoiled)} spoiled by the server; ` +
    `${String(calls.length)} calls to sound servers, ${String(answered)} answered, ` +
    `${String(lost.length)} lost on kept connections`,
);
await deployment.stop();
[...engines, ...desks].forEach((server) => {
  server.close();
});
const couldRun = answered > 0 && wholeStreams > 0 && (spoiled > 0 || !isTrouble);
process.exit(lost.length > ALLOWED_LOSSES ? 1 : couldRun ? 0 : 2);
