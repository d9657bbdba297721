/** Messages to the process that serves a request. */
import { type Channel } from '@toucanbend/channel';
import { type FrameOf, type FrameType } from '@toucanbend/wire';

export enum InboxMessageType {
  /** A frame of the current attempt. */
  Frame = 'frame',
  /** The link of the current attempt has ended. */
  LinkLost = 'link_lost',
  /** The caller disconnected before its answer was complete. */
  CallerGone = 'caller_gone',
}

/** A frame that a side sends about an attempt. */
export type AttemptFrame =
  | FrameOf<FrameType.Accepted>
  | FrameOf<FrameType.Output>
  | FrameOf<FrameType.Answer>
  | FrameOf<FrameType.Done>
  | FrameOf<FrameType.RequestNotFound>;

/** A message to the process that serves a request. */
export type InboxMessage =
  | { readonly type: InboxMessageType.Frame; readonly frame: AttemptFrame }
  | { readonly type: InboxMessageType.LinkLost; readonly attempt: number }
  | { readonly type: InboxMessageType.CallerGone };

/** The channel through which a request process receives its messages. */
export type Inbox = Channel<InboxMessage>;
