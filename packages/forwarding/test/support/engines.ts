/** Engines that keep reservations by a clock, use them for requests, and may fail orders. */
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

/** Bounds on memory that no request uses. */
export const bounds = { returnMs: 4_000, unusedMs: 9_000 } as const;
/** Name of the reservation that {@link TestEngines.reserveFor} makes. */
export const RESERVATION = 'r-1';

const settle = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));
const ignore = (): void => undefined;
const logger: Logger = { decision: ignore, info: ignore, warn: ignore, error: ignore, explain: () => [] };

/**
 * Makes a helper.
 *
 * @param id - name of its engine
 * @param keepsPart - whether memory is set aside there
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

/** Time by which the list of what an engine holds lags behind, in milliseconds. */
const REPORT_LAG_MS = 300;
const STEP_MS = 50;

/** An order that fails. */
export interface OrderFault {
  readonly server: string;
  readonly order: MemoryOrder.Reserve | MemoryOrder.Release;
  /** How many orders of this kind succeed before. */
  readonly after: number;
  readonly failure: OrderFailure;
  /** When it is carried out all the same, after it was sent; undefined where it never is. */
  readonly delayMs?: number;
}

interface Sight {
  readonly atMs: number;
  readonly held: readonly { readonly name: string; readonly isUsed: boolean }[];
}

class TestEngine {
  readonly #clock: ManualClock;
  readonly #ends = new Map<string, number>();
  readonly #used = new Set<string>();
  readonly #sights: Sight[] = [];
  readonly heldAt = new Map<string, number[]>();
  isSilent = false;

  constructor(clock: ManualClock) {
    this.#clock = clock;
  }

  set(name: string, holdMs: number): void {
    this.#ends.set(name, this.#clock.now() + holdMs);
  }

  free(name: string): void {
    this.#ends.delete(name);
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
    for (const [name, endsAtMs] of this.#ends) {
      if (endsAtMs <= nowMs) {
        this.#ends.delete(name);
        this.#used.delete(name);
      } else {
        this.heldAt.set(name, [...(this.heldAt.get(name) ?? []), nowMs]);
      }
    }
    const held = [...this.#ends.keys()].map((name) => ({ name, isUsed: this.#used.has(name) }));
    this.#sights.push({ atMs: nowMs, held });
  }

  list(): Sight['held'] {
    return this.#sights.findLast((sight) => sight.atMs <= this.#clock.now() - REPORT_LAG_MS)?.held ?? [];
  }
}

/** Engines of a test. */
export class TestEngines implements EngineMemory {
  readonly #faults: readonly OrderFault[];
  readonly #engines = new Map<string, TestEngine>();
  readonly clock: ManualClock;
  /** Orders that were sent, in order. */
  readonly orders: string[] = [];

  /**
   * @param faults - orders that fail
   * @param clock - the time at the engines
   */
  constructor(faults: readonly OrderFault[] = [], clock = createManualClock()) {
    this.#faults = faults;
    this.clock = clock;
  }

  /** How often the entry was told that the engines do not use the memory any more. */
  idleCount = 0;

  /** Sets memory aside as the entry does. */
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
    holdMs: number,
  ): Promise<Result<void, MemoryError>> {
    return this.#order(server.id, MemoryOrder.Reserve, () => {
      this.#engine(server.id).set(name, holdMs);
    });
  }

  release(server: BackendServer, name: string): Promise<Result<void, MemoryError>> {
    return this.#order(server.id, MemoryOrder.Release, () => {
      this.#engine(server.id).free(name);
    });
  }

  list(server: BackendServer): Promise<Result<Sight['held'], MemoryError>> {
    const engine = this.#engine(server.id);
    const error = { server: server.id, failure: OrderFailure.Unanswered, message: 'no answer' };
    return Promise.resolve(engine.isSilent ? err(error) : ok(engine.list()));
  }

  /** Begins or ends the use of a reservation by its request, at all engines. */
  use(name: string, isUsed: boolean): void {
    this.#engines.forEach((engine) => {
      engine.use(name, isUsed);
    });
  }

  /** Makes an engine leave questions about what it holds unanswered. */
  silence(server: string): void {
    this.#engine(server).isSilent = true;
  }

  /** Counts the orders of a kind that an engine was sent. */
  count(server: string, order: MemoryOrder.Reserve | MemoryOrder.Release): number {
    return this.orders.filter((sent) => sent === `${order} at ${server}`).length;
  }

  /** Lets time pass in small steps, each with all that follows from it. */
  async pass(ms: number): Promise<void> {
    await settle();
    for (let passedMs = 0; passedMs < ms; passedMs += STEP_MS) {
      this.clock.advance(STEP_MS);
      await settle();
      this.#engines.forEach((engine) => {
        engine.step();
      });
    }
  }

  /** Gives the longest time without a gap in which an engine held a reservation after a moment, in milliseconds. */
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
    carryOut: () => void,
  ): Promise<Result<void, MemoryError>> {
    const before = this.count(server, order);
    this.orders.push(`${order} at ${server}`);
    const fault = this.#faults.find(
      (one) => one.server === server && one.order === order && one.after === before,
    );
    if (fault === undefined) {
      carryOut();
      return Promise.resolve(ok());
    }
    const { failure, delayMs } = fault;
    if (delayMs !== undefined) {
      this.clock.after(delayMs, carryOut);
    }
    return Promise.resolve(err({ server, failure, message: 'planted' }));
  }
}
