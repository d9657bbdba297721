/** Applies the decisions about scarce places to one prompt, as a step of its placement. */
import { type Generation } from '@toucanbend/engine-model';
import { DecisionKind, type PlacementDecision, RejectionReason } from './decision.js';
import { type PromptCandidates } from './engine-shortlist.js';
import { type Job, jobValue } from './job.js';
import { decideRoom, isRoomScarce, isShortPrompt, RoomDecisionKind, surveyRoom } from './room.js';

/**
 * Decides whether a prompt is held back since free places are scarce.
 *
 * @param candidates - all engines
 * @param job - the job
 * @param generation - its prompt
 * @param expectedMs - predicted time to its first event at the best engine, in milliseconds
 * @param nowMs - the current time, in milliseconds
 * @returns the decision that the prompt waits or is rejected; undefined if it may be placed
 */
export function holdForRoom(
  { engine, engines }: PromptCandidates,
  job: Job,
  generation: Generation,
  expectedMs: number,
  nowMs: number,
): PlacementDecision | undefined {
  if (!isShortPrompt(engine, job, generation)) {
    return undefined;
  }
  const room = surveyRoom(engine, engines);
  const decision = isRoomScarce(room) ? decideRoom(engine, job, generation, expectedMs, nowMs) : undefined;
  if (decision === undefined) {
    return undefined;
  }
  const { freePlaces, places } = room;
  const report = { decision: decision.kind, freePlaces, places, expectedMs };
  if (decision.kind === RoomDecisionKind.TurnAway) {
    const { retryAfterMs } = decision;
    return { kind: DecisionKind.Reject, reason: RejectionReason.Crowded, retryAfterMs, room: report };
  }
  return { kind: DecisionKind.Wait, waitMs: decision.waitMs, cost: jobValue(job), room: report };
}
