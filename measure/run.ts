/** Runs a load through a policy and records the result of each request. */
import { type CallerResult, makePrompt } from '../fakes/caller.js';
import { expectedAnswer } from '../fakes/text.js';
import { type LoadRequest } from './load.js';
import { type Policy } from './policy.js';

/** One request of a load and its result. */
export interface RunRecord {
  readonly request: LoadRequest;
  readonly result: CallerResult;
  /** Time from the intended start to the first token, in milliseconds; undefined if no token was received. */
  readonly firstTokenMs: number | undefined;
  /** Time from the intended start to the end of the response, in milliseconds. */
  readonly elapsedMs: number;
  /** False if the response is complete but differs from the expected text; true otherwise. */
  readonly isCorrect: boolean;
}

function buildPrompt(request: LoadRequest, label: string): string {
  if (request.prefixGroup === '') {
    return makePrompt(request.promptTokens, `${label} ${request.key}`);
  }
  const question = `question ${request.key} `;
  return makePrompt(request.promptTokens, `${label} ${request.prefixGroup}`) + question;
}

async function runRequest(
  request: LoadRequest,
  policy: Policy,
  label: string,
  startAt: number,
): Promise<RunRecord> {
  const { account, rank, maxTokens } = request;
  const prompt = buildPrompt(request, label);
  await new Promise((resolve) => setTimeout(resolve, startAt + request.atMs - performance.now()));
  const lateMs = performance.now() - startAt - request.atMs;
  const result = await policy.send({ account, rank, prompt, maxTokens });
  const isCorrect = result.outcome !== 'complete' || result.text === expectedAnswer(prompt, maxTokens);
  const firstTokenMs = result.firstTokenMs === undefined ? undefined : result.firstTokenMs + lateMs;
  return { request, result, firstTokenMs, elapsedMs: result.elapsedMs + lateMs, isCorrect };
}

/** Time between the start of `runLoad` and the origin of the intended starts, in which the prompts are built. */
const START_DELAY_MS = 200;

/**
 * Runs a load through a policy, each request at its intended start.
 *
 * @param load - the requests
 * @param policy - sends the requests; stopped at the end
 * @param label - starts each prompt, so that no prompt shares a prefix with one of another run
 * @returns one record for each request, once all have ended
 */
export async function runLoad(
  load: readonly LoadRequest[],
  policy: Policy,
  label: string,
): Promise<RunRecord[]> {
  const startAt = performance.now() + START_DELAY_MS;
  const records = await Promise.all(load.map((request) => runRequest(request, policy, label, startAt)));
  policy.stop();
  return records;
}
