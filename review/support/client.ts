/** A client that keeps a connection for its requests and reads answers as the protocol frames them. */
import { connect, type Socket } from 'node:net';
import { API_KEY, HOST } from './deployment.js';

/** How the length of an answer's body is known. */
export enum Framing {
  Length = 'length',
  Chunks = 'chunks',
  /** The answer ends with its connection. */
  Close = 'close',
  /** No head has arrived. */
  None = 'none',
}

/** How an answer ended. */
export enum AnswerEnd {
  /** As its framing says: by length, by the last chunk, or by an orderly close of the connection. */
  Complete = 'complete',
  /** The connection was closed before the end that the framing says. */
  Cut = 'cut',
  /** The connection was reset. */
  Reset = 'reset',
  /** The client gave up. */
  GivenUp = 'given up',
}

/** An answer as a client received it. */
export interface Answer {
  readonly requestId: string;
  readonly status: number;
  readonly headers: ReadonlyMap<string, string>;
  readonly body: Buffer;
  readonly framing: Framing;
  readonly end: AnswerEnd;
  readonly tookMs: number;
}

/** A request. */
export interface ClientRequest {
  readonly requestId: string;
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly deadlineMs?: number;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: Buffer;
}

interface Parsed {
  readonly isComplete: boolean;
  readonly status: number;
  readonly headers: ReadonlyMap<string, string>;
  readonly body: Buffer;
  readonly framing: Framing;
  /** Number of bytes of the answer. */
  readonly length: number;
}

const HEAD_END = Buffer.from('\r\n\r\n');
const LAST_CHUNK = Buffer.from('0\r\n\r\n');
/** Limit on what the client keeps of an answer, in bytes; it reads on, and drops the rest. */
const MAX_KEPT_BYTES = 2 * 1024 * 1024;
/** Limit up to which an answer is parsed anew with each read, in bytes. */
const MAX_PARSED_OFTEN_BYTES = 64 * 1024;

function readChunks(bytes: Buffer): { readonly body: Buffer; readonly length: number | undefined } {
  const parts: Buffer[] = [];
  let at = 0;
  for (;;) {
    const lineEnd = bytes.indexOf('\r\n', at);
    if (lineEnd < 0) {
      return { body: Buffer.concat(parts), length: undefined };
    }
    const size = Number.parseInt(bytes.toString('latin1', at, lineEnd), 16);
    const from = lineEnd + 2;
    if (bytes.length < from + size + 2) {
      parts.push(bytes.subarray(from, Math.min(bytes.length, from + size)));
      return { body: Buffer.concat(parts), length: undefined };
    }
    if (size === 0) {
      return { body: Buffer.concat(parts), length: from + 2 };
    }
    parts.push(bytes.subarray(from, from + size));
    at = from + size + 2;
  }
}

function parseAnswer(bytes: Buffer): Parsed {
  const headEnd = bytes.indexOf(HEAD_END);
  if (headEnd < 0) {
    const none = {
      status: 0,
      headers: new Map<string, string>(),
      body: Buffer.alloc(0),
      framing: Framing.None,
    };
    return { ...none, isComplete: false, length: 0 };
  }
  const [statusLine = '', ...lines] = bytes.toString('latin1', 0, headEnd).split('\r\n');
  const headers = new Map(
    lines.map((line): [string, string] => {
      const colon = line.indexOf(':');
      return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
    }),
  );
  const status = Number(statusLine.split(' ')[1]);
  const from = headEnd + HEAD_END.length;
  const rest = bytes.subarray(from);
  const contentLength = headers.get('content-length');
  if (headers.get('transfer-encoding') === 'chunked') {
    const { body, length } = readChunks(rest);
    const framing = Framing.Chunks;
    return { status, headers, body, framing, isComplete: length !== undefined, length: from + (length ?? 0) };
  }
  if (contentLength !== undefined) {
    const length = Number(contentLength);
    const body = rest.subarray(0, length);
    const framing = Framing.Length;
    return { status, headers, body, framing, isComplete: body.length === length, length: from + length };
  }
  return { status, headers, body: rest, framing: Framing.Close, isComplete: false, length: bytes.length };
}

function requestBytes(request: ClientRequest): Buffer {
  const { requestId, method, path, deadlineMs = 10_000, headers = {}, body = Buffer.alloc(0) } = request;
  const lines = Object.entries({
    Host: HOST,
    'Api-Key': API_KEY,
    'X-Attempt-Id': requestId,
    'X-Deadline-Ms': String(deadlineMs),
    ...headers,
    ...(method === 'POST' ? { 'Content-Length': String(body.length) } : {}),
  }).map(([name, value]) => `${name}: ${value}\r\n`);
  return Buffer.concat([Buffer.from(`${method} ${path} HTTP/1.1\r\n${lines.join('')}\r\n`), body]);
}

/** A connection of a client to an entry; requests on it follow one another. */
export class ClientConnection {
  readonly #socket: Socket;
  #received: Buffer[] = [];
  #keptBytes = 0;
  #onChange = (): void => undefined;
  #isEnded = false;
  #isReset = false;

  constructor(port: number) {
    this.#socket = connect({ host: '127.0.0.1', port, noDelay: true, allowHalfOpen: true });
    this.#socket.on('data', (chunk) => {
      if (this.#keptBytes < MAX_KEPT_BYTES) {
        this.#received.push(chunk);
        this.#keptBytes += chunk.length;
        const mayBeComplete =
          this.#keptBytes < MAX_PARSED_OFTEN_BYTES || chunk.subarray(-LAST_CHUNK.length).equals(LAST_CHUNK);
        if (mayBeComplete) {
          this.#onChange();
        }
      }
    });
    this.#socket.on('end', () => {
      this.#isEnded = true;
      this.#onChange();
      this.#socket.end();
    });
    this.#socket.on('error', () => {
      this.#isReset = true;
      this.#onChange();
    });
    this.#socket.on('close', () => {
      this.#isEnded = true;
      this.#onChange();
    });
  }

  get isOpen(): boolean {
    return !this.#isEnded && !this.#isReset;
  }

  /** Sends a request and resolves with its answer, or when the client gives up a second after the deadline. */
  request(request: ClientRequest): Promise<Answer> {
    const sentAtMs = performance.now();
    this.#received = [];
    this.#keptBytes = 0;
    return new Promise((resolve) => {
      const finish = (end: AnswerEnd, parsed: Parsed): void => {
        clearTimeout(timer);
        this.#onChange = (): void => undefined;
        const { status, headers, body, framing } = parsed;
        const tookMs = performance.now() - sentAtMs;
        resolve({ requestId: request.requestId, status, headers, body, framing, end, tookMs });
      };
      const timer = setTimeout(
        () => {
          finish(AnswerEnd.GivenUp, parseAnswer(Buffer.concat(this.#received)));
          this.#socket.destroy();
        },
        (request.deadlineMs ?? 10_000) + 1_000,
      );
      const check = (): void => {
        const parsed = parseAnswer(Buffer.concat(this.#received));
        if (parsed.isComplete) {
          finish(AnswerEnd.Complete, parsed);
        } else if (this.#isReset) {
          finish(AnswerEnd.Reset, parsed);
        } else if (this.#isEnded) {
          finish(parsed.framing === Framing.Close ? AnswerEnd.Complete : AnswerEnd.Cut, parsed);
        }
      };
      this.#onChange = check;
      if (this.#isEnded || this.#isReset) {
        check();
        return;
      }
      this.#socket.write(requestBytes(request));
    });
  }

  /** Stops reading; what arrives stays in the buffers of the operating system. */
  pause(): void {
    this.#socket.pause();
  }

  close(): void {
    this.#socket.destroy();
  }
}
