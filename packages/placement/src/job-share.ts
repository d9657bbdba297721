/** The shares of a job at the servers that work on it. */
import { PartRole } from '@toucanbend/engine-model';
import { type BackendServer } from '@toucanbend/registry';
import { type Job } from './job.js';

/** A server that prefills one part of a prompt for the server that gets the request. */
export interface Helper {
  readonly server: BackendServer;
  readonly partTokens: number;
  /**
   * Whether memory is reserved on this server, so that it keeps the KV cache of its part. Without a reservation, the
   * server that gets the request keeps the whole prompt.
   */
  readonly keepsPart: boolean;
}

/** The work of a job that runs on one server. */
export interface JobShare {
  readonly server: BackendServer;
  readonly job: Job;
}

function shareId(jobId: string, index: number): string {
  return `${jobId}/${String(index)}`;
}

/**
 * Returns whether an id names a job or one of its shares.
 *
 * @param id - id of a job or a share
 * @param jobId - id of the job
 * @returns whether the share belongs to the job
 */
export function isShareOf(id: string, jobId: string): boolean {
  return id === jobId || id.startsWith(`${jobId}/`);
}

/**
 * Splits a job into the shares of the servers that work on it.
 *
 * @param job - the job to split
 * @param server - the server that gets the request
 * @param helpers - servers that prefill parts of the prompt; either all of them keep their parts, or none
 * @param readyAtMs - predicted time at which the last part is prefilled, in milliseconds
 * @returns the unchanged job if there are no helpers; otherwise a share of the prompt per server, each with its own id
 */
export function splitJob(
  job: Job,
  server: BackendServer,
  helpers: readonly Helper[],
  readyAtMs: number,
): JobShare[] {
  const { generation } = job;
  const [helper] = helpers;
  if (helper === undefined || generation === undefined) {
    return [{ server, job }];
  }
  const { partTokens, keepsPart } = helper;
  const wholeTokens = generation.promptTokens;
  const share = (role: PartRole, id: string): Job => ({
    ...job,
    id,
    generation: { ...generation, promptTokens: partTokens, part: { role, wholeTokens, readyAtMs } },
  });
  const helperRole = keepsPart ? PartRole.Holder : PartRole.Reader;
  return [
    { server, job: share(keepsPart ? PartRole.LeaderOfHolders : PartRole.Leader, job.id) },
    ...helpers.map((other, index) => ({
      server: other.server,
      job: share(helperRole, shareId(job.id, index + 1)),
    })),
  ];
}
