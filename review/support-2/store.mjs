/**
 * A stand-in for the platform's metadata store, as PROTOCOL.md describes it: items with revisions, pages, watches, transactions
 * and leases. It loses nothing, and answers at once unless a mode is set.
 */
import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { clearTimeout, setInterval, setTimeout } from 'node:timers';
import { URL } from 'node:url';

const PAGE_ITEMS = 500;

/** How the store treats calls: 'ok', 'silent' (no answer, nothing done), 'busy' (503, nothing done), 'reset'. */
class Store {
  mode = 'ok';
  /** Names of nodes that cannot be told apart here are addresses: calls from these local addresses get no answer. */
  cutAddresses = new Set();
  calls = 0;
  #items = new Map();
  #history = [];
  #compactedAt = 0;
  #revision = 1;
  #leases = new Map();
  #nextLease = 1;
  #watches = new Set();
  #server;

  async listen(host, port) {
    this.#server = createServer((request, response) => {
      void this.#handle(request, response);
    });
    this.#server.keepAliveTimeout = 60_000;
    await new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, host, resolve);
    });
    this.port = this.#server.address().port;
    this.timer = setInterval(() => {
      this.#expireLeases();
    }, 100);
  }

  close() {
    clearTimeout(this.timer);
    this.#server.closeAllConnections();
    this.#server.close();
  }

  get revision() {
    return this.#revision;
  }

  /** Writes as the operator and the servers do. */
  put(key, value, lease = 0) {
    this.#revision += 1;
    const before = this.#items.get(key);
    const item = {
      key,
      value: Buffer.from(typeof value === 'string' ? value : JSON.stringify(value)).toString('base64'),
      revision: this.#revision,
      created_at: before?.created_at ?? this.#revision,
      lease_id: lease,
    };
    this.#items.set(key, item);
    this.#record(item);
    return this.#revision;
  }

  remove(key) {
    if (this.#items.delete(key)) {
      this.#revision += 1;
      this.#record({ key, revision: this.#revision, deleted: true });
    }
    return this.#revision;
  }

  keys(prefix) {
    return [...this.#items.keys()].filter((key) => key.startsWith(prefix)).sort();
  }

  read(key) {
    const item = this.#items.get(key);
    return item === undefined ? undefined : Buffer.from(item.value, 'base64').toString('utf8');
  }

  /** Drops the history, so that watches from earlier revisions get 410. */
  compact() {
    this.#history = [];
    this.#compactedAt = this.#revision;
  }

  #record(event) {
    this.#history.push(event);
    for (const watch of [...this.#watches]) {
      if (event.key.startsWith(watch.prefix)) {
        watch.finish();
      }
    }
  }

  #expireLeases() {
    const now = Date.now();
    for (const [id, lease] of this.#leases) {
      if (this.mode === 'ok' && lease.endsAt < now) {
        this.#endLease(id);
      }
    }
  }

  #endLease(id) {
    this.#leases.delete(id);
    for (const [key, item] of [...this.#items]) {
      if (item.lease_id === id) {
        this.remove(key);
      }
    }
  }

  async #handle(request, response) {
    this.calls += 1;
    request.on('error', () => undefined);
    response.on('error', () => undefined);
    const chunks = [];
    try {
      for await (const chunk of request) {
        chunks.push(chunk);
      }
    } catch {
      return;
    }
    const from = request.socket.remoteAddress;
    if (this.mode === 'silent' || this.cutAddresses.has(from)) {
      return;
    }
    if (this.mode === 'reset') {
      request.socket.resetAndDestroy();
      return;
    }
    const reply = (status, body) => {
      if (this.mode === 'silent' || this.cutAddresses.has(from)) {
        return;
      }
      const text = JSON.stringify(body);
      response.writeHead(status, {
        'Content-Type': 'application/json',
        'Content-Length': Buffer.byteLength(text),
      });
      response.end(text);
    };
    if (this.mode === 'busy') {
      reply(503, {});
      return;
    }
    const url = new URL(request.url, 'http://store');
    const body = chunks.length === 0 ? {} : JSON.parse(Buffer.concat(chunks).toString('utf8'));
    const [, , call, id] = url.pathname.split('/');
    switch (call) {
      case 'kv-key': {
        const item = this.#items.get(url.searchParams.get('key'));
        reply(item === undefined ? 404 : 200, item === undefined ? {} : { ...item, at: this.#revision });
        break;
      }
      case 'kv-range':
        this.#range(url, reply);
        break;
      case 'kv-watch':
        this.#watch(url, request, reply);
        break;
      case 'kv-txn':
        this.#transact(body, reply);
        break;
      case 'kv-lease': {
        const lease = this.#nextLease;
        this.#nextLease += 1;
        this.#leases.set(lease, { ttl: body.ttl_ms, endsAt: Date.now() + body.ttl_ms });
        reply(200, { lease_id: lease, ttl_ms: body.ttl_ms });
        break;
      }
      case 'kv-keep': {
        const lease = this.#leases.get(Number(id));
        if (lease !== undefined) {
          lease.endsAt = Date.now() + lease.ttl;
        }
        reply(lease === undefined ? 404 : 200, {});
        break;
      }
      case 'kv-lease-end':
        reply(this.#leases.has(Number(id)) ? 200 : 404, {});
        this.#endLease(Number(id));
        break;
      default:
        reply(404, {});
    }
  }

  #range(url, reply) {
    const prefix = url.searchParams.get('path_prefix') ?? '';
    const after = url.searchParams.get('since_revision') ?? '';
    const keys = this.keys(prefix).filter((key) => key > after);
    const page = keys.slice(0, PAGE_ITEMS).map((key) => this.#items.get(key));
    reply(200, { items: page, has_more: keys.length > page.length, at: this.#revision });
  }

  #watch(url, request, reply) {
    const prefix = url.searchParams.get('path_prefix') ?? '';
    const since = Number(url.searchParams.get('since_revision'));
    const events = () =>
      this.#history.filter((event) => event.revision > since && event.key.startsWith(prefix));
    const watch = {
      prefix,
      finish: () => {
        stop();
        reply(200, { events: events(), at: this.#revision });
      },
    };
    const { socket } = request;
    const stop = () => {
      clearTimeout(timer);
      this.#watches.delete(watch);
      socket.off('close', stop);
    };
    const timer = setTimeout(watch.finish, Number(url.searchParams.get('wait_ms')));
    if (since < this.#compactedAt) {
      stop();
      reply(410, {});
      return;
    }
    if (events().length > 0) {
      watch.finish();
      return;
    }
    this.#watches.add(watch);
    socket.once('close', stop);
  }

  #transact(body, reply) {
    const { expected = [], writes = [], remove = [] } = body;
    const holds = expected.every(({ key, revision }) => (this.#items.get(key)?.revision ?? 0) === revision);
    if (!holds) {
      reply(412, { items: expected.flatMap(({ key }) => this.#items.get(key) ?? []) });
      return;
    }
    if (writes.some(({ lease_id: lease = 0 }) => lease !== 0 && !this.#leases.has(lease))) {
      reply(404, {});
      return;
    }
    writes.forEach(({ key, value, lease_id: lease = 0 }) => {
      this.put(key, Buffer.from(value, 'base64').toString('utf8'), lease);
    });
    remove.forEach((key) => this.remove(key));
    reply(200, { revision: this.#revision });
  }
}

/** Starts a store. */
export async function startStore(host, port = 0) {
  const store = new Store();
  await store.listen(host, port);
  return store;
}
