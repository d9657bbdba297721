/** Fake of the platform's host list: serves the list that was last posted, after a lag. */
import { sendJson, serve } from './http.js';

/**
 * Starts the fake's HTTP server.
 *
 * @param options - port, and lag in milliseconds
 * @returns the port, once the server listens
 */
export function serveHosts(options: { readonly port: number; readonly lagMs?: number }): Promise<number> {
  let hosts: unknown = [];
  return serve(options.port, (_path, body, request, response) => {
    if (request.method === 'POST') {
      const next: unknown = JSON.parse(body.toString());
      setTimeout(() => {
        hosts = next;
      }, options.lagMs ?? 0);
      sendJson(response, {});
    } else {
      sendJson(response, { hosts });
    }
  });
}
