/** Fake of the platform's key-value service: the part of its HTTP gateway that the system uses. */
import { type ServerResponse } from 'node:http';
import { sendJson, serve } from './http.js';

/** Faults that can be injected into the fake. */
export enum StoreFault {
  None = 'none',
  /** Every call is rejected. */
  Out = 'out',
  /** Calls are accepted, but neither executed nor answered. */
  Hang = 'hang',
  /** Writes take effect, but their responses are lost. */
  LoseAnswers = 'lose_answers',
  /** Calls are delayed by 400 ms. */
  Slow = 'slow',
}

interface Entry {
  readonly key: string;
  readonly value: string;
  readonly mod_revision: number;
}

interface NestedTransaction {
  readonly request_txn: {
    readonly compare: readonly { readonly key: string; readonly mod_revision: number }[];
    readonly success: readonly { readonly request_put: { readonly key: string; readonly value: string } }[];
  };
}

const SLOW_MS = 400;

/**
 * Starts the fake's HTTP server.
 *
 * @param options - port to listen on; 0 selects a free one
 * @returns the port, once the server listens
 */
export function serveStore(options: { readonly port: number }): Promise<number> {
  const entries = new Map<string, Entry>();
  const watchers = new Map<ServerResponse, string>();
  const calls = { range: 0, txn: 0, writes: 0, watch: 0 };
  let revision = 0;
  let fault = StoreFault.None;

  const notifyWatchers = (entry: Entry): void => {
    for (const [watcher, key] of watchers) {
      if (key === entry.key && fault === StoreFault.None) {
        watcher.write(`${JSON.stringify({ result: { events: [{ kv: entry }] } })}\n`);
      }
    }
  };

  const transact = ({ request_txn }: NestedTransaction): object => {
    calls.writes += 1;
    const holds = request_txn.compare.every(
      ({ key, mod_revision }) => (entries.get(key)?.mod_revision ?? 0) === mod_revision,
    );
    if (!holds) {
      const kvs = request_txn.compare.flatMap(({ key }) => entries.get(key) ?? []);
      return { response_txn: { succeeded: false, responses: [{ response_range: { kvs } }] } };
    }
    for (const { request_put } of request_txn.success) {
      revision += 1;
      const entry = { ...request_put, mod_revision: revision };
      entries.set(entry.key, entry);
      notifyWatchers(entry);
    }
    return { response_txn: { succeeded: true, responses: [] } };
  };

  const answer = (path: string, body: Buffer, response: ServerResponse): void => {
    const call = JSON.parse(body.toString()) as Record<string, never>;
    switch (path) {
      case '/v3/kv/range': {
        calls.range += 1;
        const entry = entries.get(call['key'] ?? '');
        sendJson(response, { kvs: entry === undefined ? [] : [entry] });
        return;
      }
      case '/v3/kv/txn': {
        calls.txn += 1;
        const responses = (call['success'] as unknown as NestedTransaction[]).map(transact);
        if (fault === StoreFault.LoseAnswers) {
          response.destroy();
        } else {
          sendJson(response, { responses });
        }
        return;
      }
      case '/v3/watch': {
        calls.watch += 1;
        const key = (call['create_request'] as unknown as { key: string }).key;
        watchers.set(response, key);
        response.writeHead(200, { 'content-type': 'application/json' });
        response.flushHeaders();
        response.on('close', () => watchers.delete(response));
        const entry = entries.get(key);
        if (entry !== undefined) {
          response.write(`${JSON.stringify({ result: { events: [{ kv: entry }] } })}\n`);
        }
        return;
      }
      default:
        sendJson(response, { error: 'not found' }, 404);
    }
  };

  return serve(options.port, (path, body, _request, response) => {
    if (path === '/fault') {
      fault = JSON.parse(body.toString()) as StoreFault;
      if (fault === StoreFault.Out || fault === StoreFault.Hang) {
        watchers.forEach((_key, watcher) => watcher.destroy());
      }
      sendJson(response, { fault });
    } else if (path === '/calls') {
      sendJson(response, { ...calls, keys: entries.size });
    } else if (path === '/set') {
      const { key, value } = JSON.parse(body.toString()) as { key: string; value: string };
      const toBase64 = (text: string): string => Buffer.from(text).toString('base64');
      revision += 1;
      const entry = { key: toBase64(key), value: toBase64(value), mod_revision: revision };
      entries.set(entry.key, entry);
      notifyWatchers(entry);
      sendJson(response, {});
    } else if (fault === StoreFault.Out) {
      sendJson(response, { error: 'unavailable' }, 503);
    } else if (fault !== StoreFault.Hang) {
      setTimeout(
        () => {
          answer(path, body, response);
        },
        fault === StoreFault.Slow ? SLOW_MS : 0,
      );
    }
  });
}
