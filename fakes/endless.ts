/** Writes an unbounded byte stream, for fake servers that violate the protocol. */
import { type Writable } from 'node:stream';

/** Approximate size of each write. */
const BLOCK_BYTES = 16_384;

/**
 * Writes a piece repeatedly, as fast as the peer reads it, until the stream is destroyed.
 *
 * @param to - a connection, or the body of a response
 * @param piece - the text to repeat
 */
export function writeForever(to: Writable, piece: string): void {
  const block = piece.repeat(Math.ceil(BLOCK_BYTES / piece.length));
  const write = (): void => {
    if (!to.destroyed) {
      to.write(block, () => {
        setImmediate(write);
      });
    }
  };
  write();
}
