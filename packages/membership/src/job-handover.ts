/**
 * Hands the jobs of this entry over to an entry that has started or was cut off.
 *
 * Load pattern: entries restart in turn under load. The started entry dials first and receives the jobs on its link. The
 * updates that follow take the link in the other direction, which opens later: until then, jobs end and others are placed
 * without an update.
 */
import { type LoadUpdate, LoadUpdateKind, type PlacedRunningJob } from '@toucanbend/placement';

/** The hand-over of the jobs of this entry to each of the others. */
export interface JobHandover {
  /**
   * Lists the updates for an entry to which no updates are sent yet.
   *
   * @param entry - name of the entry
   * @returns the jobs of this entry
   */
  begin(entry: string): LoadUpdate[];
  /**
   * Lists the updates for an entry to which all further updates are sent.
   *
   * @param entry - name of the entry
   * @returns the jobs of this entry, and the ends of those listed before that have ended since
   */
  complete(entry: string): LoadUpdate[];
  /** Forgets what was listed for an entry whose link has ended. */
  forget(entry: string): void;
}

function keyOf({ server, job }: PlacedRunningJob): string {
  return `${server}/${job.id}`;
}

/**
 * Creates the hand-over.
 *
 * @param runningJobs - returns the jobs of this entry
 * @returns the hand-over, without entries
 */
export function createJobHandover(runningJobs: () => readonly PlacedRunningJob[]): JobHandover {
  const listed = new Map<string, readonly PlacedRunningJob[]>();
  const runningUpdates = (jobs: readonly PlacedRunningJob[]): LoadUpdate[] =>
    jobs.map((running) => ({ kind: LoadUpdateKind.Running, ...running }));
  return {
    begin: (entry) => {
      const jobs = runningJobs();
      listed.set(entry, jobs);
      return runningUpdates(jobs);
    },
    complete: (entry) => {
      const jobs = runningJobs();
      const running = new Set(jobs.map(keyOf));
      const ended = (listed.get(entry) ?? []).filter((earlier) => !running.has(keyOf(earlier)));
      listed.delete(entry);
      const ends = ended.map(({ server, job }): LoadUpdate => ({
        kind: LoadUpdateKind.Ended,
        server,
        jobId: job.id,
      }));
      return [...ends, ...runningUpdates(jobs)];
    },
    forget: (entry) => {
      listed.delete(entry);
    },
  };
}
