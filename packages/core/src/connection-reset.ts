/** Tells whether a connection ended by a reset. */
import { type Socket } from 'node:net';

/**
 * Observes how a connection ends. libuv reports a reset that arrives together with data as the end of the stream, which would complete
 * an answer without a length. Only a connection that was not reset still has a peer at that time.
 *
 * @param socket - the connection, before its end is read
 * @returns a function that returns whether the connection was reset; false as long as its end has not been read
 */
export function observeReset(socket: Socket): () => boolean {
  let isReset = false;
  socket.prependOnceListener('end', () => {
    isReset = socket.remoteAddress === undefined;
  });
  return () => isReset;
}
