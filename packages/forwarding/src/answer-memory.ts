/**
 * Limits the memory of the answers that this process holds, for all requests together.
 *
 * Load pattern: several servers send whole answers without end at once; each ends at its own limit, but together they exceed
 * the memory of the host.
 */

/** Memory for the answers that are held until they are complete, or until their callers have read them. */
export interface AnswerMemory {
  /** Creates the account of one request. */
  open(): AnswerAccount;
}

/** The memory that the answers of one request occupy. */
export interface AnswerAccount {
  /**
   * Takes memory.
   *
   * @param bytes - number of bytes
   * @returns false if there is none left; short answers always have some
   */
  tryTake(bytes: number): boolean;
  /** Gives all memory back; further calls have no effect. */
  close(): void;
}

/** Limit on one answer that is held in bytes. */
export const MAX_ANSWER_BYTES = 8 * 1024 * 1024;
/** Limit on the memory of all answers in bytes, by which an entry stays far below the memory of the smallest host. */
const MAX_HELD_BYTES = 48 * 1024 * 1024;
/** Memory that each request has in any case, in bytes: most answers are shorter. */
const FREE_BYTES = 64 * 1024;

/**
 * Creates the memory for the answers of a process.
 *
 * @returns the memory, of which nothing is taken
 */
export function createAnswerMemory(): AnswerMemory {
  let heldBytes = 0;
  return {
    open: () => {
      let ownBytes = 0;
      let isClosed = false;
      return {
        tryTake: (bytes) => {
          if (isClosed || (ownBytes + bytes > FREE_BYTES && heldBytes + bytes > MAX_HELD_BYTES)) {
            return false;
          }
          ownBytes += bytes;
          heldBytes += bytes;
          return true;
        },
        close: () => {
          if (!isClosed) {
            isClosed = true;
            heldBytes -= ownBytes;
          }
        },
      };
    },
  };
}
