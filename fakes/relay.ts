/** Fake network between processes: TCP relays that delay, cut, or silently drop connections. */
import { connect, createServer, type Server, type Socket } from 'node:net';
import { sendJson, serve } from './http.js';

/** Faults that can be injected into a route. */
export enum RelayFault {
  None = 'none',
  /** Open connections silently drop all data; new ones work. */
  Forget = 'forget',
  /**
   * All data is dropped; new connections are accepted, but their data is dropped too. A connection that lost data passes
   * nothing on afterwards either.
   */
  Blackhole = 'blackhole',
  /** Open connections are destroyed, and new ones are destroyed on accept. */
  Cut = 'cut',
  /** Open connections are reset, and new ones are refused. */
  Refuse = 'refuse',
}

/** A route from a port of the relay to another port. */
export interface RelayRoute {
  readonly name: string;
  readonly port: number;
  readonly target: number;
  /** Delay in each direction, in milliseconds. */
  readonly delayMs?: number;
  /** Upper bound of an additional, uniformly distributed delay, in milliseconds. */
  readonly jitterMs?: number;
}

/** A change of a route's behaviour. */
export interface RelayCommand {
  readonly name: string;
  readonly fault?: RelayFault;
  readonly delayMs?: number;
}

interface RouteState {
  readonly route: RelayRoute;
  fault: RelayFault;
  delayMs: number;
  readonly forgotten: Set<Socket>;
  readonly open: Set<Socket>;
  /** Accepts connections; closed while they are refused. */
  readonly server: Server;
}

/** Delays chunks and writes them in order of arrival, as TCP does. */
function createDelayLine(to: Socket): (chunk: Buffer, delayMs: number) => void {
  const held: { readonly at: number; readonly chunk: Buffer }[] = [];
  let isWaiting = false;
  const release = (): void => {
    isWaiting = false;
    for (let first = held[0]; first !== undefined && first.at <= performance.now(); first = held[0]) {
      to.write(first.chunk);
      held.shift();
    }
    const [next] = held;
    if (next !== undefined) {
      isWaiting = true;
      setTimeout(release, next.at - performance.now());
    }
  };
  return (chunk, delayMs) => {
    const at = Math.max(held.at(-1)?.at ?? 0, performance.now() + delayMs);
    held.push({ at, chunk });
    if (!isWaiting) {
      release();
    }
  };
}

function forward(state: RouteState, connection: Socket, from: Socket, to: Socket): void {
  const send = createDelayLine(to);
  from.on('data', (chunk) => {
    if (state.fault === RelayFault.Blackhole) {
      state.forgotten.add(connection);
    }
    if (!state.forgotten.has(connection)) {
      send(chunk, state.delayMs + Math.random() * (state.route.jitterMs ?? 0));
    }
  });
  from.on('close', () => {
    if (!state.forgotten.has(connection)) {
      to.destroy();
    }
  });
  from.on('error', () => undefined);
}

function accept(state: RouteState, socket: Socket): void {
  if (state.fault === RelayFault.Cut) {
    socket.destroy();
    return;
  }
  const target = connect({ host: '127.0.0.1', port: state.route.target, noDelay: true });
  state.open.add(socket);
  socket.on('close', () => state.open.delete(socket));
  forward(state, socket, socket, target);
  forward(state, socket, target, socket);
}

/** Running relays. */
export interface Relays {
  /** Changes the behaviour of all routes with the order's name. */
  order(order: RelayCommand): void;
  close(): void;
}

function listen({ server, route }: RouteState): void {
  server.listen(route.port, '127.0.0.1');
}

function applyCommand(state: RouteState, command: RelayCommand): void {
  const wasRefusing = state.fault === RelayFault.Refuse;
  state.fault = command.fault === RelayFault.Forget ? RelayFault.None : (command.fault ?? state.fault);
  state.delayMs = command.delayMs ?? state.delayMs;
  if (command.fault === RelayFault.Forget) {
    state.open.forEach((socket) => state.forgotten.add(socket));
  } else if (command.fault === RelayFault.Cut) {
    state.open.forEach((socket) => socket.destroy());
  } else if (command.fault === RelayFault.Refuse) {
    state.server.close();
    state.open.forEach((socket) => socket.resetAndDestroy());
  }
  if (wasRefusing && state.fault !== RelayFault.Refuse) {
    listen(state);
  }
}

/**
 * Starts relays in this process.
 *
 * @param routes - the port, target and initial delay of each route
 * @returns a handle that changes or closes the running relays
 */
export function startRelays(routes: readonly RelayRoute[]): Relays {
  const states = routes.map((route) => {
    const state: RouteState = {
      route,
      fault: RelayFault.None,
      delayMs: route.delayMs ?? 0,
      forgotten: new Set<Socket>(),
      open: new Set<Socket>(),
      server: createServer({ noDelay: true }, (socket) => {
        accept(state, socket);
      }),
    };
    return state;
  });
  states.forEach(listen);
  return {
    order: (order) => {
      states
        .filter((state) => state.route.name === order.name)
        .forEach((state) => {
          applyCommand(state, order);
        });
    },
    close: () => {
      states.forEach((state) => {
        state.server.close();
        state.open.forEach((socket) => socket.destroy());
      });
    },
  };
}

/**
 * Starts the relays and an HTTP server that controls them.
 *
 * @param options - control port and routes
 * @returns the port, once the server listens
 */
export function serveRelay(options: {
  readonly port: number;
  readonly routes: readonly RelayRoute[];
}): Promise<number> {
  const relays = startRelays(options.routes);
  return serve(options.port, (_path, body, _request, response) => {
    relays.order(JSON.parse(body.toString()) as RelayCommand);
    sendJson(response, {});
  });
}
