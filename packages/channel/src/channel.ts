/** Typed channels. */
import csp, { type Chan } from 'js-csp';
import { createGrowingBuffer } from './buffer.js';

/** Default capacity of a channel, in values. */
export const DEFAULT_CHANNEL_CAPACITY = 65_536;

/** A bounded, typed queue between sequential processes. */
export interface Channel<Value> {
  /** The underlying js-csp channel. */
  readonly raw: Chan;
  /**
   * Sends a value without waiting.
   *
   * @param value - the value
   * @returns false if the channel is closed or full; the value is then dropped
   */
  send(value: Value): boolean;
  /** Closes the channel. Buffered values can still be received. */
  close(): void;
}

/**
 * Creates a channel.
 *
 * @param capacity - maximum number of buffered values
 * @returns the channel
 */
export function createChannel<Value>(capacity = DEFAULT_CHANNEL_CAPACITY): Channel<Value> {
  const raw = csp.chan(createGrowingBuffer(capacity));
  return {
    raw,
    send: (value) => !raw.isClosed() && csp.offer(raw, value),
    close: () => {
      raw.close();
    },
  };
}
