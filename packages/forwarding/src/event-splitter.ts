/** Splits the bytes of an event stream into whole events, so that only whole ones are passed on. */

/** A whole event with its bytes, the empty line at its end included. */
export interface StreamEvent {
  readonly bytes: Buffer;
  /** Its id; undefined where it has none. */
  readonly id: number | undefined;
}

/** Splits one stream. */
export interface EventSplitter {
  /**
   * Takes the next bytes.
   *
   * @param chunk - the bytes
   * @returns the events that are now whole
   */
  push(chunk: Buffer): StreamEvent[];
  /** Bytes of an event that is not whole yet. */
  pendingBytes(): number;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_LINE = /^id:\s*(\d+)\s*$/m;

/** Longest end of an event in bytes, less one: so many bytes before new ones may belong to it. */
const END_OVERLAP = 3;
const LEAST_CAPACITY = 1024;

/** Finds the end of the first event: the place after its empty line; -1 where there is none yet. */
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

/** Bytes that are added at the end; its room doubles, so that an event in many pieces is copied about twice. */
class PendingBytes {
  #room: Buffer = Buffer.alloc(0);
  length = 0;

  get bytes(): Buffer {
    return this.#room.subarray(0, this.length);
  }

  add(chunk: Buffer): void {
    const needed = this.length + chunk.length;
    if (needed > this.#room.length) {
      const room = Buffer.allocUnsafe(Math.max(LEAST_CAPACITY, 2 * needed));
      this.bytes.copy(room);
      this.#room = room;
    }
    chunk.copy(this.#room, this.length);
    this.length = needed;
  }

  /** Begins anew; bytes that were given out stay as they are. */
  replace(chunk: Buffer): void {
    this.#room = Buffer.alloc(0);
    this.length = 0;
    if (chunk.length > 0) {
      this.add(chunk);
    }
  }
}

/**
 * Creates a splitter.
 *
 * @returns a splitter at the start of a stream
 */
export function createEventSplitter(): EventSplitter {
  const pending = new PendingBytes();
  return {
    push: (chunk) => {
      const scanFrom = Math.max(0, pending.length - END_OVERLAP);
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
        pending.replace(bytes.subarray(start));
      }
      return events;
    },
    pendingBytes: () => pending.length,
  };
}
