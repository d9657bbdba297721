/** Engines that keep reservations by a clock, use them for requests, and may leave orders unanswered. */
import { type ManualClock } from '@toucanbend/core';
import { type MemoryError, MemoryOrder, OrderFailure } from '@toucanbend/forwarding';
import { type BackendServer } from '@toucanbend/registry';
import { err, ok, type Result } from 'neverthrow';

/** Time by which the list of what an engine holds lags behind, in milliseconds. */
const REPORT_LAG_MS = 300;
const STEP_MS = 50;

/** An order that gets no answer. */
export interface LateOrder {
  readonly server: string;
  readonly order: MemoryOrder.Reserve | MemoryOrder.Release;
  /** How many orders of this kind are answered before. */
  readonly after: number;
  /** When it is carried out, after it was sent; it never is where this is undefined. */
  readonly delayMs: number | undefined;
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
  declines = false;

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
export class TestEngines {
  readonly #clock: ManualClock;
  readonly #late: LateOrder[];
  readonly #engines = new Map<string, TestEngine>();
  readonly #counts = new Map<string, number>();

  constructor(clock: ManualClock, late: readonly LateOrder[] = []) {
    this.#clock = clock;
    this.#late = [...late];
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

  /** Makes an engine decline all orders, as one does that took over the address of another. */
  decline(server: string): void {
    this.#engine(server).declines = true;
  }

  /** Counts the orders of a kind that an engine got. */
  count(server: string, order: MemoryOrder): number {
    return this.#counts.get(`${order} at ${server}`) ?? 0;
  }

  /** Lets time pass in small steps, each with all that follows from it. */
  async pass(ms: number): Promise<void> {
    for (let passedMs = 0; passedMs < ms; passedMs += STEP_MS) {
      this.#clock.advance(STEP_MS);
      await new Promise((resolve) => setImmediate(resolve));
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
    const engine = this.#engines.get(server) ?? new TestEngine(this.#clock);
    this.#engines.set(server, engine);
    return engine;
  }

  #order(
    server: string,
    order: MemoryOrder.Reserve | MemoryOrder.Release,
    carryOut: () => void,
  ): Promise<Result<void, MemoryError>> {
    const before = this.count(server, order);
    this.#counts.set(`${order} at ${server}`, before + 1);
    if (this.#engine(server).declines) {
      return Promise.resolve(err({ server, failure: OrderFailure.Refused, message: 'status 421' }));
    }
    const late = this.#late.find(
      (one) => one.server === server && one.order === order && one.after === before,
    );
    if (late === undefined) {
      carryOut();
      return Promise.resolve(ok());
    }
    if (late.delayMs !== undefined) {
      this.#clock.after(late.delayMs, carryOut);
    }
    return Promise.resolve(err({ server, failure: OrderFailure.Unanswered, message: 'no answer' }));
  }
}
