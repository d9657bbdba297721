/** Memory that is set aside at engines for the parts of a prompt, from before the request until its end. */
import { type Clock } from '@toucanbend/core';
import { type Logger } from '@toucanbend/observability';
import { type Helper } from '@toucanbend/placement';
import { type BackendServer } from '@toucanbend/registry';
import { type Result } from 'neverthrow';

/** Why memory was not set aside. */
export interface MemoryError {
  readonly server: string;
  readonly message: string;
}

/** Sets memory aside at engines. */
export interface EngineMemory {
  /**
   * Sets memory aside, or renews that under the same name.
   *
   * @param server - the engine
   * @param name - name of the reservation
   * @param tokens - how much
   * @param holdMs - how long it is kept unless it is renewed
   * @returns why it was not set aside, where it was not
   */
  reserve(
    server: BackendServer,
    name: string,
    tokens: number,
    holdMs: number,
  ): Promise<Result<void, MemoryError>>;
  release(server: BackendServer, name: string): Promise<Result<void, MemoryError>>;
}

/** Memory that is set aside for one request. */
export interface Reservation {
  /** Gives everything back; calling it again has no effect. */
  release(): void;
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
}

function releaseAt(context: ReservationContext, helper: Helper, name: string): void {
  const { memory, clock, logger } = context;
  void memory.release(helper.server, name).then((first) => {
    if (first.isErr()) {
      clock.after(RELEASE_RETRY_MS, () => {
        void memory.release(helper.server, name).then((second) => {
          if (second.isErr()) {
            logger.warn('memory not given back; its hold ends it', { name, ...second.error });
          }
        });
      });
    }
  });
}

/** Memory at several engines under one name. */
class HeldParts implements Reservation {
  readonly #context: ReservationContext;
  readonly #name: string;
  readonly #keepers: readonly Helper[];
  #isReleased = false;
  #cancelTimer = (): void => undefined;

  constructor(context: ReservationContext, name: string, keepers: readonly Helper[]) {
    this.#context = context;
    this.#name = name;
    this.#keepers = keepers;
  }

  reserve(helper: Helper): Promise<Result<void, MemoryError>> {
    return this.#context.memory.reserve(helper.server, this.#name, helper.partTokens, HOLD_MS);
  }

  keepRenewing(): void {
    if (this.#keepers.length === 0) {
      return;
    }
    this.#cancelTimer = this.#context.clock.after(RENEWAL_MS, () => {
      this.#keepers.forEach((helper) => {
        void this.#renew(helper);
      });
      this.keepRenewing();
    });
  }

  release(): void {
    this.#cancelTimer();
    if (!this.#isReleased) {
      this.#isReleased = true;
      this.#keepers.forEach((helper) => {
        releaseAt(this.#context, helper, this.#name);
      });
    }
  }

  async #renew(helper: Helper): Promise<void> {
    const renewed = await this.reserve(helper);
    if (renewed.isErr()) {
      this.#context.logger.warn('memory not renewed', { name: this.#name, ...renewed.error });
    }
    if (this.#isReleased) {
      releaseAt(this.#context, helper, this.#name);
    }
  }
}

/**
 * Sets memory aside at all helpers that keep a part, or at none.
 *
 * @param context - clock, log and engines
 * @param name - name of the reservation at each engine
 * @param helpers - engines and their parts
 * @returns the reservation, or the servers that refused
 */
export async function reserveParts(
  context: ReservationContext,
  name: string,
  helpers: readonly Helper[],
): Promise<Reservation | readonly MemoryError[]> {
  const keepers = helpers.filter((helper) => helper.keepsPart);
  const held = new HeldParts(context, name, keepers);
  const results = await Promise.all(keepers.map((helper) => held.reserve(helper)));
  const errors = results.flatMap((result) => (result.isErr() ? [result.error] : []));
  if (errors.length > 0) {
    // An order whose answer was lost may still be carried out, so the memory is released everywhere.
    held.release();
    return errors;
  }
  held.keepRenewing();
  return held;
}
