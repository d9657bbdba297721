/**
 * Decides whether a memory reservation at an engine is renewed, and when its release is final.
 *
 * Handles two failures. First, a server ends a long prompt without closing its connection; an entry that still waits for
 * the answer would hold the memory of all helpers until the deadline. Second, an engine executes a reserve order late,
 * without having answered it, so that the memory is reserved again after its release. In both cases the decision follows
 * the reservations that the engine lists, not the state that the entry expects.
 */
import { OrderFailure } from './memory.js';

/** The use of a reservation, as its engine lists it. */
export enum MemoryUse {
  /** A request uses it. */
  Used = 'used',
  /** No request uses it. */
  Idle = 'idle',
  /** The engine does not hold it. */
  Absent = 'absent',
  /** The engine did not answer. */
  Unknown = 'unknown',
}

/** The result of one check of a reservation. */
export interface ReservationCheck {
  readonly use: MemoryUse;
  /** Whether the server that got the request still lists its reservations; while it does, the request may be queued there. */
  readonly isServerAlive: boolean;
  /** When the engine was asked, in milliseconds; an entry that is short of processor time reads the answer later. */
  readonly askedAtMs: number;
}

/** The shortest lease that a renewal may request, as a fraction of the whole: as long as the interval between checks. */
const MIN_LEASE_FRACTION = 1 / 3;

/**
 * Returns the lease of a renewal. It begins when the engine was asked, since the request may have ended at any time after.
 *
 * @param check - the result of the check
 * @param times - the durations of leases and checks
 * @param nowMs - the current time, in milliseconds
 * @returns the lease duration in milliseconds; undefined if the result is too old for a renewal
 */
export function renewalLeaseMs(
  check: ReservationCheck,
  times: ReservationTimes,
  nowMs: number,
): number | undefined {
  const leaseMs = Math.floor(times.leaseMs - (nowMs - check.askedAtMs));
  return leaseMs >= MIN_LEASE_FRACTION * times.leaseMs ? leaseMs : undefined;
}

/** Time that is left of a lease after the next check, as a fraction of the whole lease, for the renewal to arrive. */
const RENEWAL_MARGIN_FRACTION = 0.1;

/**
 * Returns the time from a renewal to the next check, which may be read as late as this one.
 *
 * @param check - the result of the check before the renewal
 * @param times - the durations of leases and checks
 * @param nowMs - the current time, in milliseconds
 * @returns the time in milliseconds
 */
export function nextCheckMs(check: ReservationCheck, times: ReservationTimes, nowMs: number): number {
  const latenessMs = nowMs - check.askedAtMs;
  const leftMs = (1 - RENEWAL_MARGIN_FRACTION) * times.leaseMs - 2 * latenessMs;
  return Math.max(0, Math.min(times.checkIntervalMs, leftMs));
}

/** The decision after a check of a reservation. */
export enum RenewalDecision {
  Renew = 'renew',
  /** Do not renew yet; the lease continues to run out. */
  CheckAgain = 'look_again',
  /** The request has ended at the engine or never arrived; release the reservation. */
  GiveUp = 'give_up',
}

/** The next step of a release. */
export enum ReleaseDecision {
  Release = 'release',
  /** Check again: the engine may still execute an unanswered reserve order. */
  Check = 'look',
  Done = 'done',
}

/** The state of a reservation at one engine, as the entry tracks it. */
export interface ReservationState {
  /** When it was first requested, in milliseconds. */
  readonly requestedAtMs: number;
  readonly wasUsed: boolean;
  /** Consecutive checks at which no request used it. */
  readonly idleChecks: number;
  /** The latest time at which the lease expires unless it is renewed, in milliseconds; 0 if nothing is reserved. */
  readonly expiresAtMs: number;
  /** The latest time at which the engine may execute an order that it did not answer, in milliseconds. */
  readonly inDoubtUntilMs: number;
  /** When an event of the answer last showed that the request runs, in milliseconds. */
  readonly lastEventAtMs: number;
}

/**
 * Creates the state of a reservation that was not requested yet.
 *
 * @param nowMs - the current time, in milliseconds
 * @returns the initial state
 */
export function createReservationState(nowMs: number): ReservationState {
  return {
    requestedAtMs: nowMs,
    wasUsed: false,
    idleChecks: 0,
    expiresAtMs: 0,
    inDoubtUntilMs: 0,
    lastEventAtMs: Number.NEGATIVE_INFINITY,
  };
}

/** Limits on the time for which memory may be reserved without being used, in milliseconds. */
export interface MemoryBounds {
  /** Time after the end of a request within which its memory must be free. */
  readonly maxReleaseDelayMs: number;
  /** Longest time for which memory may be reserved before a request uses it. */
  readonly maxUnusedMs: number;
}

/** Durations that govern leases and checks, in milliseconds. */
export interface ReservationTimes {
  /** Duration of a lease. */
  readonly leaseMs: number;
  /** Time between a renewal and the next check. */
  readonly checkIntervalMs: number;
  /** Time between checks while no request uses the memory. */
  readonly idleCheckIntervalMs: number;
  /** Time after which a reservation that no request has used is no longer renewed. */
  readonly renewUnusedForMs: number;
}

/** Lease duration as a fraction of `maxReleaseDelayMs`; the remainder allows for the age of an engine's list of reservations. */
const LEASE_FRACTION = 0.75;
/** Check interval as a fraction of `maxReleaseDelayMs`; two checks may fail within a lease. */
const CHECK_FRACTION = 0.25;
/** Interval between checks of an unused reservation, as a fraction of `maxReleaseDelayMs`. */
const IDLE_CHECK_FRACTION = 0.125;
/**
 * Consecutive idle checks after which a request that used the memory is considered ended. One is not enough, since an
 * engine's list may be older than the request.
 */
const IDLE_CHECKS_BEFORE_RELEASE = 2;

/**
 * Derives the durations of leases and checks from the configured limits.
 *
 * @param bounds - the limits of the deployment
 * @returns the durations; the lease is a whole number of milliseconds, since engines accept no other
 */
export function reservationTimes({ maxReleaseDelayMs, maxUnusedMs }: MemoryBounds): ReservationTimes {
  return {
    leaseMs: Math.floor(LEASE_FRACTION * maxReleaseDelayMs),
    checkIntervalMs: CHECK_FRACTION * maxReleaseDelayMs,
    idleCheckIntervalMs: IDLE_CHECK_FRACTION * maxReleaseDelayMs,
    renewUnusedForMs: maxUnusedMs - maxReleaseDelayMs,
  };
}

/** Longest time after which an engine may still execute an order that it did not answer, in milliseconds. */
const LATE_ORDER_MS = 15_000;

/**
 * Applies the result of a reserve or renew order.
 *
 * @param state - the state before
 * @param leaseMs - the requested lease duration, in milliseconds
 * @param failure - why the order failed; undefined if it succeeded
 * @param nowMs - the current time, in milliseconds
 * @returns the new state
 */
export function afterReserve(
  state: ReservationState,
  leaseMs: number,
  failure: OrderFailure | undefined,
  nowMs: number,
): ReservationState {
  switch (failure) {
    case undefined:
      return { ...state, expiresAtMs: nowMs + leaseMs };
    case OrderFailure.Unanswered:
      return { ...state, expiresAtMs: nowMs + leaseMs, inDoubtUntilMs: nowMs + LATE_ORDER_MS };
    case OrderFailure.NotSent:
    case OrderFailure.Refused:
      return state;
  }
}

/**
 * Applies the result of a release order.
 *
 * @param state - the state before
 * @param failure - why the order failed; undefined if it succeeded
 * @returns the new state; an engine that declines a release holds no reservation of that name
 */
export function afterRelease(state: ReservationState, failure: OrderFailure | undefined): ReservationState {
  const isFree = failure === undefined || failure === OrderFailure.Refused;
  return isFree ? { ...state, expiresAtMs: 0 } : state;
}

/**
 * Returns what a check shows together with the events of the answer. An engine that does not list its reservations says nothing
 * of their use; an event shows that the request ran when it arrived, for as long as a renewal may count from it.
 *
 * @param state - the state before the check
 * @param check - the result of the check
 * @param times - the durations of leases and checks
 * @param nowMs - the current time, in milliseconds
 * @returns the check; as of the last event if only that shows the use
 */
export function withLastEvent(
  state: ReservationState,
  check: ReservationCheck,
  times: ReservationTimes,
  nowMs: number,
): ReservationCheck {
  const asOfEvent = { ...check, use: MemoryUse.Used, askedAtMs: state.lastEventAtMs };
  const isRecent = renewalLeaseMs(asOfEvent, times, nowMs) !== undefined;
  return check.use === MemoryUse.Unknown && isRecent ? asOfEvent : check;
}

/**
 * Applies the result of a check of an active reservation.
 *
 * @param state - the state before
 * @param use - the use that the engine lists
 * @returns the new state
 */
export function afterCheck(state: ReservationState, use: MemoryUse): ReservationState {
  switch (use) {
    case MemoryUse.Used:
      return { ...state, wasUsed: true, idleChecks: 0 };
    case MemoryUse.Idle:
    case MemoryUse.Absent:
      return { ...state, idleChecks: state.idleChecks + 1 };
    case MemoryUse.Unknown:
      return state;
  }
}

/**
 * Applies the result of a check after a release.
 *
 * @param state - the state before
 * @param use - the use that the engine lists
 * @param leaseMs - the lease duration that one order requests, in milliseconds
 * @param nowMs - the current time, in milliseconds
 * @returns the new state; if the engine lists the reservation again, it has executed a late order
 */
export function afterReleaseCheck(
  state: ReservationState,
  use: MemoryUse,
  leaseMs: number,
  nowMs: number,
): ReservationState {
  switch (use) {
    case MemoryUse.Used:
    case MemoryUse.Idle:
      return { ...state, expiresAtMs: nowMs + leaseMs };
    case MemoryUse.Absent:
      return { ...state, expiresAtMs: 0 };
    case MemoryUse.Unknown:
      return state;
  }
}

/**
 * Decides whether to renew a reservation after a check.
 *
 * @param state - the state, including this check
 * @param check - the result of the check
 * @param times - the durations of leases and checks
 * @param nowMs - the current time, in milliseconds
 * @returns the decision
 */
export function decideRenewal(
  state: ReservationState,
  check: ReservationCheck,
  times: ReservationTimes,
  nowMs: number,
): RenewalDecision {
  const isQueued = check.use === MemoryUse.Idle && check.isServerAlive && !state.wasUsed;
  if (check.use === MemoryUse.Used || (isQueued && nowMs < state.requestedAtMs + times.renewUnusedForMs)) {
    return renewalLeaseMs(check, times, nowMs) === undefined
      ? RenewalDecision.CheckAgain
      : RenewalDecision.Renew;
  }
  const hasEnded = state.wasUsed && state.idleChecks >= IDLE_CHECKS_BEFORE_RELEASE;
  return hasEnded || nowMs >= state.expiresAtMs ? RenewalDecision.GiveUp : RenewalDecision.CheckAgain;
}

/**
 * Decides the next step of a release.
 *
 * @param state - the state of the reservation
 * @param nowMs - the current time, in milliseconds
 * @returns the decision
 */
export function decideRelease(state: ReservationState, nowMs: number): ReleaseDecision {
  if (nowMs < state.expiresAtMs) {
    return ReleaseDecision.Release;
  }
  return nowMs < state.inDoubtUntilMs ? ReleaseDecision.Check : ReleaseDecision.Done;
}
