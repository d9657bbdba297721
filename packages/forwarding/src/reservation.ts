/** Memory reservations at engines for the parts of a prompt, made before the request is sent and held until it ends. */
import { type Clock } from '@toucanbend/core';
import { type Helper } from '@toucanbend/placement';
import {
  PartReservation,
  ReleaseCause,
  type ReservationContext,
  type ReservationOwner,
} from './part-reservation.js';
import { type MemoryError, MemoryOrder } from './memory.js';

/** The memory that is reserved for one attempt. */
export interface Reservation {
  /** Records that an event of the answer has arrived now, soon after its server sent it. */
  recordEvent(): void;
  /**
   * Releases the memory at all engines; further calls have no effect.
   *
   * @param cause - why the memory is released, for the log
   * @param sinceLastEventMs - time since the last event of the attempt, in milliseconds; given only when the attempt has ended
   */
  release(cause: ReleaseCause, sinceLastEventMs?: number): void;
}

/** Reservations at several engines under one name. */
class PromptReservation implements Reservation {
  readonly #clock: Clock;
  readonly #parts: readonly PartReservation[];
  readonly #reservedAtMs: number;
  readonly #onIdle: () => void;
  #isReleased = false;

  constructor(clock: Clock, parts: readonly PartReservation[], onIdle: () => void) {
    this.#clock = clock;
    this.#parts = parts;
    this.#onIdle = onIdle;
    this.#reservedAtMs = clock.now();
  }

  startRenewal(): void {
    this.#parts.forEach((part) => {
      part.startRenewal(() => {
        this.#releaseIdle();
      });
    });
  }

  recordEvent(): void {
    this.#parts.forEach((part) => {
      part.recordEvent();
    });
  }

  release(cause: ReleaseCause, sinceLastEventMs?: number): void {
    if (this.#isReleased) {
      return;
    }
    this.#isReleased = true;
    this.#parts[0]?.log(MemoryOrder.Release, {
      cause,
      heldMs: Math.round(this.#clock.now() - this.#reservedAtMs),
      ...(sinceLastEventMs === undefined ? {} : { silentMs: Math.round(sinceLastEventMs) }),
      renewals: this.#parts.reduce((sum, part) => sum + part.renewals, 0),
      unanswered: this.#parts.reduce((sum, part) => sum + part.unanswered, 0),
    });
    this.#parts.forEach((part) => {
      void part.release();
    });
  }

  #releaseIdle(): void {
    if (!this.#isReleased) {
      this.release(ReleaseCause.Idle);
      this.#onIdle();
    }
  }
}

/**
 * Reserves memory at all helpers that keep a part of the prompt, or at none.
 *
 * @param context - the dependencies of the reservation
 * @param owner - the attempt, and the name of the reservation
 * @param helpers - the engines and their parts of the prompt
 * @returns the reservation, or the errors of the servers that did not confirm it
 */
export async function reserveParts(
  context: ReservationContext,
  owner: ReservationOwner,
  helpers: readonly Helper[],
): Promise<Reservation | readonly MemoryError[]> {
  const reservingHelpers = helpers.filter((helper) => helper.keepsPart);
  const parts = reservingHelpers.map((helper) => new PartReservation(context, owner, helper));
  const reservation = new PromptReservation(context.clock, parts, owner.onIdle);
  const results = await Promise.all(parts.map((part) => part.reserve(MemoryOrder.Reserve)));
  const errors = results.flatMap((result) => (result.isErr() ? [result.error] : []));
  parts[0]?.log(MemoryOrder.Reserve, {
    engines: reservingHelpers.map((helper) => helper.server.id),
    tokens: reservingHelpers[0]?.partTokens ?? 0,
    failures: errors.map((error) => `${error.server}: ${error.failure} ${error.message}`),
  });
  if (errors.length > 0) {
    reservation.release(ReleaseCause.Incomplete);
    return errors;
  }
  reservation.startRenewal();
  return reservation;
}
