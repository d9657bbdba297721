/**
 * Hands the input of one connection to Node's HTTP server in pieces.
 *
 * Load pattern: a client sends requests ahead and does not read their answers, or more than the process can handle beside
 * its other connections. Its input waits, in this process up to a limit and then in the client.
 */
import { type IncomingMessage } from 'node:http';
import { type Socket } from 'node:net';
import { type InputMemory } from './input-memory.js';
import { nextPiece } from './input-meter.js';

/** The input of one connection. */
export interface MeteredConnection {
  /** Records that the head of a request has been read. */
  begun(message: IncomingMessage): void;
  /** Records that the answer to a request has been sent. */
  ended(): void;
  /** Handles no more input, and reads none. */
  stop(): void;
  /** Sends the end of the output, drops some of what arrives, and closes the connection after a second at the latest. */
  linger(): void;
}

/** Number of requests of a connection that are read before the first of them is answered; ordinary clients send one. */
const MAX_UNANSWERED = 8;
/** Number of listeners to an event of a connection above which Node warns of a leak; each unanswered request has some. */
const MAX_LISTENERS = 10 + 2 * MAX_UNANSWERED;
/** Limit on the input of a connection that waits to be handled in bytes; beyond it, the connection is not read. */
const MAX_WAITING_BYTES = 64 * 1024;
/** Input that each connection may hold in any case, in bytes: the longest head of an ordinary caller. */
const FREE_BYTES = 16 * 1024;
/** Number of pieces of a connection that are handled before others are served. */
const PIECES_PER_TURN = 16;
/**
 * Time for which a connection is read after an answer that ends it, in milliseconds. Closed with last input it would be
 * reset, and the client could lose the answer.
 */
const LINGER_MS = 1_000;
/** Limit on the input that is read and dropped after such an answer in bytes. */
const MAX_DROPPED_BYTES = 64 * 1024;

function bodyLengthOf({ headers }: IncomingMessage): number {
  return headers['transfer-encoding'] === undefined ? Number(headers['content-length'] ?? 0) : 0;
}

/**
 * Takes over the input of a connection that Node's HTTP server has accepted.
 *
 * @param socket - the connection
 * @param memory - memory for the input of all connections
 * @param onExceeded - called before the connection is closed since all of them hold too much
 * @returns the input of the connection
 */
export function meterConnection(
  socket: Socket,
  memory: InputMemory,
  onExceeded: () => void,
): MeteredConnection {
  const handlers = socket.listeners('data') as ((piece: Buffer) => void)[];
  const pauseSocket = socket.pause.bind(socket);
  const resumeSocket = socket.resume.bind(socket);
  let waiting: Buffer = Buffer.alloc(0);
  /** The last request whose head has been read. */
  let last: IncomingMessage | undefined;
  let bodyBytesLeft = 0;
  let headBytes = 0;
  let unanswered = 0;
  let accountedBytes = 0;
  let accountedWaiting = 0;
  /** Whether the HTTP server wants input; it does not while a body or answers wait for their readers. */
  let isWanted = true;
  let isStopped = false;
  let isDropping = false;
  let droppedBytes = 0;
  let isScheduled = false;
  let isHandling = false;

  const account = (): void => {
    const bytes = waiting.length + headBytes;
    const requests = Math.max(0, unanswered - 1);
    memory.add(bytes - accountedBytes);
    memory.addWaiting(requests - accountedWaiting);
    accountedBytes = bytes;
    accountedWaiting = requests;
  };
  const canHandle = (): boolean =>
    waiting.length > 0 &&
    isWanted &&
    !isStopped &&
    !socket.destroyed &&
    !socket.writableEnded &&
    (unanswered === 0 || last?.complete === false || (unanswered < MAX_UNANSWERED && memory.hasRoomToWait()));
  const handlePiece = (): boolean => {
    const { length, endsTurn } = nextPiece(waiting, { bodyBytesLeft });
    const piece = waiting.subarray(0, length);
    waiting = length === waiting.length ? Buffer.alloc(0) : waiting.subarray(length);
    if (bodyBytesLeft > 0) {
      bodyBytesLeft -= length;
    } else if (last?.complete !== false) {
      headBytes += length;
    }
    handlers.forEach((handle) => {
      handle.call(socket, piece);
    });
    return endsTurn;
  };
  const readOrPause = (): void => {
    if (isWanted && waiting.length < MAX_WAITING_BYTES) {
      if (socket.isPaused()) {
        resumeSocket();
      }
    } else if (!socket.isPaused()) {
      pauseSocket();
    }
  };
  const handleWaiting = (): void => {
    if (isHandling) {
      return;
    }
    isHandling = true;
    let isTurnOver = false;
    for (let pieces = 0; pieces < PIECES_PER_TURN && !isTurnOver && canHandle(); pieces += 1) {
      isTurnOver = handlePiece();
    }
    isHandling = false;
    account();
    if (isStopped || socket.destroyed) {
      return;
    }
    if (memory.isExceeded() && accountedBytes > FREE_BYTES) {
      onExceeded();
      socket.destroy();
      return;
    }
    if (canHandle()) {
      schedule();
    }
    readOrPause();
  };
  const schedule = (): void => {
    if (!isScheduled) {
      isScheduled = true;
      setImmediate(() => {
        isScheduled = false;
        handleWaiting();
      });
    }
  };

  socket.setMaxListeners(MAX_LISTENERS);
  handlers.forEach((handle) => socket.off('data', handle));
  socket.on('data', (chunk: Buffer) => {
    if (isStopped) {
      droppedBytes += chunk.length;
      if (droppedBytes > MAX_DROPPED_BYTES) {
        pauseSocket();
      }
      return;
    }
    waiting = waiting.length === 0 ? chunk : Buffer.concat([waiting, chunk]);
    if (isScheduled) {
      readOrPause();
    } else {
      handleWaiting();
    }
  });
  socket.pause = () => {
    isWanted = false;
    return isStopped ? socket : pauseSocket();
  };
  socket.resume = () => {
    isWanted = true;
    if (waiting.length > 0) {
      if (!isHandling) {
        schedule();
      }
      return socket;
    }
    return isStopped ? socket : resumeSocket();
  };
  const stop = (): void => {
    isStopped = true;
    waiting = Buffer.alloc(0);
    headBytes = 0;
    account();
    pauseSocket();
  };
  socket.once('close', () => {
    unanswered = 0;
    stop();
  });
  return {
    begun: (message) => {
      last = message;
      unanswered += 1;
      headBytes = 0;
      bodyBytesLeft = bodyLengthOf(message);
    },
    ended: () => {
      unanswered = Math.max(0, unanswered - 1);
      account();
      if (canHandle()) {
        schedule();
      }
    },
    stop,
    linger: () => {
      if (isDropping || socket.destroyed) {
        return;
      }
      stop();
      isDropping = true;
      socket.once('end', () => socket.destroy());
      resumeSocket();
      socket.end();
      const timer = setTimeout(() => socket.destroy(), LINGER_MS);
      socket.once('close', () => {
        clearTimeout(timer);
      });
    },
  };
}
