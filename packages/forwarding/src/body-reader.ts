/** Reads the bodies of callers' requests. */
import { type IncomingMessage } from 'node:http';
import { type Clock, createBlockBuffer } from '@toucanbend/core';
import { EndReason } from './caller-answer.js';
import { type RequestAccount } from './request-memory.js';

/** Reads the bodies of callers' requests. */
export interface BodyReader {
  /**
   * Reads a body.
   *
   * @param request - the request
   * @param limitBytes - limit on the length of the body
   * @param timeoutMs - time within which it must have arrived, in milliseconds
   * @param memory - memory for the body
   * @returns the body, or why it was not read: `BodyTooLong`, also if it is announced, `Overloaded` if there is no memory for
   *   it, `CallerGone` if the connection closed early, `DeadlinePassed`, `Leaving`, or the reason of {@link BodyReader.fail}
   */
  read(
    request: IncomingMessage,
    limitBytes: number,
    timeoutMs: number,
    memory: RequestAccount,
  ): Promise<Buffer | EndReason>;
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
    read: (request, limitBytes, timeoutMs, memory) =>
      new Promise((resolve) => {
        const announcedBytes = Number(request.headers['content-length'] ?? 0);
        if (announcedBytes > limitBytes) {
          resolve(EndReason.BodyTooLong);
          return;
        }
        // Taken as they arrive, many bodies would begin to arrive and none could be completed.
        if (!memory.tryTake(announcedBytes)) {
          resolve(EndReason.Overloaded);
          return;
        }
        const received = createBlockBuffer();
        let takenBytes = announcedBytes;
        /** Takes memory in steps that double, so that long bodies are refused before much of them has arrived. */
        const hasMemory = (bytes: number): boolean => {
          if (bytes <= takenBytes) {
            return true;
          }
          const stepBytes = Math.max(bytes - takenBytes, takenBytes);
          takenBytes += stepBytes;
          return memory.tryTake(stepBytes);
        };
        const add = (chunk: Buffer): void => {
          if (received.length() + chunk.length > limitBytes) {
            end(EndReason.BodyTooLong);
          } else if (hasMemory(received.length() + chunk.length)) {
            received.add(chunk);
          } else {
            end(EndReason.Overloaded);
          }
        };
        const end = (body: Buffer | EndReason): void => {
          cancelTimer();
          unfinished.delete(request);
          request.off('data', add);
          if (typeof body === 'string') {
            received.take();
            memory.close();
          }
          resolve(body);
        };
        const cancelTimer = clock.after(timeoutMs, () => {
          end(EndReason.DeadlinePassed);
        });
        unfinished.set(request, end);
        request.on('data', add);
        request.on('end', () => {
          end(received.take());
        });
        request.on('close', () => {
          end(EndReason.CallerGone);
        });
      }),
  };
}
