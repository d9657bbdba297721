/**
 * Decides how much of the input of one connection is handled at once.
 *
 * Load pattern: a client sends thousands of requests, or a body in chunks of one byte, in one piece of input. Handled at
 * once, each request of the piece occupies a hundred times its bytes, and no other connection is served meanwhile.
 */

/** Where the next byte of a connection belongs. */
export interface InputPosition {
  /** Bytes of a body of known length that have not been handled; 0 in a head and in a body in chunks. */
  readonly bodyBytesLeft: number;
}

/** A part of the input that is handled without a break. */
export interface InputPiece {
  readonly length: number;
  /** Whether other connections are served before the next piece, since this one has as many parts as a turn allows. */
  readonly endsTurn: boolean;
}

const END_OF_HEAD = '\r\n\r\n';
const NEWLINE = 0x0a;
/** Limit on a piece outside a body of known length in bytes; most heads are shorter. */
const MAX_PIECE_BYTES = 16 * 1024;
/** Limit on the lines of a piece, by which it holds few chunks: each is handled by itself, however short it is. */
const MAX_PIECE_LINES = 256;

/**
 * Determines the next piece. It holds the end of one head at most.
 *
 * @param input - input that has not been handled, not empty
 * @param position - where it begins
 * @returns the piece at its start
 */
export function nextPiece(input: Buffer, position: InputPosition): InputPiece {
  if (position.bodyBytesLeft > 0) {
    return { length: Math.min(input.length, position.bodyBytesLeft), endsTurn: false };
  }
  const end = input.indexOf(END_OF_HEAD);
  const length = Math.min(MAX_PIECE_BYTES, end < 0 ? input.length : end + END_OF_HEAD.length);
  let lines = 0;
  for (let at = input.indexOf(NEWLINE); at >= 0 && at < length; at = input.indexOf(NEWLINE, at + 1)) {
    lines += 1;
    if (lines === MAX_PIECE_LINES) {
      return { length: at + 1, endsTurn: true };
    }
  }
  return { length, endsTurn: false };
}
