/** Sends prompts with a part that crashes each server that begins to write an answer on it, after two events. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { type AddressInfo, type Socket } from 'node:net';
import { AnswerEnd, ClientConnection } from '../support/client.js';
import { entryOfTurn, sleep, startDeployment } from '../support/deployment.js';
import { createRecorder } from '../support/recorder.js';
import { answerHeaders, eventText } from '../support/server.js';

const ENGINES = 12;
const EVENTS = 32;
/** Time that an engine takes for an event of 43 tokens at 1.02 ms a step, in milliseconds. */
const EVENT_MS = 44;
/** Time from the first token of an answer on the part to the crash of its server, in milliseconds. */
const CRASH_MS = Number(process.env.CRASH_MS ?? 100);
/** Time after which a server is back, and after which the store drops the entry of the ended run, in milliseconds. */
const RETURN_MS = 3_000;
const EXPIRY_MS = 3_600;
const PROMPTS_PER_SECOND = 30;
/** One of this many prompts has the part. */
const POISONED_EVERY = 20;
const LOAD_MS = 45_000;
/** `stable_window_ms` of the users' settings. */
const STABLE_WINDOW_MS = 3_000;
const CRASHES_TO_LEARN = 5;
const ALLOWED_REQUESTS = 3;
/** The part that crashes servers, and parts that sound prompts have as well. */
const POISON = 'e4402b7d';
const SYSTEM_PART = '5c1e07a2';
const CALLER_PART = '91bd3f06';

const isTrouble = process.env.TROUBLE !== '0';
const record = createRecorder(process.argv[2] ?? 'record.txt');
const deployment = await startDeployment({
  entries: 3,
  routes: [{ name: 'draft', service: 'model', kind: 'streaming' }],
  record,
});

interface Arrival {
  readonly requestId: string;
  readonly server: string;
  readonly atMs: number;
  readonly isPoisoned: boolean;
}
const arrivals: Arrival[] = [];
const crashTimesMs: number[] = [];
let isStopping = false;

/** A place for an engine; each crash ends its run, and another run follows at another address under another id. */
class EnginePlace {
  readonly #name: string;
  #run = 0;
  #listener: Server | undefined;
  readonly #sockets = new Set<Socket>();

  constructor(name: string) {
    this.#name = name;
  }

  get #id(): string {
    return `${this.#name}-${String(this.#run)}`;
  }

  async start(): Promise<void> {
    this.#run += 1;
    const id = this.#id;
    const listener = createServer((request, response) => {
      this.#handle(id, request, response);
    });
    listener.on('connection', (socket) => {
      this.#sockets.add(socket);
      socket.on('close', () => this.#sockets.delete(socket));
    });
    await new Promise<void>((resolve) => listener.listen(0, '127.0.0.1', resolve));
    this.#listener = listener;
    const { port } = listener.address() as AddressInfo;
    deployment.register({ id, service: 'model', port, born: Date.now() });
  }

  stop(): void {
    this.#listener?.close();
    this.#sockets.forEach((socket) => socket.resetAndDestroy());
  }

  #crash(id: string, requestId: string): void {
    if (id !== this.#id || isStopping || this.#listener?.listening !== true) {
      return;
    }
    crashTimesMs.push(performance.now());
    record.note(`crash ${String(crashTimesMs.length)}: ${id} ends while it answers ${requestId}`);
    this.stop();
    setTimeout(() => {
      deployment.store.remove(`servers/${id}`);
    }, EXPIRY_MS);
    setTimeout(() => {
      if (!isStopping) {
        void this.start();
      }
    }, RETURN_MS);
  }

  #handle(id: string, request: IncomingMessage, response: ServerResponse): void {
    const requestId = String(request.headers['x-attempt-id'] ?? '');
    response.on('error', () => undefined);
    request.on('error', () => undefined);
    request.resume();
    if (request.headers['x-expect-instance'] !== id) {
      const headers = { 'X-Attempt-Id': requestId, 'X-Not-Executed': '1', 'Content-Length': '0' };
      response.writeHead(421, headers).end();
      return;
    }
    if (request.url?.startsWith('/api/') === true) {
      response.writeHead(200, { 'Content-Type': 'application/json' }).end('{"free":0,"tickets":[]}');
      return;
    }
    const isPoisoned = String(request.headers['x-prompt-prefix']).includes(POISON);
    arrivals.push({ requestId, server: id, atMs: performance.now(), isPoisoned });
    if (isPoisoned) {
      record.note(`${requestId} with the part reaches ${id}`);
    }
    request.on('end', () => {
      setTimeout(() => {
        this.#answer(id, requestId, isPoisoned, response);
      }, 25);
    });
  }

  /** Writes an answer from its first token on. */
  #answer(id: string, requestId: string, isPoisoned: boolean, response: ServerResponse): void {
    if (isPoisoned && isTrouble) {
      setTimeout(() => {
        this.#crash(id, requestId);
      }, CRASH_MS);
    }
    let next = 1;
    const timer = setInterval(() => {
      if (next === 1) {
        response.writeHead(200, { ...answerHeaders(id, requestId), 'Content-Type': 'text/event-stream' });
      }
      response.write(eventText(requestId, next));
      next += 1;
      if (next > EVENTS) {
        clearInterval(timer);
        response.end();
      }
    }, EVENT_MS);
    response.on('close', () => {
      clearInterval(timer);
    });
  }
}

const places = Array.from({ length: ENGINES }, (_, index) => new EnginePlace(`engine-${String(index)}`));
await Promise.all(places.map((place) => place.start()));
await deployment.whenReady(deployment.entries);
record.note(
  isTrouble ? 'all entries ready; trouble: a part that crashes servers' : 'all entries ready; no trouble',
);

const loadEndsAtMs = performance.now() + LOAD_MS;
const counts = { sound: 0, soundComplete: 0, soundCut: 0, poisoned: 0 };

async function sendPrompt(number: number): Promise<void> {
  const isPoisoned = number % POISONED_EVERY === 0;
  const requestId = `${isPoisoned ? 'poisoned' : 'sound'}-${String(number)}`;
  const parts = [`${SYSTEM_PART}:40`, `${CALLER_PART}:400`, ...(isPoisoned ? [`${POISON}:200`] : [])];
  const connection = new ClientConnection(entryOfTurn(deployment.entries, number).callerPort);
  const answer = await connection.request({
    requestId,
    method: 'POST',
    path: '/draft/x',
    headers: {
      'X-Model': 'm',
      'X-Token-Usage': '5000,1376',
      'X-Prompt-Prefix': [...parts, `${(0x1000000 + number).toString(16)}:4360`].join(','),
    },
    body: Buffer.from(`prompt ${String(number)}`),
  });
  connection.close();
  if (isPoisoned) {
    counts.poisoned += 1;
    const { status, end } = answer;
    record.note(
      `client: ${requestId} status ${String(status)}, ${end} ${status === 200 ? '' : answer.body.toString().trim()}`,
    );
    return;
  }
  counts.sound += 1;
  counts.soundComplete += answer.status === 200 && answer.end === AnswerEnd.Complete ? 1 : 0;
  counts.soundCut += answer.status === 200 && answer.end !== AnswerEnd.Complete ? 1 : 0;
}

const prompts: Promise<void>[] = [];
for (let number = 1; performance.now() < loadEndsAtMs; number += 1) {
  prompts.push(sendPrompt(number));
  await sleep(1_000 / PROMPTS_PER_SECOND);
}
await Promise.all(prompts);
isStopping = true;
const fifthCrashAtMs = crashTimesMs[CRASHES_TO_LEARN - 1];
const late = arrivals.filter(
  ({ isPoisoned, atMs }) =>
    isPoisoned && isTrouble && fifthCrashAtMs !== undefined && atMs > fifthCrashAtMs + STABLE_WINDOW_MS,
);
record.note(
  `${String(counts.sound)} sound prompts, ${String(counts.soundComplete)} answered whole, ${String(counts.soundCut)} cut; ` +
    `${String(counts.poisoned)} prompts with the part, ${String(crashTimesMs.length)} crashes; ` +
    `${String(late.length)} requests with the part reached servers later than ${String(STABLE_WINDOW_MS)} ms after the fifth crash`,
);
const ownExits = deployment.entries.flatMap((entry) => entry.ownExits);
record.note(`ends of entries by themselves: ${ownExits.join('; ') || 'none'}`);
await deployment.stop();
places.forEach((place) => {
  place.stop();
});
const couldRun = isTrouble ? crashTimesMs.length > 0 : counts.soundComplete > 0;
process.exit(late.length > ALLOWED_REQUESTS ? 1 : couldRun ? 0 : 2);
