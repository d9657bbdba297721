/** Opens links, either by dialling a peer or by listening for connections. */
import { connect, createServer, type Server, type Socket } from 'node:net';
import { type Clock } from '@toucanbend/core';
import { err, ok, Result, ResultAsync } from 'neverthrow';
import {
  handshakeAsListener,
  handshakeAsDialler,
  type LinkError,
  LinkErrorKind,
  type NodeIdentity,
} from './handshake.js';
import { createLink, type Link, type LinkTraffic } from './link.js';

/** Timeouts and limits of the links of a process. */
export interface LinkSettings {
  readonly handshakeTimeoutMs: number;
  readonly pingIntervalMs: number;
  /** Time without data after which the end that dialled closes an active link, in milliseconds. */
  readonly dialledSilenceMs: number;
  /** Time without data after which the end that listened closes an active link, in milliseconds. */
  readonly acceptedSilenceMs: number;
  readonly maxQueuedBytes: number;
  readonly maxAcceptedLinks: number;
}

/** Defaults for hosts with a network latency of a few milliseconds. */
export const defaultLinkSettings: LinkSettings = {
  handshakeTimeoutMs: 800,
  pingIntervalMs: 300,
  dialledSilenceMs: 1_000,
  acceptedSilenceMs: 2_500,
  maxQueuedBytes: 64 * 1024 * 1024,
  maxAcceptedLinks: 4_096,
};

/** The IP address and port of a process. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/**
 * Parses an address without validating it.
 *
 * @param text - `IP:PORT`
 * @returns the address; the part after the last colon is the port
 */
export function parseAddress(text: string): Address {
  const colon = text.lastIndexOf(':');
  return { host: text.slice(0, colon), port: Number(text.slice(colon + 1)) };
}

/** Options shared by all links that a process opens. */
export interface EndpointOptions {
  readonly identity: NodeIdentity;
  readonly clock: Clock;
  readonly settings: LinkSettings;
  readonly traffic: LinkTraffic;
}

/** Begins to connect; Node throws where the address is invalid, such as a port out of range. */
const beginConnecting = Result.fromThrowable(
  ({ host, port }: Address): Socket => connect({ host, port, noDelay: true }),
  (error): LinkError => ({ kind: LinkErrorKind.Unreachable, message: String(error) }),
);

function awaitConnection(
  socket: Socket,
  clock: Clock,
  timeoutMs: number,
): Promise<Result<Socket, LinkError>> {
  return new Promise((resolve) => {
    const fail = (kind: LinkErrorKind, message: string): void => {
      cancel();
      socket.destroy();
      resolve(err({ kind, message }));
    };
    const cancel = clock.after(timeoutMs, () => {
      fail(LinkErrorKind.TimedOut, 'connection attempt timed out');
    });
    const onError = (error: Error): void => {
      fail(LinkErrorKind.Unreachable, error.message);
    };
    socket.once('error', onError);
    socket.once('connect', () => {
      cancel();
      socket.off('error', onError);
      resolve(ok(socket));
    });
  });
}

/**
 * Connects to a peer and runs the handshake, in which both ends authenticate each other.
 *
 * @param address - the address on which the peer listens
 * @param options - identity, clock, limits and counters
 * @returns the link, or the error that prevented it
 */
export async function dial(address: Address, options: EndpointOptions): Promise<Result<Link, LinkError>> {
  const { clock, settings, identity, traffic } = options;
  const socket = await beginConnecting(address).asyncAndThen(
    (connecting) => new ResultAsync(awaitConnection(connecting, clock, settings.handshakeTimeoutMs)),
  );
  if (socket.isErr()) {
    return err(socket.error);
  }
  const handshake = await handshakeAsDialler(
    socket.value,
    identity,
    clock,
    settings.handshakeTimeoutMs,
    traffic,
  );
  return handshake.map(({ peer, trailingBytes }) =>
    createLink(
      socket.value,
      peer,
      {
        clock,
        traffic,
        peerTimeoutMs: settings.dialledSilenceMs,
        pingIntervalMs: settings.pingIntervalMs,
        maxQueuedBytes: settings.maxQueuedBytes,
      },
      trailingBytes,
    ),
  );
}

/**
 * Listens for connections from peers. Connections that fail the handshake are closed without a report.
 *
 * @param address - the address to listen on
 * @param options - identity, clock, limits and counters
 * @param accept - called with each authenticated link
 * @returns a promise of the server, resolved once it is listening and rejected if it cannot listen
 */
export function listenForLinks(
  address: Address,
  options: EndpointOptions,
  accept: (link: Link) => void,
): Promise<Server> {
  const { clock, settings, identity, traffic } = options;
  const server = createServer({ noDelay: true }, (socket) => {
    void handshakeAsListener(socket, identity, clock, settings.handshakeTimeoutMs, traffic).then(
      (handshake) => {
        if (handshake.isErr()) {
          return;
        }
        const linkOptions = {
          clock,
          traffic,
          peerTimeoutMs: settings.acceptedSilenceMs,
          pingIntervalMs: 0,
          maxQueuedBytes: settings.maxQueuedBytes,
        };
        accept(createLink(socket, handshake.value.peer, linkOptions, handshake.value.trailingBytes));
      },
    );
  });
  server.maxConnections = settings.maxAcceptedLinks;
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(address.port, address.host, () => {
      resolve(server);
    });
  });
}
