/** What the errors of Node's HTTP server about a caller's input mean. */
import { EndReason } from './caller-answer.js';

/** Error of Node's parser if a connection ends inside a request. */
const INCOMPLETE_INPUT = 'HPE_INVALID_EOF_STATE';
const PARSER_ERROR_PREFIX = 'HPE_';
const REQUEST_TIMEOUT = 'ERR_HTTP_REQUEST_TIMEOUT';

/**
 * Returns whether the connection has ended inside a request.
 *
 * @param error - the error
 */
export function isIncompleteInput({ code }: NodeJS.ErrnoException): boolean {
  return code === INCOMPLETE_INPUT;
}

/**
 * Returns the reason for the end of a request whose body cannot be read.
 *
 * @param error - the error
 */
export function reasonOfClientError({ code }: NodeJS.ErrnoException): EndReason {
  if (code === REQUEST_TIMEOUT) {
    return EndReason.DeadlinePassed;
  }
  return code?.startsWith(PARSER_ERROR_PREFIX) === true ? EndReason.BadRequest : EndReason.CallerGone;
}

/**
 * Returns the status line of the answer to input that is no valid request, as Node's own server determines it.
 *
 * @param error - the error
 */
export function statusOfClientError({ code }: NodeJS.ErrnoException): string {
  switch (code) {
    case 'HPE_HEADER_OVERFLOW':
      return '431 Request Header Fields Too Large';
    case REQUEST_TIMEOUT:
      return '408 Request Timeout';
    default:
      return '400 Bad Request';
  }
}
