/** Clocks: the monotonic clock of the process, and a manual clock for tests. */

/** Cancels a timer. Has no effect if the timer has fired or is already cancelled. */
export type CancelTimer = () => void;

/** A source of monotonic time and of timers. */
export interface Clock {
  /** Returns the monotonic time in milliseconds. */
  now(): number;
  /** Runs an action once after a delay in milliseconds; the system clock limits the delay to about 24 days. */
  after(delayMs: number, action: () => void): CancelTimer;
}

/** Longest delay of a timer of the runtime, in milliseconds, about 24 days; it fires longer ones at once. */
const MAX_TIMER_MS = 2_147_483_647;

/**
 * Creates a clock that uses the monotonic time and the timers of the process.
 *
 * @returns the clock
 */
export function createSystemClock(): Clock {
  return {
    now: () => performance.now(),
    after: (delayMs, action) => {
      const timer = setTimeout(action, Math.min(MAX_TIMER_MS, Math.max(0, delayMs)));
      return () => {
        clearTimeout(timer);
      };
    },
  };
}

/** A clock whose time changes only by `advance`. */
export interface ManualClock extends Clock {
  /** Advances the time by `byMs` milliseconds and runs the timers that expire, in order of expiry. */
  advance(byMs: number): void;
}

interface ManualTimer {
  readonly at: number;
  readonly sequence: number;
  readonly action: () => void;
}

/**
 * Creates a manual clock for tests.
 *
 * @param startMs - the initial time in milliseconds
 * @returns the clock
 */
export function createManualClock(startMs = 0): ManualClock {
  let now = startMs;
  let sequence = 0;
  let timers: ManualTimer[] = [];

  const removeNextExpired = (until: number): ManualTimer | undefined => {
    const expired = timers
      .filter((timer) => timer.at <= until)
      .sort((left, right) => left.at - right.at || left.sequence - right.sequence)[0];
    timers = timers.filter((timer) => timer !== expired);
    return expired;
  };

  return {
    now: () => now,
    after: (delayMs, action) => {
      sequence += 1;
      const timer = { at: now + Math.max(0, delayMs), sequence, action };
      timers.push(timer);
      return () => {
        timers = timers.filter((other) => other !== timer);
      };
    },
    advance: (byMs) => {
      const until = now + byMs;
      for (
        let expired = removeNextExpired(until);
        expired !== undefined;
        expired = removeNextExpired(until)
      ) {
        now = Math.max(now, expired.at);
        expired.action();
      }
      now = until;
    },
  };
}
