/**
 * Chooses a server for a call of a plain service by the calls in flight at each server.
 *
 * Handles short calls on few slots: a call that is queued at a full server waits for about a whole service time.
 */

import { paceCost } from './pace-cost.js';

/** A server that may be chosen for a call. */
export interface CallCandidate {
  readonly server: string;
  readonly slots: number;
  /** Number of calls of all entries that are recorded as in flight at the server. */
  readonly inFlight: number;
  /** Mean duration of a call at the server, in milliseconds. */
  readonly meanCallMs: number;
  /** Network round-trip time to the server, in milliseconds. */
  readonly roundTripMs: number;
  /** Share of the server's slots that its pace allows, in (0, 1]; 1 if undefined. */
  readonly pace?: number;
}

/** Predicted effect of sending a call to a server. */
export interface CallPrediction {
  readonly server: string;
  /** Predicted time from now to the answer, in milliseconds. */
  readonly answerMs: number;
  /** Whether the server is expected to have a free slot. */
  readonly isFree: boolean;
}

/**
 * Predicts the time to the answer of a call, including the time in the server's queue.
 *
 * @param candidate - the server and its calls in flight
 * @returns the prediction
 */
export function predictCall(candidate: CallCandidate): CallPrediction {
  const { inFlight, slots, meanCallMs, roundTripMs } = candidate;
  const queuedAhead = Math.max(0, inFlight + 1 - slots);
  const waitMs = (queuedAhead * meanCallMs) / Math.max(1, slots);
  const isFree = inFlight < slots;
  return { server: candidate.server, answerMs: roundTripMs + waitMs + meanCallMs, isFree };
}

/**
 * Penalty for a server whose slots are all occupied, in milliseconds, proportionally less for fewer occupied slots. It
 * decides between servers that have a free slot, since busy servers are slower.
 */
const OCCUPANCY_MS = 20;
/** Penalty in milliseconds that stands for the value of a job in the cost of a reduced pace; at most `OCCUPANCY_MS`. */
const PACE_UNIT_MS = 100;

/**
 * Chooses the server with the lowest predicted time to the answer, plus a penalty for occupied slots.
 *
 * @param candidates - servers to choose from
 * @returns the prediction for the chosen server; undefined without candidates
 */
export function chooseForCall(candidates: readonly CallCandidate[]): CallPrediction | undefined {
  let best: CallPrediction | undefined;
  let bestCost = Number.POSITIVE_INFINITY;
  for (const candidate of candidates) {
    const prediction = predictCall(candidate);
    const { inFlight, slots, pace = 1 } = candidate;
    const cost =
      prediction.answerMs +
      (OCCUPANCY_MS * inFlight) / Math.max(1, slots) +
      PACE_UNIT_MS * paceCost(pace, inFlight, slots);
    if (cost < bestCost) {
      best = prediction;
      bestCost = cost;
    }
  }
  return best;
}
