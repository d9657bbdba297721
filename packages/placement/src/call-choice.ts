/**
 * The choice of a server for a call of a plain service, by the work that is known to be there.
 *
 * Answers the load pattern of short calls on few slots: a call behind a full server waits a whole service time.
 */

/** A server that may take a call. */
export interface CallCandidate {
  readonly server: string;
  readonly slots: number;
  /** Calls that are known to be there, of all entries. */
  readonly inFlight: number;
  /** Mean time of a call there, in milliseconds. */
  readonly meanCallMs: number;
  readonly roundTripMs: number;
}

/** What is expected of a call. */
export interface CallPrediction {
  readonly server: string;
  /** Expected time to the answer, in milliseconds. */
  readonly answerMs: number;
  /** Whether a slot is expected to be free. */
  readonly isFree: boolean;
}

/**
 * Predicts the time to the answer of a call.
 *
 * @param candidate - the server
 * @returns the prediction
 */
export function predictCall(candidate: CallCandidate): CallPrediction {
  const { inFlight, slots, meanCallMs, roundTripMs } = candidate;
  const ahead = Math.max(0, inFlight + 1 - slots);
  const waitMs = (ahead * meanCallMs) / Math.max(1, slots);
  const isFree = inFlight < slots;
  return { server: candidate.server, answerMs: roundTripMs + waitMs + meanCallMs, isFree };
}

/** Time that an occupied slot counts for where several servers have a free one: busy servers slow down. */
const OCCUPANCY_MS = 20;

/**
 * Chooses the server that is expected to answer first.
 *
 * @param candidates - the servers
 * @returns the prediction for the best one, or undefined where there is none
 */
export function chooseForCall(candidates: readonly CallCandidate[]): CallPrediction | undefined {
  let best: CallPrediction | undefined;
  let bestCost = Number.POSITIVE_INFINITY;
  for (const candidate of candidates) {
    const prediction = predictCall(candidate);
    const cost = prediction.answerMs + (OCCUPANCY_MS * candidate.inFlight) / Math.max(1, candidate.slots);
    if (cost < bestCost) {
      best = prediction;
      bestCost = cost;
    }
  }
  return best;
}
