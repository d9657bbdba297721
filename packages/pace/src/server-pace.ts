/**
 * The pace of one run of a server: the share of its slots and of its request rate that placement uses.
 *
 * Handles a server that joins others under load: all entries see its free slots and find it the cheapest, so that it is
 * flooded before it serves at its speed. Its share rises with each answer that comes as predicted and falls at once with each
 * failure or late answer, and is whole when it serves as its equals do.
 */

/** Why a server is used at a reduced pace. */
export enum PaceCause {
  /** It has started while others serve. */
  Started = 'started',
  /** It has failed requests. */
  Recovered = 'recovered',
  /** Its data centre is used again after an evacuation. */
  Returned = 'returned',
  /** Its record states that it is cold. */
  Cold = 'cold',
}

/** The reduced pace of one run of a server. */
export interface ServerPace {
  readonly cause: PaceCause;
  /** Share of the server's slots, in (0, 1); a server without a reduced pace has a share of 1. */
  readonly share: number;
  /** Number of falls and beginnings, which orders the estimates of different entries. */
  readonly falls: number;
  /** Time of the last of them, in milliseconds. */
  readonly fellAtMs: number;
  /** Time of the last rise or fall, in milliseconds, by the estimate of this entry. */
  readonly changedAtMs: number;
}

/** An answer of a server, as one entry has seen it. */
export interface PacedAnswer {
  /** Time at which the request was sent, in milliseconds. */
  readonly sentAtMs: number;
  /** Predicted time from there to the first event or to the answer, in milliseconds. */
  readonly predictedMs: number;
  /** Measured time, in milliseconds. */
  readonly seenMs: number;
}

/** Share at the beginning, by cause: a server that is back after an evacuation has served at full pace before. */
const initialShares: Readonly<Record<PaceCause, number>> = {
  [PaceCause.Started]: 0.25,
  [PaceCause.Recovered]: 0.25,
  [PaceCause.Returned]: 0.5,
  [PaceCause.Cold]: 0.25,
};
/** Lowest share: a server without answers shows nothing. */
export const MIN_SHARE = 0.125;
/** Increase of the share with an answer as predicted. */
const RISE = 0.0625;
/**
 * Time between two increases, in milliseconds, within which the requests of a higher share show whether it is too high: a server
 * with many short answers would otherwise be at full pace before its load is.
 */
const RISE_INTERVAL_MS = 200;
/** Factor of the share at a fall. */
const FALL_FACTOR = 0.5;
/** An answer is late if it takes longer than its prediction by this factor and this time in milliseconds. */
const LATE_FACTOR = 2;
const LATE_MARGIN_MS = 100;
/** Time after the last fall at which a pace ends in any case, in milliseconds; a server without load has no answers. */
export const MAX_PACE_MS = 30_000;

/**
 * Begins a reduced pace.
 *
 * @param cause - why the server is used at a reduced pace
 * @param nowMs - the current time, in milliseconds
 * @param known - the present pace of the same run; undefined if it has a whole share
 * @returns the pace, whose share is not above the present one
 */
export function beginPace(cause: PaceCause, nowMs: number, known?: ServerPace): ServerPace {
  const share = Math.min(known?.share ?? 1, initialShares[cause]);
  return { cause, share, falls: (known?.falls ?? 0) + 1, fellAtMs: nowMs, changedAtMs: nowMs };
}

/**
 * Reduces a pace after a failure. Failures of requests that were sent before the last fall are what it answered already.
 *
 * @param pace - the pace
 * @param sentAtMs - time at which the failed request was sent, in milliseconds
 * @param nowMs - the current time, in milliseconds
 * @returns the reduced pace
 */
export function reducePace(pace: ServerPace, sentAtMs: number, nowMs: number): ServerPace {
  if (sentAtMs < pace.fellAtMs) {
    return pace;
  }
  const share = Math.max(MIN_SHARE, pace.share * FALL_FACTOR);
  return { ...pace, share, falls: pace.falls + 1, fellAtMs: nowMs, changedAtMs: nowMs };
}

/**
 * Changes a pace by an answer: it rises if the answer came as predicted, and falls if it came late.
 *
 * @param pace - the pace
 * @param answer - the answer
 * @param nowMs - the current time, in milliseconds
 * @returns the changed pace; undefined if the server has a whole share again
 */
export function paceAfterAnswer(
  pace: ServerPace,
  answer: PacedAnswer,
  nowMs: number,
): ServerPace | undefined {
  const { sentAtMs, predictedMs, seenMs } = answer;
  if (seenMs > LATE_FACTOR * predictedMs + LATE_MARGIN_MS) {
    return reducePace(pace, sentAtMs, nowMs);
  }
  if (sentAtMs < pace.fellAtMs || nowMs - pace.changedAtMs < RISE_INTERVAL_MS) {
    return pace;
  }
  const share = pace.share + RISE;
  return share >= 1 ? undefined : { ...pace, share, changedAtMs: nowMs };
}

/**
 * Returns the estimate that both entries hold after they have told each other: the one that knows more falls, and of equal ones the
 * one that has risen further. Entries that see the same failure at the same time count it once.
 *
 * @param left - one estimate for a run of a server
 * @param right - another one
 * @returns the estimate to go on with
 */
export function mergePaces(left: ServerPace, right: ServerPace): ServerPace {
  if (left.falls !== right.falls) {
    return left.falls > right.falls ? left : right;
  }
  return left.share >= right.share ? left : right;
}
