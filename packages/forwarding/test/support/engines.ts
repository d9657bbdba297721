/** Simulated engines that hold memory reservations on a manual clock and can fail orders. */
import { createManualClock, type ManualClock } from '@toucanbend/core';
import {
  type EngineMemory,
  type MemoryError,
  MemoryOrder,
  OrderFailure,
  type Reservation,
  reserveParts,
} from '@toucanbend/forwarding';
import { type Logger } from '@toucanbend/observability';
import { type Helper } from '@toucanbend/placement';
import { type BackendServer, ServerState } from '@toucanbend/registry';
import { err, ok, type Result } from 'neverthrow';

/** Limits on unused memory, for all tests of reservations. */
export const bounds = { maxReleaseDelayMs: 4_000, maxUnusedMs: 9_000 } as const;
/** Name of the reservation that {@link TestEngines.reserveFor} makes. */
export const RESERVATION = 'r-1';

const runPendingCallbacks = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));
const ignore = (): void => undefined;
const logger: Logger = { decision: ignore, info: ignore, warn: ignore, error: ignore, explain: () => [] };

/**
 * Creates a helper.
 *
 * @param id - id of its engine
 * @param keepsPart - whether memory is reserved there
 * @returns the helper
 */
export function helper(id: string, keepsPart = true): Helper {
  const server: BackendServer = {
    id,
    service: 'model',
    host: '10.0.0.1',
    port: 80,
    dataCentre: 'bagmati-a',
    slots: 4,
    state: ServerState.Ready,
    bornAtMs: 0,
  };
  return { server, partTokens: 100_000, keepsPart };
}

/** Age of the list of reservations that an engine returns, in milliseconds. */
const LIST_DELAY_MS = 300;
const STEP_MS = 50;

/** An injected failure of one order. */
export interface OrderFault {
  readonly server: string;
  readonly order: MemoryOrder.Reserve | MemoryOrder.Release;
  /** Number of earlier orders of this kind at the server. */
  readonly after: number;
  readonly failure: OrderFailure;
  /** Delay after which the engine executes the failed order nevertheless, in milliseconds; undefined if it never does. */
  readonly delayMs?: number;
}

interface EngineSnapshot {
  readonly atMs: number;
  readonly held: readonly { readonly name: string; readonly isUsed: boolean }[];
}

class TestEngine {
  readonly #clock: ManualClock;
  readonly #expiries = new Map<string, number>();
  readonly #used = new Set<string>();
  readonly #snapshots: EngineSnapshot[] = [];
  readonly heldAt = new Map<string, number[]>();
  isUnresponsive = false;

  constructor(clock: ManualClock) {
    this.#clock = clock;
  }

  reserve(name: string, leaseMs: number): void {
    this.#expiries.set(name, this.#clock.now() + leaseMs);
  }

  release(name: string): void {
    this.#expiries.delete(name);
  }

  use(name: string, isUsed: boolean): void {
    if (isUsed) {
      this.#used.add(name);
    } else {
      this.#used.delete(name);
    }
  }

  step(): void {
    const nowMs = this.#clock.now();
    for (const [name, endsAtMs] of this.#expiries) {
      if (endsAtMs <= nowMs) {
        this.#expiries.delete(name);
        this.#used.delete(name);
      } else {
        this.heldAt.set(name, [...(this.heldAt.get(name) ?? []), nowMs]);
      }
    }
    const held = [...this.#expiries.keys()].map((name) => ({ name, isUsed: this.#used.has(name) }));
    this.#snapshots.push({ atMs: nowMs, held });
  }

  holds(name: string): boolean {
    return this.#expiries.has(name);
  }

  list(): EngineSnapshot['held'] {
    return this.#snapshots.findLast((sight) => sight.atMs <= this.#clock.now() - LIST_DELAY_MS)?.held ?? [];
  }
}

/** All engines of a test. */
export class TestEngines implements EngineMemory {
  readonly #faults: readonly OrderFault[];
  readonly #engines = new Map<string, TestEngine>();
  readonly clock: ManualClock;
  /** Time after which the entry reads a list of reservations, in milliseconds. */
  listReadDelayMs = 0;
  /** The orders received, from first to last. */
  readonly orders: string[] = [];

  /**
   * @param faults - the orders that fail
   * @param clock - the clock of the engines
   */
  constructor(faults: readonly OrderFault[] = [], clock = createManualClock()) {
    this.#faults = faults;
    this.clock = clock;
  }

  /** Number of notifications that an engine no longer uses the memory. */
  idleCount = 0;

  /** Reserves memory at the helpers as the entry does. */
  reserveFor(...helpers: readonly Helper[]): Promise<Reservation | readonly MemoryError[]> {
    return reserveParts(
      { clock: this.clock, logger, memory: this, metrics: { countOrder: ignore }, memoryBounds: bounds },
      {
        requestId: 'r',
        name: RESERVATION,
        server: helper('first').server,
        onIdle: () => (this.idleCount += 1),
      },
      helpers,
    );
  }

  reserve(
    server: BackendServer,
    name: string,
    _tokens: number,
    leaseMs: number,
  ): Promise<Result<void, MemoryError>> {
    return this.#order(server.id, MemoryOrder.Reserve, () => {
      this.#engine(server.id).reserve(name, leaseMs);
    });
  }

  release(server: BackendServer, name: string): Promise<Result<void, MemoryError>> {
    return this.#order(server.id, MemoryOrder.Release, () => {
      this.#engine(server.id).release(name);
    });
  }

  list(server: BackendServer): Promise<Result<EngineSnapshot['held'], MemoryError>> {
    const engine = this.#engine(server.id);
    const error = { server: server.id, failure: OrderFailure.Unanswered, message: 'no answer' };
    const result = engine.isUnresponsive ? err(error) : ok(engine.list());
    return this.listReadDelayMs === 0
      ? Promise.resolve(result)
      : new Promise((resolve) => this.clock.after(this.listReadDelayMs, () => resolve(result)));
  }

  /** Starts or ends the use of a reservation by its request, at all engines. */
  use(name: string, isUsed: boolean): void {
    this.#engines.forEach((engine) => {
      engine.use(name, isUsed);
    });
  }

  /** Makes an engine leave requests to list its reservations unanswered. */
  stopAnswering(server: string): void {
    this.#engine(server).isUnresponsive = true;
  }

  /** Counts the orders of one kind that an engine received. */
  count(server: string, order: MemoryOrder.Reserve | MemoryOrder.Release): number {
    return this.orders.filter((sent) => sent === `${order} at ${server}`).length;
  }

  /** Advances the clock in small steps; after each, runs the callbacks that are due and steps the engines. */
  async advance(ms: number): Promise<void> {
    await runPendingCallbacks();
    for (let passedMs = 0; passedMs < ms; passedMs += STEP_MS) {
      this.clock.advance(STEP_MS);
      await runPendingCallbacks();
      this.#engines.forEach((engine) => {
        engine.step();
      });
    }
  }

  /** Returns whether all engines hold a reservation now. */
  isHeld(name: string): boolean {
    return [...this.#engines.values()].every((engine) => engine.holds(name));
  }

  /** Returns the longest uninterrupted time that an engine held a reservation after `afterMs`, in milliseconds. */
  longestHoldAfter(name: string, afterMs: number): number {
    let longestMs = 0;
    for (const engine of this.#engines.values()) {
      let heldMs = 0;
      let lastMs = 0;
      for (const atMs of (engine.heldAt.get(name) ?? []).filter((at) => at > afterMs)) {
        heldMs = atMs - lastMs === STEP_MS ? heldMs + STEP_MS : STEP_MS;
        longestMs = Math.max(longestMs, heldMs);
        lastMs = atMs;
      }
    }
    return longestMs;
  }

  #engine(server: string): TestEngine {
    const engine = this.#engines.get(server) ?? new TestEngine(this.clock);
    this.#engines.set(server, engine);
    return engine;
  }

  #order(
    server: string,
    order: MemoryOrder.Reserve | MemoryOrder.Release,
    apply: () => void,
  ): Promise<Result<void, MemoryError>> {
    const before = this.count(server, order);
    this.orders.push(`${order} at ${server}`);
    const fault = this.#faults.find(
      (one) => one.server === server && one.order === order && one.after === before,
    );
    if (fault === undefined) {
      apply();
      return Promise.resolve(ok());
    }
    const { failure, delayMs } = fault;
    if (delayMs !== undefined) {
      this.clock.after(delayMs, apply);
    }
    return Promise.resolve(err({ server, failure, message: 'injected' }));
  }
}
