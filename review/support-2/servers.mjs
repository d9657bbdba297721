/**
 * Stand-ins for the servers of a plain service, as PROTOCOL.md describes them: one run of a server each, which answers 421 where
 * another one is meant, works for some time on a request, and signs what it answers.
 */
import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { clearTimeout, setTimeout } from 'node:timers';

/**
 * Starts a server.
 *
 * @param options - its id, address, work time, and callbacks for what arrives and what runs
 */
export async function startServer({
  id,
  host,
  workMs,
  slots = 6,
  onArrival,
  onRun,
  onEnd = () => undefined,
  headers = () => ({}),
}) {
  let running = 0;
  const server = createServer((request, response) => {
    const chunks = [];
    request.on('error', () => undefined);
    response.on('error', () => undefined);
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => {
      const attempt = request.headers['x-attempt-id'];
      const expected = request.headers['x-expect-instance'];
      const send = (status, extra, body) => {
        response.writeHead(status, {
          ...(attempt === undefined ? {} : { 'X-Attempt-Id': attempt }),
          'Content-Length': Buffer.byteLength(body),
          ...headers(),
          ...extra,
        });
        response.end(body);
      };
      if (expected !== undefined && expected !== id) {
        send(421, { 'X-Not-Executed': '1' }, '');
        return;
      }
      const arrival = { server: id, attempt, path: request.url, from: request.socket.remoteAddress };
      onArrival(arrival);
      if (running >= slots) {
        send(503, { 'X-Not-Executed': '1' }, '');
        return;
      }
      running += 1;
      onRun(arrival);
      const timer = setTimeout(() => {
        running -= 1;
        onEnd({ ...arrival, complete: true });
        send(200, { 'X-Response-Signature': `${id}.${attempt}` }, `done ${attempt} by ${id}\n`);
      }, workMs);
      response.once('close', () => {
        if (!response.writableEnded) {
          clearTimeout(timer);
          running -= 1;
          onEnd({ ...arrival, complete: false });
        }
      });
    });
  });
  server.keepAliveTimeout = 5_000;
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, host, resolve);
  });
  return {
    id,
    address: `${host}:${String(server.address().port)}`,
    /** Ends the run as a server that exits: what it works on is cut off. */
    exit: () => {
      server.closeAllConnections();
      server.close();
    },
  };
}
