/** Engines that crash when they have begun to write an answer on a certain part, and prompts of which some have that part. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { type AddressInfo, type Socket } from 'node:net';
import { type Answer, AnswerEnd, ClientConnection } from './client.js';
import {
  CANNOT_RUN,
  type Deployment,
  entryOfTurn,
  type RouteOptions,
  sleep,
  startDeployment,
} from './deployment.js';
import { createRecorder, type Recorder } from './recorder.js';
import { answerHeaders, eventText } from './server.js';

/** What distinguishes the scripts. */
export interface CrashingPartOptions {
  readonly recordPath: string;
  readonly isTrouble: boolean;
  /** How often an answer may be resumed, and at how many servers one client attempt may be. */
  readonly route: Pick<RouteOptions, 'resumable' | 'attempts'>;
  /** Time from the first token of an answer on the part to the crash of its server, in milliseconds. */
  readonly crashMs: number;
  /** One of this many prompts has the part. */
  readonly poisonedEvery: number;
  /** Whether a client sends a prompt once more that was not answered with success. */
  readonly retries: boolean;
}

const ENTRIES = 3;
const ENGINES = 12;
const EVENTS = 32;
/** Time that an engine takes for an event of 43 tokens at 1.02 ms a step, in milliseconds. */
const EVENT_MS = 44;
/** Time from the arrival of a prompt to its first token, in milliseconds. */
const PREFILL_MS = 25;
/** Time after which a server is back, and after which the store drops the entry of the ended run, in milliseconds. */
const RETURN_MS = 3_000;
const EXPIRY_MS = 3_600;
const PROMPTS_PER_SECOND = 30;
const LOAD_MS = 45_000;
/** `stable_window_ms` of the users' settings. */
const STABLE_WINDOW_MS = 3_000;
const CRASHES_TO_LEARN = 5;
const ALLOWED_REQUESTS = 3;
/** The part that crashes servers, and parts that sound prompts have as well. */
const POISON = 'e4402b7d';
const SYSTEM_PART = '5c1e07a2';
const CALLER_PART = '91bd3f06';

interface Arrival {
  readonly atMs: number;
  readonly isPoisoned: boolean;
}

/** What the engines have seen. */
interface EngineEvents {
  readonly arrivals: Arrival[];
  readonly crashTimesMs: number[];
  isStopping: boolean;
}

/** A place for an engine; each crash ends its run, and another run follows at another address under another id. */
class EnginePlace {
  readonly #name: string;
  readonly #options: CrashingPartOptions;
  readonly #deployment: Deployment;
  readonly #record: Recorder;
  readonly #events: EngineEvents;
  #run = 0;
  #listener: Server | undefined;
  readonly #sockets = new Set<Socket>();

  constructor(
    name: string,
    options: CrashingPartOptions,
    deployment: Deployment,
    record: Recorder,
    events: EngineEvents,
  ) {
    this.#name = name;
    this.#options = options;
    this.#deployment = deployment;
    this.#record = record;
    this.#events = events;
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
    this.#deployment.register({ id, service: 'model', port, born: Date.now() });
  }

  stop(): void {
    this.#listener?.close();
    this.#sockets.forEach((socket) => socket.resetAndDestroy());
  }

  #crash(id: string, requestId: string): void {
    const { crashTimesMs } = this.#events;
    if (id !== this.#id || this.#events.isStopping || this.#listener?.listening !== true) {
      return;
    }
    crashTimesMs.push(performance.now());
    this.#record.note(`crash ${String(crashTimesMs.length)}: ${id} ends while it answers ${requestId}`);
    this.stop();
    setTimeout(() => {
      this.#deployment.store.remove(`servers/${id}`);
    }, EXPIRY_MS);
    setTimeout(() => {
      if (!this.#events.isStopping) {
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
    this.#events.arrivals.push({ atMs: performance.now(), isPoisoned });
    if (isPoisoned) {
      this.#record.note(`${requestId} with the part reaches ${id}`);
    }
    const lastEventId = Number(request.headers['last-event-id'] ?? 0);
    request.on('end', () => {
      setTimeout(() => {
        this.#answer(id, requestId, isPoisoned, lastEventId, response);
      }, PREFILL_MS);
    });
  }

  /** Writes an answer from its first token on. */
  #answer(
    id: string,
    requestId: string,
    isPoisoned: boolean,
    lastEventId: number,
    response: ServerResponse,
  ): void {
    if (isPoisoned && this.#options.isTrouble) {
      setTimeout(() => {
        this.#crash(id, requestId);
      }, this.#options.crashMs);
    }
    let next = lastEventId + 1;
    const timer = setInterval(() => {
      if (!response.headersSent) {
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

/** Sends prompts at a steady rate, and counts how they were answered. */
class PromptClients {
  readonly #options: CrashingPartOptions;
  readonly #deployment: Deployment;
  readonly #record: Recorder;
  readonly counts = { sound: 0, soundComplete: 0, soundCut: 0, poisoned: 0 };

  constructor(options: CrashingPartOptions, deployment: Deployment, record: Recorder) {
    this.#options = options;
    this.#deployment = deployment;
    this.#record = record;
  }

  async run(): Promise<void> {
    const endsAtMs = performance.now() + LOAD_MS;
    const prompts: Promise<void>[] = [];
    for (let number = 1; performance.now() < endsAtMs; number += 1) {
      const isPoisoned = number % this.#options.poisonedEvery === 0;
      prompts.push(isPoisoned ? this.#sendPoisoned(number) : this.#sendSound(number));
      await sleep(1_000 / PROMPTS_PER_SECOND);
    }
    await Promise.all(prompts);
  }

  async #sendSound(number: number): Promise<void> {
    const { status, end } = await this.#send(number, `sound-${String(number)}`, false, number);
    this.counts.sound += 1;
    this.counts.soundComplete += status === 200 && end === AnswerEnd.Complete ? 1 : 0;
    this.counts.soundCut += status === 200 && end !== AnswerEnd.Complete ? 1 : 0;
  }

  async #sendPoisoned(number: number): Promise<void> {
    this.counts.poisoned += 1;
    for (let attempt = 1; attempt <= (this.#options.retries ? 2 : 1); attempt += 1) {
      const requestId = `poisoned-${String(number)}-${String(attempt)}`;
      const { status, end, body } = await this.#send(number, requestId, true, number + attempt);
      const detail = status === 200 ? '' : body.toString().trim();
      this.#record.note(`client: ${requestId} status ${String(status)}, ${end} ${detail}`);
      if (status === 200 || status === 503) {
        return;
      }
    }
  }

  /** Sends a prompt; a client that sends it again does so at another entry, under another id. */
  async #send(number: number, requestId: string, isPoisoned: boolean, turn: number): Promise<Answer> {
    const parts = [`${SYSTEM_PART}:40`, `${CALLER_PART}:400`, ...(isPoisoned ? [`${POISON}:200`] : [])];
    const connection = new ClientConnection(entryOfTurn(this.#deployment.entries, turn).callerPort);
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
    return answer;
  }
}

/**
 * Runs a script.
 *
 * @param options - what distinguishes it
 * @returns its exit code
 */
export async function runCrashingPart(options: CrashingPartOptions): Promise<number> {
  const { isTrouble } = options;
  const record = createRecorder(options.recordPath);
  const routes = [{ name: 'draft', service: 'model', kind: 'streaming' as const, ...options.route }];
  const deployment = await startDeployment({ entries: ENTRIES, routes, record });
  const events: EngineEvents = { arrivals: [], crashTimesMs: [], isStopping: false };
  const places = Array.from(
    { length: ENGINES },
    (_, index) => new EnginePlace(`engine-${String(index)}`, options, deployment, record, events),
  );
  await Promise.all(places.map((place) => place.start()));
  await deployment.whenReady(deployment.entries);
  record.note(
    isTrouble ? 'all entries ready; trouble: a part that crashes servers' : 'all entries ready; no trouble',
  );
  const clients = new PromptClients(options, deployment, record);
  await clients.run();
  events.isStopping = true;
  const { crashTimesMs, arrivals } = events;
  const fifthCrashAtMs = crashTimesMs[CRASHES_TO_LEARN - 1] ?? Number.POSITIVE_INFINITY;
  const late = arrivals.filter(
    ({ isPoisoned, atMs }) => isPoisoned && atMs > fifthCrashAtMs + STABLE_WINDOW_MS,
  );
  const { sound, soundComplete, soundCut, poisoned } = clients.counts;
  record.note(
    `${String(sound)} sound prompts, ${String(soundComplete)} answered whole, ${String(soundCut)} cut; ` +
      `${String(poisoned)} prompts with the part, ${String(crashTimesMs.length)} crashes; ` +
      `${String(late.length)} requests with the part reached servers later than ${String(STABLE_WINDOW_MS)} ms after the fifth crash`,
  );
  const ownExits = deployment.entries.flatMap((entry) => entry.ownExits);
  record.note(`ends of entries by themselves: ${ownExits.join('; ') || 'none'}`);
  await deployment.stop();
  places.forEach((place) => {
    place.stop();
  });
  const couldRun = isTrouble ? crashTimesMs.length > 0 : soundComplete > 0;
  return late.length > ALLOWED_REQUESTS ? 1 : couldRun ? 0 : CANNOT_RUN;
}
