/** Reads the bodies of callers' requests. */
import { type IncomingMessage } from 'node:http';
import { createByteBuffer } from '@toucanbend/core';
import { EndReason } from './caller-answer.js';

/** Reads the bodies of callers' requests. */
export interface BodyReader {
  /**
   * Reads a body.
   *
   * @param request - the request
   * @param limitBytes - limit on the length of the body
   * @returns the body, or why it was not read: `BodyTooLong`, `CallerGone` if the connection closed early, or `Leaving`
   */
  read(request: IncomingMessage, limitBytes: number): Promise<Buffer | EndReason>;
  /** Ends the reading of all bodies that have not arrived completely, with `Leaving`. */
  abandon(): void;
}

/**
 * Creates a reader of bodies.
 *
 * @returns the reader
 */
export function createBodyReader(): BodyReader {
  const unfinished = new Set<() => void>();
  return {
    abandon: () => {
      unfinished.forEach((end) => {
        end();
      });
    },
    read: (request, limitBytes) =>
      new Promise((resolve) => {
        const received = createByteBuffer();
        const end = (body: Buffer | EndReason): void => {
          unfinished.delete(endLeaving);
          resolve(body);
        };
        const endLeaving = (): void => {
          end(EndReason.Leaving);
        };
        unfinished.add(endLeaving);
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
