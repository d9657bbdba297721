/**
 * Lists the jobs of one entry for another entry that has just started or was cut off.
 *
 * Load pattern: entries restart in turn under load. Without the jobs that the others placed before, a started entry takes
 * busy engines for idle ones and places the first requests of its callers there.
 */
import { type Job } from './job.js';
import { type ServerLoad } from './load-tracker.js';

/** A job at a server, and what the server has done for it by the model of its engine. */
export interface RunningJob {
  readonly job: Job;
  readonly prefilledTokens: number;
  readonly generatedTokens: number;
}

/** A job of an entry and its server. */
export interface PlacedRunningJob extends RunningJob {
  readonly server: string;
}

/**
 * Lists the jobs of an entry that occupy servers.
 *
 * @param loads - recorded load of all servers, by server id
 * @param owner - the entry
 * @returns its jobs; parts of prompts that have been prefilled and are not kept are left out
 */
export function runningJobsOf(loads: ReadonlyMap<string, ServerLoad>, owner: string): PlacedRunningJob[] {
  return [...loads].flatMap(([server, { jobs, engineState }]) => {
    const own = [...jobs.values()].filter((placed) => placed.owner === owner);
    return own.flatMap(({ job }): PlacedRunningJob[] => {
      const request = engineState.requests.find(({ id }) => id === job.id);
      if (job.generation !== undefined && request === undefined) {
        return [];
      }
      const { prefilledTokens = 0, generatedTokens = 0 } = request ?? {};
      return [{ server, job, prefilledTokens, generatedTokens }];
    });
  });
}
