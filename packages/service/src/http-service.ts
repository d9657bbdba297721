/** Client of plain services over HTTP. */
import { type IncomingMessage, request } from 'node:http';
import { createByteBuffer, observeReset, type ServiceCall } from '@toucanbend/core';
import { err, ok, type Result } from 'neverthrow';
import {
  type PendingCall,
  type PlainService,
  type ServiceAnswer,
  type ServiceError,
  ServiceErrorKind,
} from './plain-service.js';

const MAX_RESPONSE_BYTES = 1024 * 1024;

/** Lowest status of an answer; Node's parser accepts lower ones. */
const MIN_FINAL_STATUS = 200;

/**
 * Returns why a response that has ended is not the whole answer to the call.
 *
 * @param response - the response
 * @param bodyBytes - length of the body that was received, in bytes
 * @param isReset - whether the service reset the connection
 * @returns the reason; undefined if the response is the whole answer
 */
function faultOf(response: IncomingMessage, bodyBytes: number, isReset: boolean): string | undefined {
  const { statusCode: status = 0, headers, complete } = response;
  const isFramed = headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
  if (status < MIN_FINAL_STATUS) {
    return `the response has the invalid status ${String(status)}`;
  }
  return complete && (isFramed || !isReset)
    ? undefined
    : `the response is incomplete: connection reset after ${String(bodyBytes)} bytes of the body`;
}

/**
 * Calls a plain service over HTTP.
 *
 * Opens a new connection for each call: a request on a keep-alive connection that the service closes at the
 * same moment would be in doubt, whereas a refused connection proves that the call was not sent.
 */
export class HttpPlainService implements PlainService {
  readonly #base: URL;

  /**
   * @param address - `IP:PORT` of the service
   */
  constructor(address: string) {
    this.#base = new URL(`http://${address}`);
  }

  call(call: ServiceCall, requestId: string, body: Uint8Array): PendingCall {
    const headers = {
      'content-type': call.contentType,
      'content-length': String(body.length),
      'x-request-id': requestId,
    };
    let abandon: () => void = () => undefined;
    const answer = new Promise<Result<ServiceAnswer, ServiceError>>((resolve) => {
      let isReset = (): boolean => false;
      const url = new URL(call.path, this.#base);
      const pending = request(url, { method: call.method, headers, agent: false }, (response) => {
        const received = createByteBuffer();
        response.on('data', (chunk: Buffer) => {
          if (received.length() + chunk.length > MAX_RESPONSE_BYTES) {
            pending.destroy(new Error('the response body exceeds the maximum length'));
          } else {
            received.add(chunk);
          }
        });
        response.on('error', (error) => {
          resolve(err({ kind: ServiceErrorKind.ResponseLost, message: error.message }));
        });
        response.on('end', () => {
          const fault = faultOf(response, received.length(), isReset());
          if (fault !== undefined) {
            resolve(err({ kind: ServiceErrorKind.ResponseLost, message: fault }));
            return;
          }
          const contentType = response.headers['content-type'] ?? 'application/octet-stream';
          resolve(ok({ status: response.statusCode ?? 0, contentType, body: received.bytes() }));
        });
      });
      pending.on('socket', (socket) => {
        isReset = observeReset(socket);
      });
      pending.on('error', (error: NodeJS.ErrnoException) => {
        const kind = error.code === 'ECONNREFUSED' ? ServiceErrorKind.NotSent : ServiceErrorKind.ResponseLost;
        resolve(err({ kind, message: error.message }));
      });
      pending.end(body);
      abandon = () => pending.destroy(new Error('the call was abandoned'));
    });
    return {
      answer,
      abandon: () => {
        abandon();
      },
    };
  }
}
