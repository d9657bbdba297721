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

/**
 * Creates a splitter.
 *
 * @returns a splitter at the start of a stream
 */
export function createEventSplitter(): EventSplitter {
  let pending: Buffer = Buffer.alloc(0);
  return {
    push: (chunk) => {
      pending = pending.length === 0 ? chunk : Buffer.concat([pending, chunk]);
      const events: StreamEvent[] = [];
      for (let end = findEventEnd(pending, 0); end >= 0; end = findEventEnd(pending, 0)) {
        const bytes = pending.subarray(0, end);
        events.push({ bytes, id: readId(bytes) });
        pending = pending.subarray(end);
      }
      return events;
    },
    pendingBytes: () => pending.length,
  };
}
