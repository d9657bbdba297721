/** Results of submitting a call to one side. */
import { Outcome, type Reason } from '@toucanbend/core';

/** Result of submitting a call to one side. */
export enum SubmissionResult {
  Complete = 'complete',
  /** The call did not run under this token or attempt and never will, so a retry is safe. */
  NotRun = 'not_run',
  /** The call may have run. */
  Unknown = 'unknown',
}

/** How a submission ended. */
export interface SubmissionEnd {
  readonly result: SubmissionResult;
  readonly reason: Reason;
}

/** The result that each outcome stated by a side stands for. */
export const submissionResults: Readonly<Record<Outcome, SubmissionResult>> = {
  [Outcome.Complete]: SubmissionResult.Complete,
  [Outcome.NotRun]: SubmissionResult.NotRun,
  [Outcome.Unknown]: SubmissionResult.Unknown,
};
