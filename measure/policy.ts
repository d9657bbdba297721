/** The policies under comparison: two baselines that call the engines directly, and Toucanbend itself. */
import { requestCompletion, type CallerResult } from '../fakes/caller.js';
import { callJson, type Fleet } from '../fakes/fleet.js';

/** A completion request to be served by a policy. */
export interface PolicyRequest {
  readonly account: string;
  readonly rank: string;
  readonly prompt: string;
  readonly maxTokens: number;
}

/** A strategy for distributing requests over engines. */
export interface Policy {
  readonly name: string;
  /** Sends one request and resolves once its response has ended. */
  send(request: PolicyRequest): Promise<CallerResult>;
  /** Ends a run: stops timers, and resets the round-robin position. */
  stop(): void;
}

function isEngine(fleet: Fleet, name: string): boolean {
  return fleet.backends.some((backend) => backend.name === name) && name.startsWith('engine');
}

/** Calls an engine directly; the outcome is derived from the token count, because engines report none. */
async function sendToEngine(port: number, request: PolicyRequest): Promise<CallerResult> {
  const result = await requestCompletion({
    port,
    key: 'none',
    prompt: request.prompt,
    maxTokens: request.maxTokens,
  });
  return { ...result, outcome: result.tokens >= request.maxTokens ? 'complete' : 'unknown' };
}

/** Round robin over the engines in order of arrival, without admission control. */
export class NaivePolicy implements Policy {
  readonly name = 'naive';
  readonly #ports: readonly number[];
  #next = 0;

  /**
   * @param fleet - the fleet whose engines are called
   */
  constructor(fleet: Fleet) {
    this.#ports = fleet.backends
      .filter((backend) => isEngine(fleet, backend.name))
      .map((backend) => backend.port);
  }

  send(request: PolicyRequest): Promise<CallerResult> {
    const port = this.#ports[this.#next % this.#ports.length] ?? 0;
    this.#next += 1;
    return sendToEngine(port, request);
  }

  stop(): void {
    this.#next = 0;
  }
}

const STATUS_POLL_INTERVAL_MS = 200;

/** Sends to the engine with the fewest running requests at the latest status poll, so decisions use stale data. */
export class LeastLoadedPolicy implements Policy {
  readonly name = 'least-loaded';
  readonly #ports: readonly number[];
  readonly #runningByPort = new Map<number, number>();
  readonly #timer: NodeJS.Timeout;

  /**
   * @param fleet - the fleet whose engines are called
   */
  constructor(fleet: Fleet) {
    this.#ports = fleet.backends
      .filter((backend) => isEngine(fleet, backend.name))
      .map((backend) => backend.port);
    this.#timer = setInterval(() => {
      this.#ports.forEach((port) => void this.#pollStatus(port));
    }, STATUS_POLL_INTERVAL_MS);
  }

  send(request: PolicyRequest): Promise<CallerResult> {
    const running = (port: number): number => this.#runningByPort.get(port) ?? 0;
    const port = this.#ports.reduce((best, other) => (running(other) < running(best) ? other : best));
    return sendToEngine(port, request);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  async #pollStatus(port: number): Promise<void> {
    try {
      const { running } = await callJson<{ running: number }>(port, '/status');
      this.#runningByPort.set(port, running);
    } catch {
      this.#runningByPort.delete(port);
    }
  }
}

/** Sends to the Toucanbend entries in round robin, like a load balancer in front of them. */
export class ToucanbendPolicy implements Policy {
  readonly name = 'toucanbend';
  readonly #fleet: Fleet;
  #next = 0;

  /**
   * @param fleet - the fleet whose entries are called
   */
  constructor(fleet: Fleet) {
    this.#fleet = fleet;
  }

  send(request: PolicyRequest): Promise<CallerResult> {
    const entry = this.#fleet.entries[this.#next % this.#fleet.entries.length];
    this.#next += 1;
    const { prompt, maxTokens, rank, account } = request;
    return requestCompletion({
      port: entry?.callerPort ?? 0,
      key: this.#fleet.keyOf(account),
      prompt,
      maxTokens,
      rank,
    });
  }

  stop(): void {
    this.#next = 0;
  }
}
