/** A link: an authenticated connection that carries frames. */
import { type Socket } from 'node:net';
import { type CancelTimer, type Clock } from '@toucanbend/core';
import { createFrameDecoder, encodeFrame } from './codec.js';
import { type Frame, FrameType, isPayload, type NodeRole } from './frame.js';

/** The cause for which a link ended. */
export enum LinkEnd {
  Closed = 'closed',
  /** The link was active and no data arrived from the peer within `peerTimeoutMs`. */
  TimedOut = 'silent',
  /** The peer sent bytes that do not decode to a frame. */
  BadFrame = 'bad_frame',
  /** The peer read too slowly, so that the unsent data exceeded `maxQueuedBytes`. */
  QueueFull = 'queue_full',
}

/** The node at the other end of a link. */
export interface Peer {
  readonly node: string;
  readonly role: NodeRole;
  readonly dataCentre: string;
  /** Identifies one run of the peer's process; empty if the peer opened the connection. */
  readonly incarnation: string;
}

/** Counters of the bytes and frames that a process has sent over all its links. */
export interface LinkTraffic {
  controlBytes: number;
  payloadBytes: number;
  controlFrames: number;
  payloadFrames: number;
}

/** Options of a link. */
export interface LinkOptions {
  readonly clock: Clock;
  /** Time without data from the peer after which an active link ends, in milliseconds. */
  readonly peerTimeoutMs: number;
  /** Interval between pings on an active link, in milliseconds; 0 for the end that sends no pings. */
  readonly pingIntervalMs: number;
  /** Maximum unsent data in bytes; the link ends with {@link LinkEnd.QueueFull} above it. */
  readonly maxQueuedBytes: number;
  readonly traffic: LinkTraffic;
}

/** An authenticated connection that carries frames. */
export interface Link {
  readonly peer: Peer;
  /**
   * Sends a frame.
   *
   * @param frame - the frame
   * @returns false if the link has ended, or ends because its send queue is full
   */
  send(frame: Frame): boolean;
  /** Sets the handler of received frames. Frames that arrived before are delivered to it immediately. */
  onFrame(handle: (frame: Frame) => void): void;
  /** Adds a handler for the end of the link. It is called immediately if the link has already ended. */
  onEnd(handle: (end: LinkEnd) => void): void;
  /** Turns pings and the peer timeout on or off. They are on while work depends on the link. */
  setActive(active: boolean): void;
  /** Returns the number of bytes that have not been sent yet. */
  queuedBytes(): number;
  close(): void;
  isOpen(): boolean;
}

/**
 * Creates the traffic counters of a process.
 *
 * @returns counters at zero
 */
export function createLinkTraffic(): LinkTraffic {
  return { controlBytes: 0, payloadBytes: 0, controlFrames: 0, payloadFrames: 0 };
}

function countTraffic(traffic: LinkTraffic, frame: Frame, length: number): void {
  if (isPayload(frame.type)) {
    traffic.payloadBytes += length;
    traffic.payloadFrames += 1;
  } else {
    traffic.controlBytes += length;
    traffic.controlFrames += 1;
  }
}

/**
 * Creates a link on a socket whose peer is already authenticated.
 *
 * @param socket - the connection
 * @param peer - the node at the other end
 * @param options - clock, limits and counters
 * @param trailingBytes - bytes that arrived after the last handshake frame and are not decoded yet
 * @returns the link
 */
export function createLink(
  socket: Socket,
  peer: Peer,
  options: LinkOptions,
  trailingBytes: Uint8Array,
): Link {
  const { clock, traffic } = options;
  const decoder = createFrameDecoder();
  let handleFrame: ((frame: Frame) => void) | undefined;
  const endHandlers: ((end: LinkEnd) => void)[] = [];
  let undelivered: Frame[] = [];
  let ended: LinkEnd | undefined;
  let active = false;
  let lastDataAt = clock.now();
  let cancelTick: CancelTimer | undefined;

  const end = (reason: LinkEnd): void => {
    if (ended !== undefined) {
      return;
    }
    ended = reason;
    cancelTick?.();
    socket.destroy();
    endHandlers.forEach((handle) => {
      handle(reason);
    });
  };

  const send = (frame: Frame): boolean => {
    if (ended !== undefined) {
      return false;
    }
    const bytes = encodeFrame(frame);
    countTraffic(traffic, frame, bytes.length);
    socket.write(bytes);
    if (socket.writableLength > options.maxQueuedBytes) {
      end(LinkEnd.QueueFull);
      return false;
    }
    return true;
  };

  const deliver = (frame: Frame): void => {
    if (frame.type === FrameType.Ping) {
      send({ type: FrameType.Pong, sentAtMs: frame.sentAtMs });
    } else if (frame.type !== FrameType.Pong) {
      if (handleFrame === undefined) {
        undelivered.push(frame);
      } else {
        handleFrame(frame);
      }
    }
  };

  const read = (chunk: Uint8Array): void => {
    lastDataAt = clock.now();
    const frames = decoder.push(chunk);
    if (frames.isErr()) {
      end(LinkEnd.BadFrame);
      return;
    }
    frames.value.forEach(deliver);
  };

  const tick = (): void => {
    if (clock.now() - lastDataAt > options.peerTimeoutMs) {
      end(LinkEnd.TimedOut);
      return;
    }
    if (options.pingIntervalMs > 0) {
      send({ type: FrameType.Ping, sentAtMs: clock.now() });
    }
    cancelTick = clock.after(
      options.pingIntervalMs > 0 ? options.pingIntervalMs : options.peerTimeoutMs,
      tick,
    );
  };

  socket.on('data', read);
  socket.on('close', () => {
    end(LinkEnd.Closed);
  });
  socket.on('error', () => {
    end(LinkEnd.Closed);
  });
  if (trailingBytes.length > 0) {
    queueMicrotask(() => {
      read(trailingBytes);
    });
  }

  return {
    peer,
    send,
    onFrame: (handle) => {
      handleFrame = handle;
      const arrivedBefore = undelivered;
      undelivered = [];
      arrivedBefore.forEach(handle);
    },
    onEnd: (handle) => {
      if (ended === undefined) {
        endHandlers.push(handle);
      } else {
        handle(ended);
      }
    },
    setActive: (next) => {
      if (next === active || ended !== undefined) {
        return;
      }
      active = next;
      cancelTick?.();
      if (active) {
        lastDataAt = clock.now();
        tick();
      }
    },
    queuedBytes: () => socket.writableLength,
    close: () => {
      end(LinkEnd.Closed);
    },
    isOpen: () => ended === undefined,
  };
}
