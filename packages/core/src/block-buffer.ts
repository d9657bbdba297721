/** A buffer for bytes that are read once, when all of them have arrived. */

/** Collects bytes that arrive in pieces of any size. */
export interface BlockBuffer {
  /** Number of bytes in the buffer. */
  length(): number;
  /** Appends a piece: the piece itself if it is long and has memory of its own, else a copy. It must not change. */
  add(piece: Uint8Array): void;
  /** Returns all bytes and empties the buffer. */
  take(): Buffer;
}

const FIRST_BLOCK_BYTES = 1_024;
const MAX_BLOCK_BYTES = 64 * 1024;
/** Length from which a piece is kept without a copy, in bytes: far above what a buffer occupies besides its bytes. */
const MIN_KEPT_BYTES = 4_096;

/**
 * Creates an empty buffer. It adds blocks, so that what is left by its growth does not occupy as much memory as the bytes
 * until the runtime collects it; a list of pieces would occupy far more than the bytes if they arrive one by one.
 *
 * @returns the buffer
 */
export function createBlockBuffer(): BlockBuffer {
  let full: Uint8Array[] = [];
  let block: Buffer = Buffer.alloc(0);
  let used = 0;
  let length = 0;
  return {
    length: () => length,
    add: (piece) => {
      length += piece.length;
      if (piece.length >= MIN_KEPT_BYTES && piece.length === piece.buffer.byteLength) {
        full.push(block.subarray(0, used), piece);
        block = block.subarray(used);
        used = 0;
        return;
      }
      for (let rest = piece; rest.length > 0;) {
        if (used === block.length) {
          if (used > 0) {
            full.push(block);
          }
          const doubled = Math.min(MAX_BLOCK_BYTES, Math.max(FIRST_BLOCK_BYTES, 2 * block.length));
          block = Buffer.allocUnsafe(Math.max(doubled, Math.min(MAX_BLOCK_BYTES, rest.length)));
          used = 0;
        }
        const part = rest.subarray(0, block.length - used);
        block.set(part, used);
        used += part.length;
        rest = rest.subarray(part.length);
      }
    },
    take: () => {
      const last = block.subarray(0, used);
      const bytes = full.length === 0 ? last : Buffer.concat([...full, last]);
      full = [];
      block = Buffer.alloc(0);
      used = 0;
      length = 0;
      return bytes;
    },
  };
}
