/** Bytes that never end, for stand-ins of servers that break the protocol. */
import { type Writable } from 'node:stream';

/** Bytes that are written at once. */
const BLOCK_BYTES = 16_384;

/**
 * Writes a piece again and again, as fast as it is read, until the other side closes.
 *
 * @param to - a connection, or the body of an answer
 * @param piece - what is repeated
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
