/** The wait of a request that is not placed yet. */
import { type Channel, type ProcessBody, receiveWithin } from '@toucanbend/channel';
import { type ForwardingContext } from './context.js';
import { type ForwardMessage, ForwardMessageType } from './forward-message.js';

/**
 * Waits for a random time between half and all of `waitMs`, or until a message about something other than an attempt arrives:
 * the caller disconnects, a part is quarantined, or this process begins to drain. Called with `yield*`.
 *
 * @param context - the clock, and the source of random numbers
 * @param inbox - receives the events of the request
 * @param waitMs - the longest wait, in milliseconds
 * @returns whether the caller disconnected
 */
export function* waitForChange(
  context: Pick<ForwardingContext, 'clock' | 'random'>,
  inbox: Channel<ForwardMessage>,
  waitMs: number,
): ProcessBody<boolean> {
  const { clock, random } = context;
  const untilMs = clock.now() + waitMs * (0.5 + random.fraction() / 2);
  for (let leftMs = untilMs - clock.now(); leftMs > 0; leftMs = untilMs - clock.now()) {
    const received = yield* receiveWithin(inbox, clock, leftMs);
    if (!received.timedOut && received.value.type !== ForwardMessageType.Attempt) {
      return received.value.type === ForwardMessageType.CallerGone;
    }
  }
  return false;
}
