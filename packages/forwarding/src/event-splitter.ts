/** Splits the bytes of an event stream into events, so that only complete ones are forwarded. */
import { createByteBuffer } from '@toucanbend/core';

/** A complete event, or a block of comments in its place. */
export interface StreamEvent {
  /** All bytes of the event, including the empty line that ends it. */
  readonly bytes: Buffer;
  /** Its id; undefined if it has none or one that is no number. */
  readonly id: number | undefined;
  /** Whether it consists of comments and empty lines only, such as those that keep a connection open. */
  readonly isComment: boolean;
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
const COLON = 0x3a;
const ID_LINE = /^id:[ \t]*(\d{1,15})[ \t]*$/m;
const LETTER_R = 0x72;
/** A comment, an empty line, or the field that sets how long callers wait before they connect again. */
const COMMENT_LINE = /^(?::.*|retry:[ \t]*\d+)?\r?$/;

/** Number of buffered bytes that may belong to a delimiter that the next chunk completes. */
const DELIMITER_OVERLAP = 3;

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

function readEvent(bytes: Buffer): StreamEvent {
  const text = bytes.toString('latin1');
  const [first] = bytes;
  const mayBeComment =
    first === COLON || first === LINE_FEED || first === CARRIAGE_RETURN || first === LETTER_R;
  if (mayBeComment && text.split('\n').every((line) => COMMENT_LINE.test(line))) {
    return { bytes, id: undefined, isComment: true };
  }
  const id = ID_LINE.exec(text)?.[1];
  return { bytes, id: id === undefined ? undefined : Number(id), isComment: false };
}

/**
 * Creates an event splitter.
 *
 * @returns a splitter at the start of a stream
 */
export function createEventSplitter(): EventSplitter {
  const pending = createByteBuffer();
  return {
    push: (chunk) => {
      const scanFrom = Math.max(0, pending.length() - DELIMITER_OVERLAP);
      pending.add(chunk);
      const bytes = pending.bytes();
      const events: StreamEvent[] = [];
      let start = 0;
      for (let end = findEventEnd(bytes, scanFrom); end >= 0; end = findEventEnd(bytes, start)) {
        events.push(readEvent(bytes.subarray(start, end)));
        start = end;
      }
      if (start > 0) {
        pending.reset(bytes.subarray(start));
      }
      return events;
    },
    pendingBytes: () => pending.length(),
  };
}
