/**
 * Decides what answers of a server show about attempts that were lost there before.
 *
 * Load patterns: a server resets some of its connections and goes on; or it crashes and starts again, possibly under the id
 * that it had, and its next run answers before the registry shows that it is another one.
 */

/** A part of an answer that arrives after an attempt was lost at the run of the server that is thought to have sent it. */
export interface LaterSign {
  /** When the answered attempt was sent, in milliseconds. */
  readonly sentAtMs: number;
  /** When the other attempt was lost, in milliseconds. */
  readonly lostAtMs: number;
  /** The current time, in milliseconds. */
  readonly nowMs: number;
}

/** What a later sign shows. */
export enum SurvivalKind {
  /** The run was alive after the loss. */
  Survived = 'survived',
  /** The run was alive after the loss, unless the registry shows soon that another one has taken its place. */
  SurvivedUnlessReplaced = 'survived_unless_replaced',
  /** It may have been sent before the crash. */
  Unknown = 'unknown',
}

/** The conclusion from a later sign. */
export type Survival =
  | { readonly kind: SurvivalKind.Unknown }
  | {
      readonly kind: SurvivalKind.Survived | SurvivalKind.SurvivedUnlessReplaced;
      /** When the run was alive, in milliseconds. */
      readonly aliveAtMs: number;
    };

/** Time within which bytes from before a crash may still be read, and another entry may date it later, in milliseconds. */
const CRASH_NOTICE_MS = 300;
/** Shortest time in which a server that has crashed answers again, in milliseconds. */
const MIN_RETURN_MS = 1_000;
/** Time within which the registry shows a run that has answered requests, in milliseconds. */
export const REGISTRATION_MS = 2_000;

/**
 * Decides what a later sign shows.
 *
 * @param sign - the times of the attempt that was lost, of the other one and of the sign
 * @returns the conclusion
 */
export function survivalShownBy({ sentAtMs, lostAtMs, nowMs }: LaterSign): Survival {
  if (sentAtMs <= lostAtMs) {
    // A crash ends all connections.
    return nowMs - lostAtMs > CRASH_NOTICE_MS
      ? { kind: SurvivalKind.Survived, aliveAtMs: nowMs - CRASH_NOTICE_MS }
      : { kind: SurvivalKind.Unknown };
  }
  const kind = nowMs - lostAtMs < MIN_RETURN_MS ? SurvivalKind.Survived : SurvivalKind.SurvivedUnlessReplaced;
  return { kind, aliveAtMs: sentAtMs };
}
