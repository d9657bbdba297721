/** Memory that is set aside at engines for the parts of a prompt, from before the request until its end. */
import { type Clock } from '@toucanbend/core';
import { DecisionKind, type Logger, type LogValue } from '@toucanbend/observability';
import { type Helper } from '@toucanbend/placement';
import { type Result } from 'neverthrow';
import { type EngineMemory, type MemoryError, MemoryOrder, OrderFailure } from './memory.js';
import { type ForwardingMetrics } from './metrics.js';

/** Memory that is set aside for one request. */
export interface Reservation {
  /**
   * Gives everything back; calling it again has no effect.
   *
   * @param silentMs - time since the last sign of the request's server, in milliseconds
   */
  release(silentMs: number): void;
}

/** How long memory is kept without renewal: shorter than the time in which unused memory must be given back. */
const HOLD_MS = 3_500;
/** Time between renewals; two of them fit into the time for which memory is kept. */
const RENEWAL_MS = 1_400;
/** Pause before a failed release is sent once more, in milliseconds. */
const RELEASE_RETRY_MS = 300;

/** What reservations need. */
export interface ReservationContext {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly memory: EngineMemory;
  readonly metrics: Pick<ForwardingMetrics, 'countOrder'>;
}

/** The request that memory is set aside for. */
export interface ReservationOwner {
  readonly requestId: string;
  /** Name of the reservation at each engine. */
  readonly name: string;
}

/** Memory at several engines under one name. */
class HeldParts implements Reservation {
  readonly #context: ReservationContext;
  readonly #owner: ReservationOwner;
  readonly #keepers: readonly Helper[];
  readonly #reservedAtMs: number;
  #isReleased = false;
  #renewals = 0;
  #unanswered = 0;
  #cancelTimer = (): void => undefined;

  constructor(context: ReservationContext, owner: ReservationOwner, keepers: readonly Helper[]) {
    this.#context = context;
    this.#owner = owner;
    this.#keepers = keepers;
    this.#reservedAtMs = context.clock.now();
  }

  async reserveAll(): Promise<readonly MemoryError[]> {
    const results = await Promise.all(
      this.#keepers.map((helper) => this.#reserve(MemoryOrder.Reserve, helper)),
    );
    const errors = results.flatMap((result) => (result.isErr() ? [result.error] : []));
    if (this.#keepers.length > 0) {
      this.#log(MemoryOrder.Reserve, {
        at: this.#keepers.map((helper) => helper.server.id),
        tokens: this.#keepers[0]?.partTokens ?? 0,
        failures: errors.map((error) => `${error.server}: ${error.failure} ${error.message}`),
      });
    }
    return errors;
  }

  keepRenewing(): void {
    if (this.#keepers.length === 0) {
      return;
    }
    this.#cancelTimer = this.#context.clock.after(RENEWAL_MS, () => {
      this.#renewals += 1;
      this.#keepers.forEach((helper) => {
        void this.#renew(helper);
      });
      this.keepRenewing();
    });
  }

  release(silentMs: number): void {
    this.#cancelTimer();
    if (!this.#isReleased && this.#keepers.length > 0) {
      this.#isReleased = true;
      this.#log(MemoryOrder.Release, {
        heldMs: Math.round(this.#context.clock.now() - this.#reservedAtMs),
        silentMs: Math.round(silentMs),
        renewals: this.#renewals,
        unanswered: this.#unanswered,
      });
      this.#keepers.forEach((helper) => {
        void this.#releaseAt(helper);
      });
    }
  }

  async #renew(helper: Helper): Promise<void> {
    const renewed = await this.#reserve(MemoryOrder.Renew, helper);
    if (renewed.isErr()) {
      this.#log(MemoryOrder.Renew, { ...renewed.error });
    }
    if (this.#isReleased) {
      await this.#releaseAt(helper);
    }
  }

  async #releaseAt(helper: Helper): Promise<void> {
    const first = await this.#release(helper);
    if (first.isOk()) {
      return;
    }
    this.#context.clock.after(RELEASE_RETRY_MS, () => {
      void this.#release(helper).then((second) => {
        if (second.isErr()) {
          this.#log(MemoryOrder.Release, { ...second.error });
        }
      });
    });
  }

  async #reserve(order: MemoryOrder, helper: Helper): Promise<Result<void, MemoryError>> {
    const { server, partTokens } = helper;
    return this.#note(
      order,
      await this.#context.memory.reserve(server, this.#owner.name, partTokens, HOLD_MS),
    );
  }

  async #release(helper: Helper): Promise<Result<void, MemoryError>> {
    return this.#note(
      MemoryOrder.Release,
      await this.#context.memory.release(helper.server, this.#owner.name),
    );
  }

  #note(order: MemoryOrder, result: Result<void, MemoryError>): Result<void, MemoryError> {
    const failure = result.isErr() ? result.error.failure : undefined;
    this.#unanswered += failure === OrderFailure.Unanswered ? 1 : 0;
    this.#context.metrics.countOrder(order, failure);
    return result;
  }

  #log(order: MemoryOrder, fields: Readonly<Record<string, LogValue>>): void {
    const { requestId, name } = this.#owner;
    this.#context.logger.decision({
      decision: DecisionKind.Memory,
      request: requestId,
      fields: { order, name, ...fields },
    });
  }
}

/**
 * Sets memory aside at all helpers that keep a part, or at none.
 *
 * @param context - clock, log and engines
 * @param owner - the request, and the name of the reservation
 * @param helpers - engines and their parts
 * @returns the reservation, or the servers that refused
 */
export async function reserveParts(
  context: ReservationContext,
  owner: ReservationOwner,
  helpers: readonly Helper[],
): Promise<Reservation | readonly MemoryError[]> {
  const keepers = helpers.filter((helper) => helper.keepsPart);
  const held = new HeldParts(context, owner, keepers);
  const errors = await held.reserveAll();
  if (errors.length > 0) {
    // An order whose answer was lost may still be carried out, so the memory is released everywhere.
    held.release(0);
    return errors;
  }
  held.keepRenewing();
  return held;
}
