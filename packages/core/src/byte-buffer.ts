/** A growable buffer for bytes that arrive in pieces of any size. */

/** A growable buffer. */
export interface ByteBuffer {
  /** Number of bytes in the buffer. */
  length(): number;
  /** Returns a view of the content, which is valid until the buffer changes. */
  bytes(): Buffer;
  /** Appends a copy of a piece. */
  add(piece: Uint8Array): void;
  /** Replaces the content by a copy of `rest` in new memory, so that views of the old content stay valid. */
  reset(rest: Uint8Array): void;
}

const MIN_CAPACITY = 1_024;

/**
 * Creates an empty buffer. Its capacity doubles, so that each byte is copied about twice; a list of pieces would occupy far
 * more memory than the bytes if they arrive one by one.
 *
 * @returns the buffer
 */
export function createByteBuffer(): ByteBuffer {
  let memory: Buffer = Buffer.alloc(0);
  let length = 0;
  const add = (piece: Uint8Array): void => {
    const needed = length + piece.length;
    if (needed > memory.length) {
      const grown = Buffer.allocUnsafe(Math.max(MIN_CAPACITY, 2 * needed));
      memory.copy(grown, 0, 0, length);
      memory = grown;
    }
    memory.set(piece, length);
    length = needed;
  };
  return {
    length: () => length,
    bytes: () => memory.subarray(0, length),
    add,
    reset: (rest) => {
      memory = Buffer.alloc(0);
      length = 0;
      if (rest.length > 0) {
        add(rest);
      }
    },
  };
}
