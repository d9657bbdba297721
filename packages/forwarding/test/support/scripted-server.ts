/** A scripted backend server that writes raw bytes, and a caller, for the tests of forwarding. */
import { request as httpRequest, type IncomingMessage } from 'node:http';
import { type AddressInfo, createServer, type Server, type Socket } from 'node:net';

/** A request as the backend server received it. */
export interface ReceivedRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: ReadonlyMap<string, string>;
  readonly body: string;
}

/** A backend server whose answers a test scripts. */
export interface ScriptedServer {
  readonly port: number;
  readonly received: ReceivedRequest[];
  /** Resolves when `count` connections have closed. */
  whenEnded(count: number): Promise<void>;
  close(): void;
}

/** Answers one request by writing bytes to its socket. */
export type Script = (socket: Socket, request: ReceivedRequest) => void;

function parseRequest(text: string): ReceivedRequest | undefined {
  const end = text.indexOf('\r\n\r\n');
  if (end < 0) {
    return undefined;
  }
  const [line = '', ...lines] = text.slice(0, end).split('\r\n');
  const [method = '', path = ''] = line.split(' ');
  const headers = new Map(
    lines.map((header) => {
      const colon = header.indexOf(':');
      return [header.slice(0, colon).toLowerCase(), header.slice(colon + 1).trim()] as const;
    }),
  );
  const body = text.slice(end + 4);
  return body.length < Number(headers.get('content-length') ?? 0)
    ? undefined
    : { method, path, headers, body };
}

/**
 * Starts a scripted server.
 *
 * @param script - answers each request
 * @returns the server, when it listens
 */
export function startScriptedServer(script: Script): Promise<ScriptedServer> {
  const received: ReceivedRequest[] = [];
  const sockets = new Set<Socket>();
  let ended = 0;
  let waiting: (() => void)[] = [];
  const server: Server = createServer((socket) => {
    sockets.add(socket);
    let text = '';
    let isAnswered = false;
    socket.on('data', (chunk) => {
      text += chunk.toString('latin1');
      const request = parseRequest(text);
      if (request !== undefined && !isAnswered) {
        isAnswered = true;
        received.push(request);
        script(socket, request);
      }
    });
    socket.on('error', () => undefined);
    socket.on('close', () => {
      ended += 1;
      const resolvers = waiting;
      waiting = [];
      resolvers.forEach((wake) => {
        wake();
      });
    });
  });
  const whenEnded = async (count: number): Promise<void> => {
    while (ended < count) {
      await new Promise<void>((resolve) => waiting.push(resolve));
    }
  };
  return new Promise((resolve) => {
    server.listen(0, '127.0.0.1', () => {
      resolve({
        port: (server.address() as AddressInfo).port,
        received,
        whenEnded,
        close: () => {
          server.close();
          sockets.forEach((socket) => socket.destroy());
        },
      });
    });
  });
}

/**
 * Builds the bytes of an answer.
 *
 * @param request - the request that is answered
 * @param body - the body of the answer
 * @param options - status, further headers, and whether the answer states its length
 * @returns the answer, in latin1
 */
export function answerTo(
  request: ReceivedRequest,
  body: string,
  options: { status?: number; headers?: readonly string[]; isFramed?: boolean } = {},
): string {
  const { status = 200, headers = ['signature: vane-1'], isFramed = true } = options;
  const length = isFramed ? [`content-length: ${String(body.length)}`] : ['connection: close'];
  const lines = [
    `HTTP/1.1 ${String(status)} Status`,
    `request-id: ${request.headers.get('request-id') ?? ''}`,
    ...headers,
    ...length,
  ];
  return `${lines.join('\r\n')}\r\n\r\n${body}`;
}

/**
 * Combines two scripts: the first request at any server is answered by one, all others by the other.
 *
 * @param first - answers the first request
 * @param others - answers the others
 * @returns the script for all servers
 */
export function firstThen(first: Script, others: Script): Script {
  let isFirst = true;
  return (socket, request) => {
    const script = isFirst ? first : others;
    isFirst = false;
    script(socket, request);
  };
}

/** The answer that a caller received. */
export interface CallerResult {
  readonly status: number;
  readonly headers: IncomingMessage['headers'];
  readonly body: string;
  /** Whether the answer is complete by its framing. */
  readonly isComplete: boolean;
}

/** A request that a test sends. */
export interface CallerOptions {
  readonly port: number;
  readonly path: string;
  readonly method?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
}

/**
 * Sends a request as a caller would.
 *
 * @param options - the request
 * @param onBody - called with the body received so far, each time more of it arrives
 * @returns the answer, and a function that disconnects the caller
 */
export function callAs(
  options: CallerOptions,
  onBody: (body: string) => void = () => undefined,
): { result: Promise<CallerResult>; leave: () => void } {
  const { port, path, method = 'POST', headers = {}, body = '' } = options;
  const outgoing = httpRequest({
    host: '127.0.0.1',
    port,
    path,
    method,
    headers: { host: 'vanes.example', 'request-id': 'r1', key: 'key-1', timeout: '5000', ...headers },
    agent: false,
  });
  const result = new Promise<CallerResult>((resolve) => {
    outgoing.on('error', () => {
      resolve({ status: 0, headers: {}, body: '', isComplete: false });
    });
    outgoing.on('response', (answer) => {
      let text = '';
      answer.setEncoding('latin1');
      answer.on('data', (chunk: string) => {
        text += chunk;
        onBody(text);
      });
      answer.on('error', () => undefined);
      answer.on('close', () => {
        const { statusCode: status = 0, headers: received, complete: isComplete } = answer;
        resolve({ status, headers: received, body: text, isComplete });
      });
    });
  });
  outgoing.end(body);
  return { result, leave: () => outgoing.destroy() };
}
