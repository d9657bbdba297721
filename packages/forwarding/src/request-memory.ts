/** Memory that the requests of a process share, and the part of each. */

/** Memory that requests share. */
export interface RequestMemory {
  /** Creates the account of one request. */
  open(): RequestAccount;
}

/** The memory that one request occupies. */
export interface RequestAccount {
  /**
   * Takes memory.
   *
   * @param bytes - number of bytes
   * @returns false if there is none left; what is short always has some, and what is alone has all it needs
   */
  tryTake(bytes: number): boolean;
  /** Gives all memory back; further calls have no effect. */
  close(): void;
}

/**
 * Creates memory.
 *
 * @param maxBytes - limit for all requests together, in bytes
 * @param freeBytes - memory that each request has in any case, in bytes
 * @returns the memory, of which nothing is taken
 */
export function createRequestMemory(maxBytes: number, freeBytes: number): RequestMemory {
  let heldBytes = 0;
  return {
    open: () => {
      let ownBytes = 0;
      let isClosed = false;
      return {
        tryTake: (bytes) => {
          const isAlone = heldBytes === ownBytes;
          if (isClosed || (!isAlone && ownBytes + bytes > freeBytes && heldBytes + bytes > maxBytes)) {
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
