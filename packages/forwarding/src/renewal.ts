/**
 * Decides whether memory at an engine is kept for a request, and when it has been given back for good.
 *
 * Answers two failures. A server ends a long prompt in silence: the entry that still waits for its answer would hold the
 * memory of all helpers until the deadline. An engine carries out an order late that it did not answer: memory comes back
 * after its release. In both, what the engine shows decides, not what the entry expects.
 */
import { OrderFailure } from './memory.js';

/** What an engine shows of a reservation. */
export enum MemoryUse {
  /** A request uses it. */
  Used = 'used',
  /** No request uses it. */
  Idle = 'idle',
  /** The engine does not hold it. */
  Absent = 'absent',
  /** The engine did not tell. */
  Unknown = 'unknown',
}

/** A look at a reservation. */
export interface MemoryLook {
  readonly use: MemoryUse;
  /** Whether the server of the request still tells what it holds: while it is alive, the request may wait there. */
  readonly isServerAlive: boolean;
}

/** What is done about a reservation at an engine. */
export enum RenewalDecision {
  Renew = 'renew',
  /** Nothing yet: its hold goes on running down. */
  LookAgain = 'look_again',
  /** The request has ended there, or never came. */
  GiveUp = 'give_up',
}

/** What is done about a reservation that is to be given back. */
export enum ReturnDecision {
  Release = 'release',
  /** The engine may still carry out an order that sets it aside. */
  Look = 'look',
  Done = 'done',
}

/** What is known of a reservation at one engine. */
export interface KeptMemory {
  /** When it was first asked for, in milliseconds. */
  readonly sinceMs: number;
  readonly wasUsed: boolean;
  /** Looks in a row at which no request used it. */
  readonly idleLooks: number;
  /** Until when the engine may hold it unless it is renewed, in milliseconds; 0 where it does not. */
  readonly heldUntilMs: number;
  /** Until when the engine may carry out an order that it did not answer, in milliseconds. */
  readonly inDoubtUntilMs: number;
}

/**
 * Gives what is known of a reservation of which the engine has not heard.
 *
 * @param nowMs - now, in milliseconds
 * @returns what is known
 */
export function unreserved(nowMs: number): KeptMemory {
  return { sinceMs: nowMs, wasUsed: false, idleLooks: 0, heldUntilMs: 0, inDoubtUntilMs: 0 };
}

/** Bounds on memory that no request uses, in milliseconds. */
export interface MemoryBounds {
  /** Time after the end of a request in which its memory must be free. */
  readonly returnMs: number;
  /** Longest time for which memory may be set aside before a request uses it. */
  readonly unusedMs: number;
}

/** The times of reservations, in milliseconds. */
export interface ReservationTimes {
  /** How long memory is kept without renewal. */
  readonly holdMs: number;
  /** Time between a renewal and the next look. */
  readonly lookMs: number;
  /** Time between two looks while no request is seen to use the memory. */
  readonly idleLookMs: number;
  /** Time after which memory that no request has used is not renewed any more. */
  readonly unusedMs: number;
}

/** Hold as a share of the time for the return; the rest is for the age of what an engine shows. */
const HOLD_SHARE = 0.75;
/** Pause before a look, as a share of that time; two looks may fail within a hold. */
const LOOK_SHARE = 0.25;
const IDLE_LOOK_SHARE = 0.125;
/** Idle looks in a row after which a request that used memory has ended; one may be older than the request. */
const IDLE_LOOKS = 2;

/**
 * Gives the times of reservations.
 *
 * @param bounds - what the deployment allows
 * @returns the times
 */
export function reservationTimes({ returnMs, unusedMs }: MemoryBounds): ReservationTimes {
  return {
    holdMs: Math.floor(HOLD_SHARE * returnMs),
    lookMs: LOOK_SHARE * returnMs,
    idleLookMs: IDLE_LOOK_SHARE * returnMs,
    unusedMs: unusedMs - returnMs,
  };
}

/** Longest time after which an engine may still carry out an order that it did not answer, in milliseconds. */
const LATE_ORDER_MS = 15_000;

/**
 * Takes in the outcome of an order that sets memory aside or renews it.
 *
 * @param kept - what was known before
 * @param holdMs - for how long memory was asked, in milliseconds
 * @param failure - why it was not done; undefined where it was
 * @param nowMs - now, in milliseconds
 * @returns what is known now
 */
export function afterReserve(
  kept: KeptMemory,
  holdMs: number,
  failure: OrderFailure | undefined,
  nowMs: number,
): KeptMemory {
  switch (failure) {
    case undefined:
      return { ...kept, heldUntilMs: nowMs + holdMs };
    case OrderFailure.Unanswered:
      return { ...kept, heldUntilMs: nowMs + holdMs, inDoubtUntilMs: nowMs + LATE_ORDER_MS };
    case OrderFailure.NotSent:
    case OrderFailure.Refused:
      return kept;
  }
}

/**
 * Takes in the outcome of an order that gives memory back.
 *
 * @param kept - what was known before
 * @param failure - why it was not done; undefined where it was
 * @returns what is known now: an engine that declines holds nothing under that name
 */
export function afterRelease(kept: KeptMemory, failure: OrderFailure | undefined): KeptMemory {
  const isFree = failure === undefined || failure === OrderFailure.Refused;
  return isFree ? { ...kept, heldUntilMs: 0 } : kept;
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
    case MemoryUse.Absent:
      return { ...kept, idleLooks: kept.idleLooks + 1 };
    case MemoryUse.Unknown:
      return kept;
  }
}

/**
 * Takes in what an engine shows of a reservation that was given back.
 *
 * @param kept - what was known before
 * @param use - what the engine shows
 * @param holdMs - for how long memory is set aside by one order, in milliseconds
 * @param nowMs - now, in milliseconds
 * @returns what is known now: where the engine holds it again, a late order has been carried out
 */
export function afterReturnLook(kept: KeptMemory, use: MemoryUse, holdMs: number, nowMs: number): KeptMemory {
  switch (use) {
    case MemoryUse.Used:
    case MemoryUse.Idle:
      return { ...kept, heldUntilMs: nowMs + holdMs };
    case MemoryUse.Absent:
      return { ...kept, heldUntilMs: 0 };
    case MemoryUse.Unknown:
      return kept;
  }
}

/**
 * Decides about a reservation after a look at its engine.
 *
 * @param kept - what is known, this look included
 * @param look - what was seen
 * @param times - the times of reservations
 * @param nowMs - now, in milliseconds
 * @returns what is done
 */
export function decideRenewal(
  kept: KeptMemory,
  look: MemoryLook,
  times: ReservationTimes,
  nowMs: number,
): RenewalDecision {
  const isInQueue = look.use === MemoryUse.Idle && look.isServerAlive && !kept.wasUsed;
  if (look.use === MemoryUse.Used || (isInQueue && nowMs < kept.sinceMs + times.unusedMs)) {
    return RenewalDecision.Renew;
  }
  const hasEnded = kept.wasUsed && kept.idleLooks >= IDLE_LOOKS;
  return hasEnded || nowMs >= kept.heldUntilMs ? RenewalDecision.GiveUp : RenewalDecision.LookAgain;
}

/**
 * Decides what follows for a reservation that is to be given back.
 *
 * @param kept - what is known
 * @param nowMs - now, in milliseconds
 * @returns what is done
 */
export function decideReturn(kept: KeptMemory, nowMs: number): ReturnDecision {
  if (nowMs < kept.heldUntilMs) {
    return ReturnDecision.Release;
  }
  return nowMs < kept.inDoubtUntilMs ? ReturnDecision.Look : ReturnDecision.Done;
}
