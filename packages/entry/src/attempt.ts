/** Sends an attempt at a request to a side. */
import { type EntryRequest } from './request.js';
import { FrameType, type FrameOf, type Link } from '@toucanbend/wire';

/** Largest part of a body in one frame. */
const BODY_FRAME_BYTES = 256 * 1024;

/** Fields of a Submit frame that are specific to the attempt. */
export type Submission = Omit<
  FrameOf<FrameType.Submit>,
  'type' | 'requestId' | 'bodyBytes' | 'kind' | 'target' | 'rank' | 'account' | 'weight' | 'firstTokenLimitMs'
>;

/**
 * Sends the Submit frame of an attempt; the body follows in separate frames.
 *
 * @param link - link to the side
 * @param request - the request
 * @param body - the body, of which only the length is sent here
 * @param submission - number of the attempt, token counts, time left and execution token
 */
export function sendSubmit(
  link: Link,
  request: EntryRequest,
  body: Uint8Array,
  submission: Submission,
): void {
  const { requestId, kind, target, rank, account, weight, firstTokenLimitMs } = request;
  link.send({
    type: FrameType.Submit,
    requestId,
    kind,
    target,
    rank,
    account,
    weight,
    firstTokenLimitMs,
    bodyBytes: body.length,
    ...submission,
  });
}

/**
 * Sends the body of an attempt, split into frames.
 *
 * @param link - link to the side
 * @param requestId - identifier of the request
 * @param attempt - number of the attempt
 * @param body - the whole body
 */
export function sendBody(link: Link, requestId: string, attempt: number, body: Uint8Array): void {
  for (let offset = 0; offset < body.length; offset += BODY_FRAME_BYTES) {
    const bytes = body.subarray(offset, offset + BODY_FRAME_BYTES);
    link.send({ type: FrameType.Body, requestId, attempt, offset, bytes });
  }
}
