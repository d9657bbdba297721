/**
 * Limits what the connections of a process hold of their input, for all of them together.
 *
 * Load pattern: thousands of connections each send a part of a head, or requests ahead, and go no further; each is below
 * its own limit, but together they exceed the memory of the host.
 */

/** What the connections hold: input that waits to be handled, and parts of heads. */
export interface InputMemory {
  /** Changes the number of bytes that are held; the change may be negative. */
  add(bytes: number): void;
  /** Adds a request that waits for an earlier one on its connection, or removes one. */
  addWaiting(requests: number): void;
  /** Returns whether more bytes are held than the process may hold. */
  isExceeded(): boolean;
  /** Returns whether one more request may wait for an earlier one. */
  hasRoomToWait(): boolean;
}

/** Limit on the input that is held in bytes: a whole head of 16 kB from each of a thousand callers. */
const MAX_HELD_BYTES = 16 * 1024 * 1024;
/** Limit on the requests that wait for an earlier one on their connection; each occupies some kilobytes. */
const MAX_WAITING_REQUESTS = 1_024;

/**
 * Creates the memory for the input of a process.
 *
 * @returns the memory, of which nothing is taken
 */
export function createInputMemory(): InputMemory {
  let heldBytes = 0;
  let waitingRequests = 0;
  return {
    add: (bytes) => {
      heldBytes += bytes;
    },
    addWaiting: (requests) => {
      waitingRequests += requests;
    },
    isExceeded: () => heldBytes > MAX_HELD_BYTES,
    hasRoomToWait: () => waitingRequests < MAX_WAITING_REQUESTS,
  };
}
