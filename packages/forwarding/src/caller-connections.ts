/**
 * The connections of callers and the requests on them.
 *
 * Node's own list of idle connections contains those whose answer has been ended but is still queued in this process, since
 * the caller reads slowly.
 */
import { type IncomingMessage, type ServerResponse } from 'node:http';
import { type Socket } from 'node:net';

/** The connections of callers and the requests on them. */
export interface CallerConnections {
  /** Adds a connection that was accepted. */
  accepted(socket: Socket): void;
  /** Records a request whose head has been read; it ends when its answer has been handed to the operating system. */
  received(message: IncomingMessage, response: ServerResponse): void;
  /** Returns the number of requests whose heads have been read and whose answers have not been sent completely. */
  requestCount(): number;
  /**
   * Returns the number of connections that are in use: a request is in flight, part of one has arrived, or the first one
   * is still to come.
   */
  busyCount(): number;
  /** Closes the connections that are not in use. */
  closeIdle(): void;
}

interface ConnectionUse {
  readonly requests: number;
  /** Number of bytes read when the last request ended; undefined before. Further bytes belong to the next request. */
  readonly bytesReadAtEnd: number | undefined;
}

function isIdle(socket: Socket, use: ConnectionUse): boolean {
  return use.requests === 0 && use.bytesReadAtEnd === socket.bytesRead;
}

/**
 * Creates the record of connections.
 *
 * @returns the record, which is empty
 */
export function createCallerConnections(): CallerConnections {
  const uses = new Map<Socket, ConnectionUse>();
  let requests = 0;
  const update = (socket: Socket, change: (use: ConnectionUse) => ConnectionUse): void => {
    const use = uses.get(socket);
    if (use !== undefined) {
      uses.set(socket, change(use));
    }
  };
  return {
    accepted: (socket) => {
      uses.set(socket, { requests: 0, bytesReadAtEnd: undefined });
      socket.once('close', () => {
        uses.delete(socket);
      });
    },
    received: (message, response) => {
      const { socket } = message;
      requests += 1;
      update(socket, (use) => ({ ...use, requests: use.requests + 1 }));
      response.once('close', () => {
        requests -= 1;
        update(socket, (use) => ({ requests: use.requests - 1, bytesReadAtEnd: socket.bytesRead }));
      });
    },
    requestCount: () => requests,
    busyCount: () => [...uses].filter(([socket, use]) => !isIdle(socket, use)).length,
    closeIdle: () => {
      [...uses].forEach(([socket, use]) => {
        if (isIdle(socket, use)) {
          socket.destroy();
        }
      });
    },
  };
}
