/** Sends a request again and again that crashes each server that begins to run it; servers start again under their ids. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { type AddressInfo, type Socket } from 'node:net';
import { type Answer, AnswerEnd, ClientConnection } from '../support/client.js';
import { CANNOT_RUN, entryOfTurn, sleep, startDeployment } from '../support/deployment.js';
import { createRecorder } from '../support/recorder.js';
import { answerHeaders } from '../support/server.js';

const SERVERS = 3;
/** Work of a call, and time from the beginning of a fatal one to the crash, in milliseconds. */
const CALL_MS = 43;
const CRASH_MS = 30;
/** Time after which a server is back, in milliseconds; its entry in the store expires only after 3,600. */
const RETURN_MS = 2_500;
/** Time between two times that the fatal request comes, in milliseconds. */
const FATAL_INTERVAL_MS = 4_000;
const FATAL_PATH = '/confirm/fatal';
const CALLS_PER_SECOND = 60;
const LOAD_MS = 60_000;
/** `stable_window_ms` of the users' settings. */
const STABLE_WINDOW_MS = 3_000;
const CRASHES_TO_LEARN = 3;
const ALLOWED_RETRIES = 3;

const isTrouble = process.env.TROUBLE !== '0';
/** With NEW_IDS=1, each run of a server has a new id; the rule then holds. */
const hasNewIds = process.env.NEW_IDS === '1';
const record = createRecorder(process.argv[2] ?? 'record.txt');
const deployment = await startDeployment({
  entries: 3,
  routes: [{ name: 'confirm', service: 'desk', kind: 'non_idempotent', attempts: 1, timeoutMs: 4_000 }],
  record,
});
const fatalArrivalsMs: number[] = [];
const crashTimesMs: number[] = [];
let isStopping = false;

/** A plain service; each crash ends its run, and another one follows at the same address. */
class PlainServer {
  readonly #name: string;
  #run = 1;
  #port = 0;
  #listener: Server | undefined;
  readonly #sockets = new Set<Socket>();

  constructor(name: string) {
    this.#name = name;
  }

  get #id(): string {
    return hasNewIds ? `${this.#name}-${String(this.#run)}` : this.#name;
  }

  async start(): Promise<void> {
    const run = this.#run;
    const listener = createServer((request, response) => {
      this.#handle(run, request, response);
    });
    listener.on('connection', (socket) => {
      this.#sockets.add(socket);
      socket.on('close', () => this.#sockets.delete(socket));
    });
    await new Promise<void>((resolve) => listener.listen(this.#port, '127.0.0.1', resolve));
    this.#listener = listener;
    this.#port = (listener.address() as AddressInfo).port;
    deployment.register({ id: this.#id, service: 'desk', port: this.#port, slots: 6, born: Date.now() });
  }

  stop(): void {
    this.#listener?.close();
    this.#sockets.forEach((socket) => socket.resetAndDestroy());
  }

  #crash(run: number, requestId: string): void {
    if (run !== this.#run || isStopping) {
      return;
    }
    crashTimesMs.push(performance.now());
    record.note(`crash ${String(crashTimesMs.length)}: ${this.#id} ends while it runs ${requestId}`);
    const endedId = this.#id;
    this.#run += 1;
    this.stop();
    setTimeout(() => {
      if (!isStopping) {
        if (hasNewIds) {
          deployment.store.remove(`servers/${endedId}`);
        }
        void this.start();
      }
    }, RETURN_MS);
  }

  #handle(run: number, request: IncomingMessage, response: ServerResponse): void {
    const requestId = String(request.headers['x-attempt-id'] ?? '');
    response.on('error', () => undefined);
    request.on('error', () => undefined);
    request.resume();
    if (request.headers['x-expect-instance'] !== this.#id) {
      const headers = { 'X-Attempt-Id': requestId, 'X-Not-Executed': '1', 'Content-Length': '0' };
      response.writeHead(421, headers).end();
      return;
    }
    const isFatal = request.url === FATAL_PATH;
    if (isFatal) {
      fatalArrivalsMs.push(performance.now());
      record.note(`${requestId} reaches ${this.#id}`);
    }
    request.on('end', () => {
      if (isFatal && isTrouble) {
        setTimeout(() => {
          this.#crash(run, requestId);
        }, CRASH_MS);
      }
      setTimeout(() => {
        if (run === this.#run) {
          const body = `answer to ${requestId}`;
          const headers = { ...answerHeaders(this.#id, requestId), 'Content-Length': String(body.length) };
          response.writeHead(200, headers).end(body);
        }
      }, CALL_MS);
    });
  }
}

const servers = Array.from({ length: SERVERS }, (_, index) => new PlainServer(`desk-${String(index)}`));
await Promise.all(servers.map((server) => server.start()));
await deployment.whenReady(deployment.entries);
record.note(
  isTrouble ? 'all entries ready; trouble: a request that crashes servers' : 'all entries ready; no trouble',
);

async function send(requestId: string, path: string, turn: number): Promise<Answer> {
  const connection = new ClientConnection(entryOfTurn(deployment.entries, turn).callerPort);
  const body = Buffer.from(path === FATAL_PATH ? 'an odd order' : `order ${requestId}`);
  const answer = await connection.request({ requestId, method: 'POST', path, deadlineMs: 4_000, body });
  connection.close();
  return answer;
}

const loadEndsAtMs = performance.now() + LOAD_MS;
const counts = { sound: 0, answered: 0, lost: 0 };

async function sendSound(number: number): Promise<void> {
  const { status, end } = await send(`sound-${String(number)}`, '/confirm/order', number);
  counts.sound += 1;
  counts.answered += status === 200 && end === AnswerEnd.Complete ? 1 : 0;
  counts.lost += status === 502 ? 1 : 0;
}

async function sendFatal(): Promise<void> {
  await sleep(2_000);
  for (let number = 1; performance.now() < loadEndsAtMs; number += 1) {
    const requestId = `fatal-${String(number)}`;
    const { status, end, body } = await send(requestId, FATAL_PATH, number);
    record.note(`client: ${requestId} status ${String(status)}, ${end} ${body.toString().trim()}`);
    await sleep(FATAL_INTERVAL_MS);
  }
}

async function sendSoundCalls(): Promise<void> {
  const calls: Promise<void>[] = [];
  for (let number = 1; performance.now() < loadEndsAtMs; number += 1) {
    calls.push(sendSound(number));
    await sleep(1_000 / CALLS_PER_SECOND);
  }
  await Promise.all(calls);
}

await Promise.all([sendSoundCalls(), sendFatal()]);
isStopping = true;
const thirdCrashAtMs = crashTimesMs[CRASHES_TO_LEARN - 1] ?? Number.POSITIVE_INFINITY;
const late = fatalArrivalsMs.filter((atMs) => atMs > thirdCrashAtMs + STABLE_WINDOW_MS);
record.note(
  `${String(counts.sound)} sound calls, ${String(counts.answered)} answered, ${String(counts.lost)} lost in crashes (502); ` +
    `${String(crashTimesMs.length)} crashes; the fatal request reached servers ${String(late.length)} times ` +
    `later than ${String(STABLE_WINDOW_MS)} ms after the third crash`,
);
const ownExits = deployment.entries.flatMap((entry) => entry.ownExits);
record.note(`ends of entries by themselves: ${ownExits.join('; ') || 'none'}`);
await deployment.stop();
servers.forEach((server) => {
  server.stop();
});
const couldRun = isTrouble ? crashTimesMs.length > 0 : counts.answered > 0;
process.exit(late.length > ALLOWED_RETRIES ? 1 : couldRun ? 0 : CANNOT_RUN);
