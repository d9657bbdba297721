/** Applies the decisions about scarce places to one prompt, as a step of its placement. */
import { type Generation } from '@toucanbend/engine-model';
import { DecisionKind, type PlacementDecision, RejectionReason } from './decision.js';
import { type PromptCandidates } from './engine-shortlist.js';
import { type Job, jobValue } from './job.js';
import {
  decideEarly,
  decideLate,
  expectedStartMs,
  isRoomScarce,
  isShortPrompt,
  type RoomDecision,
  RoomDecisionKind,
  surveyRoom,
} from './room.js';

/** Decides whether one prompt is held back since free places are scarce. */
export interface PromptRoom {
  /** Returns the decision if the prompt is late already, before engines are compared for it. */
  holdLate(nowMs: number): PlacementDecision | undefined;
  /**
   * Returns the decision if the prompt is expected to be late at the best engine.
   *
   * @param expectedMs - predicted time to its first event there, in milliseconds
   * @param nowMs - the current time, in milliseconds
   */
  holdEarly(expectedMs: number, nowMs: number): PlacementDecision | undefined;
}

const plentyOfRoom: PromptRoom = { holdLate: () => undefined, holdEarly: () => undefined };

/**
 * Creates the decisions for a prompt.
 *
 * @param candidates - all engines
 * @param job - the job
 * @param generation - its prompt
 * @returns the decisions; none holds back a prompt while places are not scarce, or one that is not short
 */
export function promptRoom(
  { engine, engines }: PromptCandidates,
  job: Job,
  generation: Generation,
): PromptRoom {
  const room = isShortPrompt(engine, job, generation) ? surveyRoom(engine, engines) : undefined;
  if (room === undefined || !isRoomScarce(room)) {
    return plentyOfRoom;
  }
  const { freePlaces, places } = room;
  const toPlacement = (decision: RoomDecision, expectedMs: number): PlacementDecision => {
    const report = { decision: decision.kind, freePlaces, places, expectedMs };
    return decision.kind === RoomDecisionKind.TurnAway
      ? {
          kind: DecisionKind.Reject,
          reason: RejectionReason.Crowded,
          retryAfterMs: decision.retryAfterMs,
          room: report,
        }
      : { kind: DecisionKind.Wait, waitMs: decision.waitMs, cost: jobValue(job), room: report };
  };
  return {
    holdLate: (nowMs) => {
      const decision = decideLate(engine, job, generation, nowMs);
      return decision === undefined ? undefined : toPlacement(decision, expectedStartMs(engine, generation));
    },
    holdEarly: (expectedMs, nowMs) => {
      const decision = decideEarly(job, expectedMs, nowMs);
      return decision === undefined ? undefined : toPlacement(decision, expectedMs);
    },
  };
}
