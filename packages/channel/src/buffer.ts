/** The buffer of a channel: a FIFO queue that allocates memory as needed, up to a fixed capacity. */

/** The buffer interface that js-csp requires. */
export interface ChannelBuffer {
  isFull(): boolean;
  remove(): unknown;
  add(item: unknown): void;
  closeBuffer(): void;
  count(): number;
}

/** Number of removed items at the front of the array after which the array is compacted. */
const COMPACT_AFTER = 1_024;

/**
 * Creates an empty buffer.
 *
 * @param capacity - maximum number of values
 * @returns the buffer
 */
export function createGrowingBuffer(capacity: number): ChannelBuffer {
  let items: unknown[] = [];
  let head = 0;
  const count = (): number => items.length - head;
  return {
    count,
    isFull: () => count() >= capacity,
    closeBuffer: () => undefined,
    add: (item) => {
      items.push(item);
    },
    remove: () => {
      const item = items[head];
      items[head] = undefined;
      head += 1;
      if (head === items.length) {
        items = [];
        head = 0;
      } else if (head >= COMPACT_AFTER) {
        items = items.slice(head);
        head = 0;
      }
      return item;
    },
  };
}
