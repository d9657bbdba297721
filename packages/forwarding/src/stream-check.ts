/**
 * Decides whether what a server sends can be the stream of events that the request asks for.
 *
 * Load pattern: a faulty server sends bytes that are no events, or more of them than any answer holds, until its connection
 * is closed.
 */
import { type StreamEvent } from './event-splitter.js';

/** Checks one stream. */
export interface StreamCheck {
  /**
   * Checks the next event, or comment.
   *
   * @param event - the event
   * @returns what is wrong with it; undefined if it can belong to the stream
   */
  next(event: StreamEvent): string | undefined;
  /**
   * Checks an event that has not arrived completely.
   *
   * @param pendingBytes - number of its bytes so far
   * @returns what is wrong with it; undefined if it can become a valid event
   */
  pending(pendingBytes: number): string | undefined;
}

/** Limit on one event in bytes: each stream may buffer one incomplete event. */
const MAX_EVENT_BYTES = 1024 * 1024;
/** Limit on the comments between two events in bytes; servers send short ones to keep a connection open. */
const MAX_COMMENT_BYTES = 16 * 1024;
/** Number of events that may hold no token, such as one that states the end of the answer. */
const MAX_EVENTS_WITHOUT_TOKEN = 16;
/** Limit on the events of any stream; more than fit into an hour at the pace of a model. */
const MAX_EVENTS = 131_072;
/** Limit on the mean size of a token in a stream, with what surrounds it in its event, in bytes. */
const MAX_BYTES_PER_TOKEN = 4 * 1024;

/**
 * Creates the check of one stream.
 *
 * @param answerTokens - number of tokens that the caller asked for at most; undefined if it stated none
 * @returns the check, before the first event
 */
export function createStreamCheck(answerTokens: number | undefined): StreamCheck {
  const maxEvents = Math.min(
    MAX_EVENTS,
    answerTokens === undefined ? MAX_EVENTS : answerTokens + MAX_EVENTS_WITHOUT_TOKEN,
  );
  const maxBytes = MAX_EVENT_BYTES + maxEvents * MAX_BYTES_PER_TOKEN;
  let events = 0;
  let receivedBytes = 0;
  let commentBytes = 0;
  let lastId: number | undefined;
  return {
    next: ({ bytes, id, isComment }) => {
      receivedBytes += bytes.length;
      if (isComment) {
        commentBytes += bytes.length;
        return commentBytes > MAX_COMMENT_BYTES
          ? `comments of ${String(commentBytes)} bytes without an event`
          : undefined;
      }
      commentBytes = 0;
      events += 1;
      const idBefore = lastId;
      lastId = id;
      if (id === undefined) {
        return 'event without an id';
      }
      if (idBefore !== undefined && id <= idBefore) {
        return `event ${String(id)} after event ${String(idBefore)}`;
      }
      if (events > maxEvents) {
        return `more than ${String(maxEvents)} events`;
      }
      return receivedBytes > maxBytes ? `events of ${String(receivedBytes)} bytes` : undefined;
    },
    pending: (pendingBytes) =>
      pendingBytes > MAX_EVENT_BYTES ? `event of over ${String(MAX_EVENT_BYTES)} bytes` : undefined,
  };
}
