/**
 * Limits how much of a server's answer this process holds unhandled, by pausing the connection to the server.
 *
 * Load pattern: a server sends faster than the caller reads, or than this process handles what it sends.
 */

/** Limits the unhandled part of one answer. */
export interface ReadLimit {
  /** Records that a piece was received; pauses the connection if too much is unhandled. */
  received(piece: Buffer): void;
  /** Records that a piece was handled, and that the caller has room for more; resumes a paused connection if it can. */
  consumed(piece: Buffer): void;
  /** Whether the connection is paused. */
  isPaused(): boolean;
}

/** Limit on the unhandled bytes of an answer; most answers are shorter, so that slow callers do not occupy the server. */
const MAX_UNHANDLED_BYTES = 64 * 1024;
/** Memory that a piece occupies besides its bytes, by which pieces of a few bytes count, in bytes. */
const PIECE_OVERHEAD_BYTES = 256;

/**
 * Creates the limit of one answer.
 *
 * @param pause - stops reading from the connection
 * @param resume - reads from the connection again
 * @returns the limit, of an answer of which nothing was received
 */
export function createReadLimit(pause: () => void, resume: () => void): ReadLimit {
  let unhandledBytes = 0;
  let isPaused = false;
  return {
    received: (piece) => {
      unhandledBytes += piece.length + PIECE_OVERHEAD_BYTES;
      if (!isPaused && unhandledBytes > MAX_UNHANDLED_BYTES) {
        isPaused = true;
        pause();
      }
    },
    consumed: (piece) => {
      unhandledBytes -= piece.length + PIECE_OVERHEAD_BYTES;
      if (isPaused && unhandledBytes <= MAX_UNHANDLED_BYTES) {
        isPaused = false;
        resume();
      }
    },
    isPaused: () => isPaused,
  };
}
