/** The messages that the process of a request receives. */
import { type Channel, createChannel } from '@toucanbend/channel';
import { type AttemptEvent } from './attempt.js';

/** A message to the process of a request. */
export type ForwardMessage =
  | { readonly type: ForwardMessageType.CallerGone }
  | { readonly type: ForwardMessageType.Quarantined }
  | { readonly type: ForwardMessageType.Draining }
  | { readonly type: ForwardMessageType.MemoryIdle; readonly attempt: number }
  | { readonly type: ForwardMessageType.Attempt; readonly attempt: number; readonly event: AttemptEvent };

/** The kinds of {@link ForwardMessage}. */
export enum ForwardMessageType {
  /** The caller closed its connection. */
  CallerGone = 'caller_gone',
  /** A part of prompts was quarantined. */
  Quarantined = 'quarantined',
  /** This process has begun to drain, which limits the time of its requests. */
  Draining = 'draining',
  /** An engine no longer uses the memory that is reserved for the attempt. */
  MemoryIdle = 'memory_idle',
  Attempt = 'attempt',
}

/**
 * Creates the inbox of a request's process.
 *
 * @returns the inbox
 */
export function createForwardInbox(): Channel<ForwardMessage> {
  return createChannel<ForwardMessage>();
}
