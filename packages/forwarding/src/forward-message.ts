/** What the process of a request hears of while it waits. */
import { type Channel, createChannel } from '@toucanbend/channel';
import { type AttemptEvent } from './attempt.js';

/** What a request's process hears of. */
export type ForwardMessage =
  | { readonly type: ForwardMessageType.CallerGone }
  | { readonly type: ForwardMessageType.MemoryIdle; readonly attempt: number }
  | { readonly type: ForwardMessageType.Attempt; readonly attempt: number; readonly event: AttemptEvent };

/** The kinds of {@link ForwardMessage}. */
export enum ForwardMessageType {
  CallerGone = 'caller_gone',
  /** The engines do not use the memory that was set aside for the attempt. */
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
