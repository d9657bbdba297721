/** Clients of the entries, as PROTOCOL.md describes them: each attempt has an id of its own, and nothing is sent twice. */
import { Buffer } from 'node:buffer';
import { randomBytes } from 'node:crypto';
import { request } from 'node:http';
import { performance } from 'node:perf_hooks';

/** Asks for a path; resolves to the status, or 0 if there was no answer. */
export function getStatus(host, port, path) {
  return new Promise((resolve) => {
    const outgoing = request({ host, port, path, agent: false, timeout: 1_000 }, (response) => {
      response.resume();
      response.once('close', () => resolve(response.statusCode));
    });
    outgoing.once('timeout', () => outgoing.destroy());
    outgoing.once('error', () => resolve(0));
    outgoing.end();
  });
}

/** Sends one request; resolves to what the client has seen. */
export function send({
  entry,
  host,
  path,
  method = 'GET',
  key,
  deadlineMs = 4_000,
  body,
  headers = {},
  onAttempt,
}) {
  const attempt = randomBytes(8).toString('hex');
  onAttempt?.(attempt);
  const sentAt = performance.now();
  return new Promise((resolve) => {
    const finish = (result) =>
      resolve({ attempt, sentAt, endedAt: performance.now(), entry: entry.name, path, ...result });
    const outgoing = request(
      {
        host: entry.host,
        port: entry.front,
        path,
        method,
        agent: false,
        headers: {
          Host: host,
          'X-Attempt-Id': attempt,
          'X-Deadline-Ms': String(deadlineMs),
          'Api-Key': key,
          ...headers,
        },
      },
      (response) => {
        const chunks = [];
        response.on('data', (chunk) => chunks.push(chunk));
        response.once('error', () => finish({ status: response.statusCode, complete: false }));
        response.once('end', () =>
          finish({
            status: response.statusCode,
            complete: response.complete,
            signature: response.headers['x-response-signature'],
            body: Buffer.concat(chunks).toString('utf8'),
            retryAfter: response.headers['retry-after'],
          }),
        );
      },
    );
    outgoing.once('error', (error) => finish({ status: 0, complete: false, error: error.message }));
    outgoing.end(body);
  });
}
