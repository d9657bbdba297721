/**
 * Closes connections whose clients have stopped reading.
 *
 * Load pattern: clients leave complete answers unread and keep their connections, so that these, their descriptors and what is
 * left of their answers are held for good.
 */
import { type Server } from 'node:http';
import { type Socket } from 'node:net';

/** Time without progress after which a connection with unread output is closed, in milliseconds: the longest that callers wait. */
const MAX_STALL_MS = 60_000;
/** Number of checks in that time. */
const CHECKS = 4;

interface Progress {
  readonly sentBytes: number;
  /** Number of checks since the output last got on. */
  readonly checks: number;
}

function progressOf(socket: Socket, before: Progress | undefined): Progress {
  const sentBytes = socket.bytesWritten - socket.writableLength;
  const isStalled = socket.writableLength > 0 && before?.sentBytes === sentBytes;
  return { sentBytes, checks: isStalled ? before.checks + 1 : 0 };
}

/**
 * Closes the connections of a server that make no progress.
 *
 * @param server - the server, which does not listen yet
 * @param onClosed - called before a connection is closed
 * @param maxStallMs - time without progress, in milliseconds
 */
export function closeStalled(server: Server, onClosed: () => void, maxStallMs = MAX_STALL_MS): void {
  const connections = new Map<Socket, Progress | undefined>();
  server.on('connection', (socket: Socket) => {
    connections.set(socket, undefined);
    socket.once('close', () => {
      connections.delete(socket);
    });
  });
  const check = (): void => {
    connections.forEach((before, socket) => {
      const progress = progressOf(socket, before);
      connections.set(socket, progress);
      if (progress.checks >= CHECKS) {
        onClosed();
        socket.destroy();
      }
    });
  };
  const timer = setInterval(check, maxStallMs / CHECKS);
  timer.unref();
  server.once('close', () => {
    clearInterval(timer);
  });
}
