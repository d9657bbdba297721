/** The decisions on a request: its server, a delay, or a rejection. */
import { type BackendServer } from '@toucanbend/registry';
import { type Helper } from './job-share.js';
import { type RoomReport } from './room.js';

export enum DecisionKind {
  Send = 'send',
  /** Every placement costs too much or lacks memory now, and there is time to wait for a better one. */
  Wait = 'wait',
  /** No server is registered or accepts requests, none has enough memory, or none can answer before the deadline. */
  Reject = 'refuse',
}

export enum RejectionReason {
  NoServer = 'no_server',
  TooLate = 'too_late',
  BeyondMemory = 'beyond_memory',
  /** No server accepts a request now, by what the servers stated. */
  Restricted = 'restricted',
  /** The engines have had no place to spare for a prompt that is too late to meet its target. */
  Crowded = 'crowded',
}

export type PlacementDecision =
  | {
      readonly kind: DecisionKind.Send;
      readonly server: BackendServer;
      /** Servers that prefill the other parts of the prompt. */
      readonly helpers: readonly Helper[];
      /** Predicted time from now to the first event of the answer, or to the answer of a plain service. */
      readonly expectedMs: number;
      /** Job value that the placement is expected to lose, summed over all jobs; 0 for calls of plain services. */
      readonly cost: number;
    }
  | {
      readonly kind: DecisionKind.Wait;
      readonly waitMs: number;
      readonly cost: number;
      /** Set if the job waits since the engines have too few free places. */
      readonly room?: RoomReport;
    }
  | {
      readonly kind: DecisionKind.Reject;
      readonly reason: RejectionReason;
      readonly retryAfterMs: number;
      /** Set if the job is rejected since the engines have too few free places. */
      readonly room?: RoomReport;
    };
