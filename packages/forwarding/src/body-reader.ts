/** Reads the bodies of callers' requests. */
import { type IncomingMessage } from 'node:http';
import { type Clock, createByteBuffer } from '@toucanbend/core';
import { EndReason } from './caller-answer.js';

/** Reads the bodies of callers' requests. */
export interface BodyReader {
  /**
   * Reads a body.
   *
   * @param request - the request
   * @param limitBytes - limit on the length of the body
   * @param timeoutMs - time within which it must have arrived, in milliseconds
   * @returns the body, or why it was not read: `BodyTooLong`, `CallerGone` if the connection closed early, `DeadlinePassed`,
   *   `Leaving`, or the reason of {@link BodyReader.fail}
   */
  read(request: IncomingMessage, limitBytes: number, timeoutMs: number): Promise<Buffer | EndReason>;
  /** Ends the reading of a body that cannot arrive completely; no effect if it has been read. */
  fail(request: IncomingMessage, reason: EndReason): void;
  /** Ends the reading of all bodies that have not arrived completely, with `Leaving`. */
  abandon(): void;
}

/**
 * Creates a reader of bodies.
 *
 * @param clock - measures the time that bodies take
 * @returns the reader
 */
export function createBodyReader(clock: Clock): BodyReader {
  const unfinished = new Map<IncomingMessage, (reason: EndReason) => void>();
  return {
    abandon: () => {
      unfinished.forEach((end) => {
        end(EndReason.Leaving);
      });
    },
    fail: (request, reason) => {
      unfinished.get(request)?.(reason);
    },
    read: (request, limitBytes, timeoutMs) =>
      new Promise((resolve) => {
        const received = createByteBuffer();
        const end = (body: Buffer | EndReason): void => {
          cancelTimer();
          unfinished.delete(request);
          resolve(body);
        };
        const cancelTimer = clock.after(timeoutMs, () => {
          end(EndReason.DeadlinePassed);
        });
        unfinished.set(request, end);
        request.on('data', (chunk: Buffer) => {
          if (received.length() + chunk.length > limitBytes) {
            end(EndReason.BodyTooLong);
            return;
          }
          received.add(chunk);
        });
        request.on('end', () => {
          end(received.bytes());
        });
        request.on('close', () => {
          end(EndReason.CallerGone);
        });
      }),
  };
}
