/** A plain service on the stand-ins: its configuration, its servers, and the record of what was sent, answered and run. */
import { writeFileSync } from 'node:fs';
import { performance } from 'node:perf_hooks';
import { setTimeout } from 'node:timers';
import { startServer } from './servers.mjs';

export const HOST = 'desk.example';
export const KEY = 'key-of-patan';
const ZONE = 'bagmati-a';

export function sleep(ms) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** The record of a run, in order of time. */
export class Record {
  #lines = [];
  #startedAt = performance.now();

  add(text) {
    this.#lines.push(`${((performance.now() - this.#startedAt) / 1_000).toFixed(3)} ${text}`);
  }

  write(path) {
    writeFileSync(path, `${this.#lines.join('\n')}\n`);
  }
}

function route(name, kind, extra) {
  return {
    name,
    host: HOST,
    path_prefix: `/${name}/`,
    kind,
    service: 'desk',
    timeout_ms: 4_000,
    target_latency_ms: 400,
    attempts: 1,
    priority: 2,
    ...extra,
  };
}

/** The configuration that the operator writes first. */
export function configuration(version = 1) {
  return {
    version,
    routes: [route('confirm', 'non_idempotent', {}), route('lookup', 'idempotent', { attempts: 2 })],
    services: [{ name: 'desk', max_connections: 110 }],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
    tenants: [{ name: 'patan', api_keys: [KEY] }],
  };
}

/** The servers of the service, which register themselves in the store. */
export class Desk {
  #store;
  #options;
  #count = 0;
  /** Servers that are registered as ready, oldest first. */
  ready = [];
  #running = new Set();

  constructor(store, options) {
    this.#store = store;
    this.#options = options;
  }

  async add() {
    this.#count += 1;
    const id = `desk-${String(this.#count)}`;
    const server = await startServer({ id, host: '127.0.0.1', ...this.#options });
    server.born = Date.now();
    this.#running.add(server);
    this.ready.push(server);
    this.#write(server, 'ready');
    return server;
  }

  #write({ id, address, born }, state) {
    this.#store.put(`servers/${id}`, {
      service: 'desk',
      address,
      zone: ZONE,
      version: 1,
      slots: 6,
      state,
      cold_ms: 0,
      seq: 1,
      born,
    });
  }

  /** A planned shutdown of the oldest server that reports `draining`; it ends some time after `drainMs`. */
  drain(drainMs) {
    const server = this.ready.shift();
    this.#write(server, 'draining');
    setTimeout(() => {
      this.#store.remove(`servers/${server.id}`);
      this.#end(server);
    }, drainMs + 300);
    return server;
  }

  /** A planned shutdown of the oldest server that never reports `draining`: its entry is removed, and it serves on. */
  leave(servesMs) {
    const server = this.ready.shift();
    this.#store.remove(`servers/${server.id}`);
    setTimeout(() => {
      this.#end(server);
    }, servesMs);
    return server;
  }

  #end(server) {
    if (this.#running.delete(server)) {
      server.exit();
    }
  }

  stop() {
    for (const server of [...this.#running]) {
      this.#end(server);
    }
  }
}
