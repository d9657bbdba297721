/** Applies the decisions about scarce places to one prompt, as a step of its placement. */
import { type Generation } from '@toucanbend/engine-model';
import { DecisionKind, type PlacementDecision, RejectionReason } from './decision.js';
import { type PromptCandidates, type RecordedEngine } from './engine-shortlist.js';
import { type Job, jobValue } from './job.js';
import {
  decideRoom,
  expectedStartMs,
  isRoomScarce,
  isShortPrompt,
  RoomDecisionKind,
  surveyRoom,
} from './room.js';

/** The engines among which a prompt is placed, or the decision not to place it now. */
export type PromptRoom =
  { readonly engines: readonly RecordedEngine[] } | { readonly decision: PlacementDecision };

/**
 * Returns the engines that a prompt may use now.
 *
 * @param candidates - all engines
 * @param job - the job
 * @param generation - its prompt
 * @param nowMs - the current time, in milliseconds
 * @returns all engines unless free places are scarce; then those whose free place the prompt may take, or the decision
 *   that it waits or is rejected
 */
export function findRoom(
  { engine, engines }: PromptCandidates,
  job: Job,
  generation: Generation,
  nowMs: number,
): PromptRoom {
  if (!isShortPrompt(engine, job, generation)) {
    return { engines };
  }
  const room = surveyRoom(engine, engines);
  if (!isRoomScarce(room)) {
    return { engines };
  }
  const decision = decideRoom(room, engine, job, generation, nowMs);
  if (decision.kind === RoomDecisionKind.Admit) {
    return { engines: decision.engines };
  }
  const { freePlaces, places } = room;
  const report = {
    decision: decision.kind,
    freePlaces,
    places,
    expectedMs: expectedStartMs(engine, generation),
  };
  if (decision.kind === RoomDecisionKind.TurnAway) {
    const { retryAfterMs } = decision;
    return {
      decision: { kind: DecisionKind.Reject, reason: RejectionReason.Crowded, retryAfterMs, room: report },
    };
  }
  return {
    decision: { kind: DecisionKind.Wait, waitMs: decision.waitMs, cost: jobValue(job), room: report },
  };
}
