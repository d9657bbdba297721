/**
 * Stand-ins for model servers, as PROTOCOL.md describes them: they read a prompt, then send events of several tokens at a steady
 * pace, sign their answers, and list no reservations.
 */
import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { clearTimeout, setTimeout } from 'node:timers';

/** What the operator's configuration says of these engines. */
export const ENGINE = {
  slots: 11,
  kv_capacity_tokens: 232_000,
  stride: 43,
  chunk: 2_048,
  step_ms: 1.02,
  per_seq_ms: 0.00226,
  context_per_k: 0.00431,
  read_per_s: 206_000,
  pairs_per_m: 0.138,
  hop_latency_ms: 0.075,
};

const TOKENS_PER_EVENT = ENGINE.stride;
const EVENT_MS = ENGINE.stride * ENGINE.step_ms;

/**
 * Starts an engine.
 *
 * @param options - its id and address, callbacks, the silence that it falls into at an event of a request, if any, and whether it
 *   crashes as it begins to write the answer to one
 */
export async function startEngine({
  id,
  host,
  onArrival,
  onEnd,
  silenceOf = () => undefined,
  isFatal = () => false,
  onCrash,
}) {
  const server = createServer((request, response) => {
    request.on('error', () => undefined);
    response.on('error', () => undefined);
    request.resume();
    request.once('end', () => {
      if (request.method === 'GET' && request.url === '/api/report') {
        const body = JSON.stringify({
          born: 1,
          stage: 'both',
          models: [{ name: 'm', version: 1, adapters: [] }],
          busy: false,
          seq: 0,
          queued: 0,
          running: 0,
          kv_used: 0,
          kv_total: ENGINE.kv_capacity_tokens,
          handles: 0,
          tickets: [],
          pace: 1,
        });
        response.writeHead(200, {
          'Content-Type': 'application/json',
          'Content-Length': Buffer.byteLength(body),
        });
        response.end(body);
        return;
      }
      const attempt = request.headers['x-attempt-id'];
      const expected = request.headers['x-expect-instance'];
      if (expected !== undefined && expected !== id) {
        response.writeHead(421, { 'X-Attempt-Id': attempt, 'X-Not-Executed': '1', 'Content-Length': 0 });
        response.end();
        return;
      }
      serve({ id, attempt, request, response, onArrival, onEnd, silenceOf, isFatal, crash });
    });
  });
  const sockets = new Set();
  /** Ends the run as a process that crashes: its connections are reset, and it listens no more. */
  let hasCrashed = false;
  const crash = (attempt) => {
    if (hasCrashed) {
      return;
    }
    hasCrashed = true;
    server.close();
    sockets.forEach((socket) => socket.resetAndDestroy());
    onCrash(attempt);
  };
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
  });
  server.keepAliveTimeout = 5_000;
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, host, resolve);
  });
  return {
    id,
    address: `${host}:${String(server.address().port)}`,
    stop: () => {
      server.closeAllConnections();
      server.close();
    },
  };
}

function serve({ id, attempt, request, response, onArrival, onEnd, silenceOf, isFatal, crash }) {
  const [promptTokens, answerTokens] = request.headers['x-token-usage'].split(',').map(Number);
  const events = Math.ceil(answerTokens / TOKENS_PER_EVENT);
  const silence = silenceOf(attempt);
  onArrival({ server: id, attempt, headers: request.headers });
  let event = Number(request.headers['last-event-id'] ?? 0);
  let timer;
  const next = () => {
    if (isFatal(request.headers)) {
      crash(attempt);
      return;
    }
    event += 1;
    response.write(`id: ${String(event)}\ndata: ${attempt} piece ${String(event)} of ${String(events)}\n\n`);
    if (event >= events) {
      onEnd({ server: id, attempt, events: event, complete: true });
      response.end();
      return;
    }
    timer = setTimeout(next, event === silence?.event ? silence.ms : EVENT_MS);
  };
  response.once('close', () => {
    clearTimeout(timer);
    if (!response.writableEnded) {
      onEnd({ server: id, attempt, events: event, complete: false });
    }
  });
  response.writeHead(200, {
    'Content-Type': 'text/event-stream',
    'X-Attempt-Id': attempt,
    'X-Response-Signature': `${id}.${attempt}`,
    'X-Weight-Versions': '1',
  });
  response.flushHeaders();
  timer = setTimeout(next, (promptTokens / ENGINE.read_per_s) * 1_000 + EVENT_MS);
}
