/** Limits what the connections of an HTTP server occupy. */
import { type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { type Socket } from 'node:net';
import { createInputMemory } from './input-memory.js';
import { meterConnection, type MeteredConnection } from './metered-connection.js';
import { closeStalled } from './stalled-connections.js';

/** The connections of a server, with limits. */
export interface LimitedConnections {
  /** Handles no more input of a connection. */
  stop(socket: Socket): void;
  /**
   * Closes the connection of a request that is not read completely, once its answer has been sent: the answer says so, and
   * the connection lingers so that its client can read it.
   */
  closeAfter(response: ServerResponse): void;
}

/** Why a connection was closed before its client closed it. */
export enum CloseCause {
  /** The server had as many connections as it may have. */
  TooMany = 'too_many_connections',
  /** The connections held more input together than they may. */
  InputMemory = 'input_memory',
  /** Its client did not read. */
  Unread = 'unread_answers',
}

/**
 * Limit on the connections of the callers' port. Those beyond it are closed before anything is read, so that their callers
 * repeat their requests elsewhere. With a request each, they stay below the memory of the smallest host.
 */
export const MAX_CALLER_CONNECTIONS = 4_096;
/** Limit on the connections of the ports for readiness and for operators, which few clients use. */
export const MAX_SERVICE_CONNECTIONS = 256;

/** Longest times on the ports for readiness and for operators, in milliseconds; their requests have no bodies. */
const SERVICE_HEAD_MS = 5_000;
const SERVICE_REQUEST_MS = 10_000;
const SERVICE_IDLE_MS = 15_000;

/**
 * Limits the connections of a server that accepts none yet.
 *
 * @param server - the server
 * @param maxConnections - number of connections that are open at the same time
 * @param onClosed - called when a connection is closed by a limit
 * @returns the connections
 */
export function limitConnections(
  server: Server,
  maxConnections: number,
  onClosed: (cause: CloseCause) => void,
): LimitedConnections {
  const memory = createInputMemory();
  const metered = new WeakMap<Socket, MeteredConnection>();
  server.maxConnections = maxConnections;
  server.on('drop', () => {
    onClosed(CloseCause.TooMany);
  });
  closeStalled(server, () => {
    onClosed(CloseCause.Unread);
  });
  server.on('connection', (socket: Socket) => {
    const onExceeded = (): void => {
      onClosed(CloseCause.InputMemory);
    };
    metered.set(socket, meterConnection(socket, memory, onExceeded));
  });
  const begin = (message: IncomingMessage, response: ServerResponse): void => {
    const connection = metered.get(message.socket);
    connection?.begun(message);
    response.once('close', () => {
      connection?.ended();
    });
  };
  server.prependListener('request', begin);
  // Without this listener, Node answers without a count of the request.
  server.on('checkExpectation', (message: IncomingMessage, response: ServerResponse) => {
    begin(message, response);
    response.writeHead(417).end();
  });
  return {
    stop: (socket) => metered.get(socket)?.stop(),
    closeAfter: (response) => {
      const { socket } = response.req;
      response.shouldKeepAlive = false;
      metered.get(socket)?.stop();
      socket.destroySoon = () => metered.get(socket)?.linger();
    },
  };
}

/**
 * Limits the connections of a server whose requests are short and have no bodies: readiness checks and operators' requests.
 *
 * @param server - the server, which accepts no connections yet
 */
export function limitServiceConnections(server: Server): void {
  const { closeAfter } = limitConnections(server, MAX_SERVICE_CONNECTIONS, () => undefined);
  server.prependListener('request', ({ headers }: IncomingMessage, response: ServerResponse) => {
    if (headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0) {
      closeAfter(response);
    }
  });
  server.headersTimeout = SERVICE_HEAD_MS;
  server.requestTimeout = SERVICE_REQUEST_MS;
  server.keepAliveTimeout = SERVICE_IDLE_MS;
}
