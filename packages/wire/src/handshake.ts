/** The handshake that opens a link. Each end proves to the other that it holds a valid peer key. */
import { type Socket } from 'node:net';
import { type Clock } from '@toucanbend/core';
import { err, ok, type Result } from 'neverthrow';
import { createNonce, createProof, isProofValid, ProvingEnd } from './authentication.js';
import { createFrameDecoder, encodeFrame } from './codec.js';
import { type Frame, FrameType, NodeRole } from './frame.js';
import { type LinkTraffic, type Peer } from './link.js';

const MAX_HANDSHAKE_FRAME_BYTES = 2_048;

/** The kinds of failure to open a link. */
export enum LinkErrorKind {
  Unreachable = 'unreachable',
  TimedOut = 'timed_out',
  Refused = 'refused',
}

/** A failure to open a link, with a human-readable message. */
export interface LinkError {
  readonly kind: LinkErrorKind;
  readonly message: string;
}

/** The identity that a node sends in the handshake. */
export interface NodeIdentity {
  readonly node: string;
  readonly role: NodeRole;
  readonly dataCentre: string;
  readonly incarnation: string;
  /** Valid peer keys. The node's own proof uses the first one; a peer's proof may use any of them. */
  readonly peerKeys: readonly string[];
}

/** The result of a successful handshake. */
export interface Handshake {
  readonly peer: Peer;
  /** Bytes that arrived after the last handshake frame. */
  readonly trailingBytes: Uint8Array;
}

/** Handles a frame. Returns the authenticated peer, undefined if more frames are expected, or an error. */
type HandshakeStep = (frame: Frame) => Result<Peer | undefined, LinkError>;

const rejection = (message: string): LinkError => ({ kind: LinkErrorKind.Refused, message });

function send(socket: Socket, traffic: LinkTraffic, frame: Frame): void {
  const bytes = encodeFrame(frame);
  traffic.controlBytes += bytes.length;
  traffic.controlFrames += 1;
  socket.write(bytes);
}

function runHandshake(
  socket: Socket,
  clock: Clock,
  timeoutMs: number,
  step: HandshakeStep,
): Promise<Result<Handshake, LinkError>> {
  return new Promise((resolve) => {
    const decoder = createFrameDecoder(MAX_HANDSHAKE_FRAME_BYTES);
    const finish = (result: Result<Handshake, LinkError>): void => {
      cancelTimer();
      socket.off('data', read);
      socket.off('close', onClose);
      socket.off('error', onClose);
      if (result.isErr()) {
        socket.on('error', () => undefined);
        socket.destroy();
      }
      resolve(result);
    };
    const onClose = (): void => {
      finish(err({ kind: LinkErrorKind.Unreachable, message: 'connection closed during the handshake' }));
    };
    const read = (chunk: Uint8Array): void => {
      const frames = decoder.push(chunk);
      if (frames.isErr()) {
        finish(err(rejection(frames.error.message)));
        return;
      }
      for (const [index, frame] of frames.value.entries()) {
        const stepResult = step(frame);
        if (stepResult.isErr()) {
          finish(err(stepResult.error));
          return;
        }
        if (stepResult.value !== undefined) {
          const trailingBytes = Buffer.concat([
            ...frames.value.slice(index + 1).map(encodeFrame),
            decoder.remainder(),
          ]);
          finish(ok({ peer: stepResult.value, trailingBytes }));
          return;
        }
      }
    };
    const cancelTimer = clock.after(timeoutMs, () => {
      finish(err({ kind: LinkErrorKind.TimedOut, message: 'handshake timed out' }));
    });
    socket.on('data', read);
    socket.on('close', onClose);
    socket.on('error', onClose);
  });
}

/**
 * Runs the handshake as the end that opened the connection.
 *
 * @param socket - the connection
 * @param identity - the identity to send
 * @param clock - runs the timeout
 * @param timeoutMs - the longest time that the handshake may take, in milliseconds
 * @param traffic - counters to which the sent frames are added
 * @returns the authenticated peer, or the error; on an error the socket is destroyed
 */
export function handshakeAsDialler(
  socket: Socket,
  identity: NodeIdentity,
  clock: Clock,
  timeoutMs: number,
  traffic: LinkTraffic,
): Promise<Result<Handshake, LinkError>> {
  const diallerNonce = createNonce();
  let listenerNonce = '';
  return runHandshake(socket, clock, timeoutMs, (frame) => {
    if (frame.type === FrameType.Challenge) {
      listenerNonce = frame.nonce;
      const proof = createProof(identity.peerKeys[0] ?? '', {
        end: ProvingEnd.Dialler,
        node: identity.node,
        listenerNonce,
        diallerNonce,
      });
      const { node, role, dataCentre } = identity;
      send(socket, traffic, { type: FrameType.Hello, node, role, dataCentre, nonce: diallerNonce, proof });
      return ok(undefined);
    }
    if (frame.type !== FrameType.Welcome) {
      return err(rejection('expected a Challenge or Welcome frame in the handshake'));
    }
    const subject = { end: ProvingEnd.Listener, node: frame.node, listenerNonce, diallerNonce };
    if (!isProofValid(identity.peerKeys, subject, frame.proof)) {
      return err(rejection(`${frame.node} does not hold a valid peer key`));
    }
    return ok({
      node: frame.node,
      role: NodeRole.Side,
      dataCentre: frame.dataCentre,
      incarnation: frame.incarnation,
    });
  });
}

/**
 * Runs the handshake as the end that accepted the connection.
 *
 * @param socket - the connection
 * @param identity - the identity to send
 * @param clock - runs the timeout
 * @param timeoutMs - the longest time that the handshake may take, in milliseconds
 * @param traffic - counters to which the sent frames are added
 * @returns the authenticated peer, or the error; on an error the socket is destroyed
 */
export function handshakeAsListener(
  socket: Socket,
  identity: NodeIdentity,
  clock: Clock,
  timeoutMs: number,
  traffic: LinkTraffic,
): Promise<Result<Handshake, LinkError>> {
  const listenerNonce = createNonce();
  send(socket, traffic, { type: FrameType.Challenge, nonce: listenerNonce });
  return runHandshake(socket, clock, timeoutMs, (frame) => {
    if (frame.type !== FrameType.Hello) {
      return err(rejection('expected a Hello frame in the handshake'));
    }
    const diallerNonce = frame.nonce;
    const subject = { end: ProvingEnd.Dialler, node: frame.node, listenerNonce, diallerNonce };
    if (!isProofValid(identity.peerKeys, subject, frame.proof)) {
      return err(rejection(`${frame.node} does not hold a valid peer key`));
    }
    const { node, incarnation, dataCentre } = identity;
    const proof = createProof(identity.peerKeys[0] ?? '', { ...subject, end: ProvingEnd.Listener, node });
    send(socket, traffic, { type: FrameType.Welcome, node, incarnation, dataCentre, proof });
    return ok({ node: frame.node, role: frame.role, dataCentre: frame.dataCentre, incarnation: '' });
  });
}
