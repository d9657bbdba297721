/**
 * Decides whether memory at an engine is kept for a request.
 *
 * Answers the failure of a server that ends a long prompt in silence: the entry that still waits for its answer would
 * hold the memory of all helpers until the deadline. What the engine shows decides, not what the entry expects.
 */

/** What an engine shows of a reservation. */
export enum MemoryUse {
  /** A request uses it. */
  Used = 'used',
  /** No request uses it, or the engine does not hold it. */
  Idle = 'idle',
  /** The engine did not tell. */
  Unknown = 'unknown',
}

/** What is done about a reservation at an engine. */
export enum RenewalDecision {
  Renew = 'renew',
  /** Nothing yet: its hold goes on running down. */
  LookAgain = 'look_again',
  /** The request has ended there, or never came. */
  GiveUp = 'give_up',
}

/** What is known of a reservation at one engine. */
export interface KeptMemory {
  readonly wasUsed: boolean;
  /** Looks in a row at which no request used it. */
  readonly idleLooks: number;
  /** When the engine frees it unless it is renewed, in milliseconds. */
  readonly heldUntilMs: number;
}

/** The times of reservations, in milliseconds. */
export interface ReservationTimes {
  /** How long memory is kept without renewal. */
  readonly holdMs: number;
  /** Time between a renewal and the next look. */
  readonly lookMs: number;
  /** Time between two looks while no request is seen to use the memory. */
  readonly idleLookMs: number;
}

/** Share of the time for the return that a hold takes; the rest is for the age of what an engine shows. */
const HOLD_SHARE = 0.75;
/** Share of it between two looks; two of them may fail within a hold. */
const LOOK_SHARE = 0.25;
const IDLE_LOOK_SHARE = 0.125;
/** Idle looks in a row after which a request that used memory has ended; one may be older than the request. */
const IDLE_LOOKS = 2;

/**
 * Gives the times of reservations.
 *
 * @param returnMs - time after the end of a request in which its memory must be free, in milliseconds
 * @returns the times
 */
export function reservationTimes(returnMs: number): ReservationTimes {
  return {
    holdMs: HOLD_SHARE * returnMs,
    lookMs: LOOK_SHARE * returnMs,
    idleLookMs: IDLE_LOOK_SHARE * returnMs,
  };
}

/**
 * Takes in what an engine shows of a reservation.
 *
 * @param kept - what was known before
 * @param use - what the engine shows
 * @returns what is known now
 */
export function afterLook(kept: KeptMemory, use: MemoryUse): KeptMemory {
  switch (use) {
    case MemoryUse.Used:
      return { ...kept, wasUsed: true, idleLooks: 0 };
    case MemoryUse.Idle:
      return { ...kept, idleLooks: kept.idleLooks + 1 };
    case MemoryUse.Unknown:
      return kept;
  }
}

/**
 * Decides about a reservation after a look at its engine.
 *
 * @param kept - what is known, this look included
 * @param use - what the engine showed at this look
 * @param nowMs - now, in milliseconds
 * @returns what is done
 */
export function decideRenewal(kept: KeptMemory, use: MemoryUse, nowMs: number): RenewalDecision {
  if (use === MemoryUse.Used) {
    return RenewalDecision.Renew;
  }
  const hasEnded = kept.wasUsed && kept.idleLooks >= IDLE_LOOKS;
  return hasEnded || nowMs >= kept.heldUntilMs ? RenewalDecision.GiveUp : RenewalDecision.LookAgain;
}
