/** Fake plain service that counts the runs of each call. */
import { sendJson, serve } from './http.js';

/** Settings of the fake service. */
export interface ServiceOptions {
  readonly port: number;
  /** Duration of a call, in milliseconds. */
  readonly delayMs?: number;
}

/** Faults that can be injected into the fake. */
export enum ServiceFault {
  None = 'none',
  /** Calls run, but the connection is closed before the response. */
  LoseAnswer = 'lose_answer',
  /** Calls run, but never receive a response. */
  Silent = 'silent',
  /** Calls run, and part of an answer without a length arrives before the connection is reset. */
  CutAnswer = 'cut_answer',
  /** Calls run, and their answers have the status 000. */
  OddStatus = 'odd_status',
}

/**
 * Starts the fake's HTTP server.
 *
 * @param options - port and speed
 * @returns the port, once the server listens
 */
export function serveService(options: ServiceOptions): Promise<number> {
  const runs: Record<string, number> = {};
  let fault = ServiceFault.None;
  let delayMs = options.delayMs ?? 5;
  return serve(options.port, (path, body, request, response) => {
    switch (path) {
      case '/runs':
        sendJson(response, runs);
        return;
      case '/fault':
        fault = JSON.parse(body.toString()) as ServiceFault;
        sendJson(response, { fault });
        return;
      case '/delay':
        delayMs = JSON.parse(body.toString()) as number;
        sendJson(response, { delayMs });
        return;
      default: {
        const text = body.toString();
        runs[text] = (runs[text] ?? 0) + 1;
        setTimeout(() => {
          if (fault === ServiceFault.LoseAnswer) {
            request.socket.destroy();
          } else if (fault === ServiceFault.CutAnswer) {
            request.socket.write('HTTP/1.1 200 OK\r\n\r\nhalf of a va', () => {
              request.socket.resetAndDestroy();
            });
          } else if (fault === ServiceFault.OddStatus) {
            request.socket.end('HTTP/1.1 000 Odd\r\ncontent-length: 6\r\n\r\na vane');
          } else if (fault === ServiceFault.None) {
            sendJson(response, { confirmed: text, run: runs[text] });
          }
        }, delayMs);
      }
    }
  });
}
