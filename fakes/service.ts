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
          } else if (fault === ServiceFault.None) {
            sendJson(response, { confirmed: text, run: runs[text] });
          }
        }, delayMs);
      }
    }
  });
}
