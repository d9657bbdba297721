/** Memory that is set aside at engines for the parts of a prompt, from before the request until its end. */
import { type Clock } from '@toucanbend/core';
import { type Helper } from '@toucanbend/placement';
import { HeldPart, ReleaseCause, type ReservationContext, type ReservationOwner } from './held-part.js';
import { type MemoryError, MemoryOrder } from './memory.js';

/** Memory that is set aside for one request. */
export interface Reservation {
  /**
   * Gives everything back; calling it again has no effect.
   *
   * @param cause - why
   * @param silentMs - time since the last sign of the request's server, in milliseconds, where there is one
   */
  release(cause: ReleaseCause, silentMs?: number): void;
}

/** Memory at several engines under one name. */
class HeldParts implements Reservation {
  readonly #clock: Clock;
  readonly #parts: readonly HeldPart[];
  readonly #reservedAtMs: number;
  readonly #onIdle: () => void;
  #isReleased = false;

  constructor(clock: Clock, parts: readonly HeldPart[], onIdle: () => void) {
    this.#clock = clock;
    this.#parts = parts;
    this.#onIdle = onIdle;
    this.#reservedAtMs = clock.now();
  }

  keep(): void {
    this.#parts.forEach((part) => {
      part.keep(() => {
        this.#endIdle();
      });
    });
  }

  release(cause: ReleaseCause, silentMs?: number): void {
    if (this.#isReleased) {
      return;
    }
    this.#isReleased = true;
    this.#parts[0]?.log(MemoryOrder.Release, {
      cause,
      heldMs: Math.round(this.#clock.now() - this.#reservedAtMs),
      ...(silentMs === undefined ? {} : { silentMs: Math.round(silentMs) }),
      renewals: this.#parts.reduce((sum, part) => sum + part.renewals, 0),
      unanswered: this.#parts.reduce((sum, part) => sum + part.unanswered, 0),
    });
    this.#parts.forEach((part) => {
      void part.release();
    });
  }

  #endIdle(): void {
    if (!this.#isReleased) {
      this.release(ReleaseCause.Idle);
      this.#onIdle();
    }
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
  const parts = keepers.map((helper) => new HeldPart(context, owner, helper));
  const held = new HeldParts(context.clock, parts, owner.onIdle);
  const results = await Promise.all(parts.map((part) => part.reserve(MemoryOrder.Reserve)));
  const errors = results.flatMap((result) => (result.isErr() ? [result.error] : []));
  parts[0]?.log(MemoryOrder.Reserve, {
    engines: keepers.map((helper) => helper.server.id),
    tokens: keepers[0]?.partTokens ?? 0,
    failures: errors.map((error) => `${error.server}: ${error.failure} ${error.message}`),
  });
  if (errors.length > 0) {
    held.release(ReleaseCause.Incomplete);
    return errors;
  }
  held.keep();
  return held;
}
