/** Splits the bytes of an event stream into events, so that only complete ones are forwarded. */

/** A complete event. */
export interface StreamEvent {
  /** All bytes of the event, including the empty line that ends it. */
  readonly bytes: Buffer;
  /** Its id; undefined if it has none or a non-numeric one. */
  readonly id: number | undefined;
}

/** Splits one event stream. */
export interface EventSplitter {
  /**
   * Adds the next bytes of the stream.
   *
   * @param chunk - the bytes
   * @returns the events that these bytes complete
   */
  push(chunk: Buffer): StreamEvent[];
  /** Returns the number of buffered bytes of an incomplete event. */
  pendingBytes(): number;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_LINE = /^id:\s*(\d+)\s*$/m;

/** Number of buffered bytes that may belong to a delimiter that the next chunk completes. */
const DELIMITER_OVERLAP = 3;
const MIN_CAPACITY = 1024;

/** Returns the index after the empty line that ends the first event, or -1 if there is none yet. */
function findEventEnd(bytes: Buffer, from: number): number {
  for (let at = bytes.indexOf(LINE_FEED, from); at >= 0; at = bytes.indexOf(LINE_FEED, at + 1)) {
    const next = bytes[at + 1];
    if (next === LINE_FEED) {
      return at + 2;
    }
    if (next === CARRIAGE_RETURN && bytes[at + 2] === LINE_FEED) {
      return at + 3;
    }
  }
  return -1;
}

function readId(bytes: Buffer): number | undefined {
  const id = ID_LINE.exec(bytes.toString('latin1'))?.[1];
  return id === undefined ? undefined : Number(id);
}

/** A growable buffer. Its capacity doubles, so that the bytes of an event in many chunks are copied about twice. */
class PendingBytes {
  #buffer: Buffer = Buffer.alloc(0);
  length = 0;

  get bytes(): Buffer {
    return this.#buffer.subarray(0, this.length);
  }

  add(chunk: Buffer): void {
    const needed = this.length + chunk.length;
    if (needed > this.#buffer.length) {
      const grown = Buffer.allocUnsafe(Math.max(MIN_CAPACITY, 2 * needed));
      this.bytes.copy(grown);
      this.#buffer = grown;
    }
    chunk.copy(this.#buffer, this.length);
    this.length = needed;
  }

  /** Replaces the content by `chunk` in a new buffer, so that views of the old one stay valid. */
  reset(chunk: Buffer): void {
    this.#buffer = Buffer.alloc(0);
    this.length = 0;
    if (chunk.length > 0) {
      this.add(chunk);
    }
  }
}

/**
 * Creates an event splitter.
 *
 * @returns a splitter at the start of a stream
 */
export function createEventSplitter(): EventSplitter {
  const pending = new PendingBytes();
  return {
    push: (chunk) => {
      const scanFrom = Math.max(0, pending.length - DELIMITER_OVERLAP);
      pending.add(chunk);
      const { bytes } = pending;
      const events: StreamEvent[] = [];
      let start = 0;
      for (let end = findEventEnd(bytes, scanFrom); end >= 0; end = findEventEnd(bytes, start)) {
        const event = bytes.subarray(start, end);
        events.push({ bytes: event, id: readId(event) });
        start = end;
      }
      if (start > 0) {
        pending.reset(bytes.subarray(start));
      }
      return events;
    },
    pendingBytes: () => pending.length,
  };
}
