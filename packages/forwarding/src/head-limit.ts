/** Limits what a server may send before the head of its answer, such as endless interim responses or blank lines. */
import { type Socket } from 'node:net';

/** Limit on the head of an answer in bytes, including the interim responses and blank lines before it. */
const MAX_HEAD_BYTES = 64 * 1024;

/**
 * Watches a connection until the head of an answer has arrived.
 *
 * @param socket - the connection
 * @param onExceeded - called when the head is too long
 * @returns stops watching
 */
export function limitHeadSize(socket: Socket, onExceeded: () => void): () => void {
  let received = 0;
  const count = (chunk: Buffer): void => {
    received += chunk.length;
    if (received > MAX_HEAD_BYTES) {
      socket.off('data', count);
      onExceeded();
    }
  };
  socket.on('data', count);
  return () => {
    socket.off('data', count);
  };
}
