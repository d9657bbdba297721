/**
 * The connections of callers and the requests on them.
 *
 * Node's own list of idle connections contains those whose answer has been ended but is still queued in this process, since
 * the caller reads slowly.
 */
import { type IncomingMessage, type ServerResponse } from 'node:http';
import { type Socket } from 'node:net';
import { type Clock } from '@toucanbend/core';
import { readPendingInput } from './pending-input.js';

/** The turn of a request on its connection. */
export interface RequestTurn {
  /** Resolves when the earlier requests on its connection have ended, or the connection has closed. */
  readonly whenEarlierEnded: Promise<void>;
  /** Resolves when the request has ended, or its connection has closed. */
  readonly whenEnded: Promise<void>;
}

/** The connections of callers and the requests on them. */
export interface CallerConnections {
  /** Adds a connection that was accepted. */
  accepted(socket: Socket): void;
  /** Records a request whose head has been read; it ends when its answer has been handed to the operating system. */
  received(message: IncomingMessage, response: ServerResponse): RequestTurn;
  /** Closes a connection when the requests on it are answered. Returns false if there are none. */
  closeAfterAnswers(socket: Socket): boolean;
  /** Returns the last request on a connection if its body has not arrived completely. */
  lastUnread(socket: Socket): IncomingMessage | undefined;
  /** Returns whether a request is the last one that has been received on its connection. */
  isLast(message: IncomingMessage): boolean;
  /** Returns the number of requests whose heads have been read and whose answers have not been sent completely. */
  requestCount(): number;
  /**
   * Returns the number of connections that are in use: a request is in flight, part of one has arrived, or the first one
   * is still to come.
   */
  busyCount(): number;
  /** Returns the number of connections that have been accepted. */
  acceptedCount(): number;
  /** Closes a connection whose idle timeout has expired, unless a request has arrived that has not been read yet. */
  expired(socket: Socket): Promise<void>;
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
 * @param clock - measures the reading of pending input
 * @returns the record, which is empty
 */
export function createCallerConnections(clock: Clock): CallerConnections {
  const uses = new Map<Socket, ConnectionUse>();
  const ends = new WeakMap<Socket, Promise<void>>();
  const last = new WeakMap<Socket, IncomingMessage>();
  let requests = 0;
  let acceptedConnections = 0;
  const update = (socket: Socket, change: (use: ConnectionUse) => ConnectionUse): void => {
    const use = uses.get(socket);
    if (use !== undefined) {
      uses.set(socket, change(use));
    }
  };
  const closeIfIdle = (socket: Socket): void => {
    const use = uses.get(socket);
    if (use !== undefined && isIdle(socket, use)) {
      socket.destroy();
    }
  };
  return {
    accepted: (socket) => {
      acceptedConnections += 1;
      uses.set(socket, { requests: 0, bytesReadAtEnd: undefined });
      socket.once('close', () => {
        uses.delete(socket);
      });
    },
    received: (message, response) => {
      const { socket } = message;
      requests += 1;
      update(socket, (use) => ({ ...use, requests: use.requests + 1 }));
      const earlier = ends.get(socket) ?? Promise.resolve();
      const ended = new Promise<void>((resolve) => {
        const end = (): void => {
          response.off('close', end);
          socket.off('close', end);
          resolve();
        };
        response.once('close', end);
        // A response that waits for an earlier one is not told that its connection closes.
        socket.once('close', end);
      });
      ends.set(socket, ended);
      last.set(socket, message);
      void ended.then(() => {
        requests -= 1;
        update(socket, (use) => ({ requests: use.requests - 1, bytesReadAtEnd: socket.bytesRead }));
      });
      return { whenEarlierEnded: earlier, whenEnded: ended };
    },
    closeAfterAnswers: (socket) => {
      if ((uses.get(socket)?.requests ?? 0) === 0) {
        return false;
      }
      void ends.get(socket)?.then(() => socket.destroy());
      return true;
    },
    lastUnread: (socket) => {
      const message = last.get(socket);
      return message?.complete === false ? message : undefined;
    },
    isLast: (message) => last.get(message.socket) === message,
    requestCount: () => requests,
    acceptedCount: () => acceptedConnections,
    busyCount: () => [...uses].filter(([socket, use]) => !isIdle(socket, use)).length,
    expired: async (socket) => {
      // Timers run before the input that arrived while the process had no processor time.
      await readPendingInput(clock);
      closeIfIdle(socket);
    },
    closeIdle: () => {
      [...uses.keys()].forEach(closeIfIdle);
    },
  };
}
