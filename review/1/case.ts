/** Kills an entry while it passes on a stream that has neither a length nor chunks. */
import { type Answer, AnswerEnd, ClientConnection, Framing } from '../support/client.js';
import { type Entry, sleep, startDeployment, entryOfTurn } from '../support/deployment.js';
import { createRecorder } from '../support/recorder.js';
import { answerHeaders, type BackendStandIn, eventText, startBackend } from '../support/server.js';

const EVENTS = 32;
const EVENT_MS = 60;
const ENGINES = 5;
/** Servers that leave out the length of some answers, and how many answers there is one such answer. */
const UNFRAMED_SERVERS = 3;
const UNFRAMED_EVERY = 20;
const CLIENTS = 20;
const LOAD_MS = 30_000;
/** Time from the beginning of an answer without a length to the kill, in milliseconds; the answer takes 1,920. */
const KILL_DELAY_MS = 500;
const KILLS = 2;

const isTrouble = process.env.TROUBLE !== '0';
const record = createRecorder(process.argv[2] ?? 'record.txt');
const deployment = await startDeployment({
  entries: 3,
  routes: [{ name: 'draft', service: 'model', kind: 'streaming' }],
  record,
});
let kills = 0;
let isKillPending = false;
const loadEndsAtMs = performance.now() + LOAD_MS;
/** The entries to which the requests were sent. */
const entryOf = new Map<string, Entry>();

async function killAndRestart(victim: Entry, requestId: string): Promise<void> {
  isKillPending = true;
  kills += 1;
  await sleep(KILL_DELAY_MS);
  record.note(
    `node_kill ${String(kills)}: ${String(KILL_DELAY_MS)} ms after the answer to ${requestId} began`,
  );
  deployment.signal(victim, 'SIGKILL');
  await sleep(1_000);
  deployment.start(victim);
  await sleep(3_000);
  isKillPending = false;
}

function sendUnframed(server: BackendStandIn): void {
  let answers = 0;
  server.handler = ({ requestId }, response) => {
    answers += 1;
    if (answers % UNFRAMED_EVERY !== 0) {
      return false;
    }
    record.note(`${server.id} answers ${requestId} with neither a length nor chunks`);
    response.useChunkedEncodingByDefault = false;
    response.shouldKeepAlive = false;
    response.removeHeader('Transfer-Encoding');
    response.writeHead(200, { ...answerHeaders(server.id, requestId), 'Content-Type': 'text/event-stream' });
    let next = 1;
    const timer = setInterval(() => {
      response.write(eventText(requestId, next));
      next += 1;
      if (next > EVENTS) {
        clearInterval(timer);
        response.end();
        record.note(`${server.id} has sent all ${String(EVENTS)} events of ${requestId}`);
      }
    }, EVENT_MS);
    response.on('close', () => {
      clearInterval(timer);
    });
    const victim = entryOf.get(requestId);
    if (isTrouble && victim !== undefined && !isKillPending && kills < KILLS) {
      void killAndRestart(victim, requestId);
    }
    return true;
  };
}

const servers = await Promise.all(
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
servers.forEach((server) => {
  deployment.register({ id: server.id, service: 'model', port: server.port });
});
servers.slice(0, UNFRAMED_SERVERS).forEach(sendUnframed);
await deployment.whenReady(deployment.entries);
record.note(isTrouble ? 'all entries ready; trouble: node_kill' : 'all entries ready; no trouble');

const answers: Answer[] = [];
let requests = 0;

async function runClient(): Promise<void> {
  while (performance.now() < loadEndsAtMs) {
    requests += 1;
    const requestId = `request-${String(requests)}`;
    const entry = entryOfTurn(deployment.entries, requests);
    entryOf.set(requestId, entry);
    const connection = new ClientConnection(entry.callerPort);
    const answer = await connection.request({
      requestId,
      method: 'POST',
      path: '/draft/x',
      headers: {
        'X-Model': 'm',
        'X-Token-Usage': '5000,1376',
        'X-Prompt-Prefix': `aa:40,${String(requests)}:4960`,
      },
      body: Buffer.from('a prompt'),
    });
    connection.close();
    answers.push(answer);
    if (answer.status === 0 || answer.status === 503) {
      await sleep(200);
    }
  }
}

await Promise.all(Array.from({ length: CLIENTS }, runClient));

/** Whether an answer ended early and looks complete: by its framing, and since it ends after a whole event. */
function looksComplete(answer: Answer): boolean {
  const whole = Array.from({ length: EVENTS }, (_, index) => eventText(answer.requestId, index + 1)).join('');
  const body = answer.body.toString();
  const endsAfterEvent = body === '' || body.endsWith('\n\n');
  return answer.status === 200 && answer.end === AnswerEnd.Complete && body !== whole && endsAfterEvent;
}

const broken = answers.filter(looksComplete);
for (const { requestId, status, framing, end, body } of answers.filter(
  (answer) => answer.framing === Framing.Close || answer.end !== AnswerEnd.Complete || looksComplete(answer),
)) {
  const events = body.toString().split('\n\n').length - 1;
  record.note(
    `client: ${requestId} status ${String(status)}, framing ${framing}, ${end}, ${String(events)} events`,
  );
}
const unframed = answers.filter(({ framing }) => framing === Framing.Close).length;
record.note(
  `${String(answers.length)} answers, ${String(unframed)} without a length, ${String(kills)} kills, ` +
    `${String(broken.length)} ended early and look complete`,
);
await deployment.stop();
servers.forEach((server) => {
  server.close();
});
const couldRun = isTrouble ? kills > 0 : unframed > 0;
process.exit(broken.length > 0 ? 1 : couldRun ? 0 : 2);
