/** Sequential processes in the sense of CSP: generators that wait for channels. */
import csp, { type AltsResult } from 'js-csp';
import { type Clock } from '@toucanbend/core';
import { type Channel, createChannel } from './channel.js';

/** The body of a process: a generator that yields instructions to js-csp. */
export type ProcessBody<Value = void> = Generator<unknown, Value, unknown>;

/**
 * Starts a process.
 *
 * @param body - returns the generator to run
 */
export function startProcess(body: () => ProcessBody): void {
  csp.go(body);
}

/**
 * Waits for the next value of a channel; used with `yield*`.
 *
 * @param channel - the channel
 * @returns the value, or undefined when the channel is closed and empty
 */
export function* receive<Value>(channel: Channel<Value>): ProcessBody<Value | undefined> {
  const value = yield csp.take(channel.raw);
  return value === csp.CLOSED ? undefined : (value as Value);
}

/** The result of receiving with a timeout. */
export type Received<Value> =
  { readonly timedOut: true } | { readonly timedOut: false; readonly value: Value };

/**
 * Waits for the next value of a channel, with a timeout; used with `yield*`.
 *
 * @param channel - the channel
 * @param clock - runs the timeout
 * @param waitMs - the timeout in milliseconds
 * @returns the value, or `timedOut` on a timeout or if the channel is closed and empty
 */
export function* receiveWithin<Value>(
  channel: Channel<Value>,
  clock: Clock,
  waitMs: number,
): ProcessBody<Received<Value>> {
  const timeout = createChannel<null>(1);
  const cancel = clock.after(waitMs, () => {
    timeout.close();
  });
  const result = (yield csp.alts([channel.raw, timeout.raw], { priority: true })) as AltsResult;
  cancel();
  timeout.close();
  if (result.channel === timeout.raw || result.value === csp.CLOSED) {
    return { timedOut: true };
  }
  return { timedOut: false, value: result.value as Value };
}

/**
 * Starts a process that calls a handler for each value of a channel, one at a time.
 *
 * @param channel - the channel; the process ends once it is closed and empty
 * @param handle - handles one value
 */
export function serveChannel<Value>(channel: Channel<Value>, handle: (value: Value) => void): void {
  startProcess(function* () {
    for (;;) {
      const value = yield* receive(channel);
      if (value === undefined) {
        return;
      }
      handle(value);
    }
  });
}

/**
 * Waits for a promise; used with `yield*`.
 *
 * @param promise - a promise that does not reject
 * @returns the value of the promise
 */
export function* settle<Value>(promise: Promise<Value>): ProcessBody<Value> {
  const channel = createChannel<{ readonly value: Value }>(1);
  void promise.then((value) => channel.send({ value }));
  const settled = yield* receive(channel);
  return (settled as { readonly value: Value }).value;
}

/**
 * Waits for a promise, with a timeout; used with `yield*`.
 *
 * @param promise - a promise that does not reject
 * @param clock - runs the timeout
 * @param waitMs - the timeout in milliseconds
 * @returns the value of the promise, or `timedOut`
 */
export function* settleWithin<Value>(
  promise: Promise<Value>,
  clock: Clock,
  waitMs: number,
): ProcessBody<Received<Value>> {
  const channel = createChannel<{ readonly value: Value }>(1);
  void promise.then((value) => channel.send({ value }));
  const received = yield* receiveWithin(channel, clock, waitMs);
  return received.timedOut ? received : { timedOut: false, value: received.value.value };
}

/**
 * Waits for a given time; used with `yield*`.
 *
 * @param clock - runs the timer
 * @param waitMs - the time to wait in milliseconds
 */
export function* pause(clock: Clock, waitMs: number): ProcessBody {
  const channel = createChannel<null>(1);
  clock.after(waitMs, () => {
    channel.close();
  });
  yield* receive(channel);
}
