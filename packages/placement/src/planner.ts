/** Chooses the server of a request, delays the request or rejects it, based on the registry and the load tracker. */
import { type EngineParameters, type Generation, slowEngine } from '@toucanbend/engine-model';
import { type ServerPaces } from '@toucanbend/pace';
import { type BackendServer, type Registry, type Service } from '@toucanbend/registry';
import { type ServerRestrictions } from '@toucanbend/restrictions';
import { type CallCandidate, chooseForCall } from './call-choice.js';
import { USABLE_MEMORY_SHARE } from './engine-group.js';
import { type PromptCandidates, type RecordedEngine } from './engine-shortlist.js';
import { DecisionKind, type PlacementDecision, RejectionReason } from './decision.js';
import { type Job, jobValue } from './job.js';
import { isShareOf } from './job-share.js';
import { isEligible, type LoadTracker, type ServerLoad } from './load-tracker.js';
import { choosePlacement } from './prompt-choice.js';
import { promptRoom } from './prompt-room.js';
import { chooseWaitMs, recheckIntervalMs } from './prompt-wait.js';
import { type PlannerSettings, type ReadyServer, readyServers } from './ready-servers.js';

/**
 * Retry-after time of requests that are rejected for lack of a server or of memory, in milliseconds: about the time
 * that the registration of a server takes.
 */
const NO_SERVER_RETRY_MS = 1_000;

/** State and options that a decision depends on. */
export interface PlannerInputs {
  readonly registry: Registry;
  readonly loadTracker: LoadTracker;
  readonly restrictions: Pick<ServerRestrictions, 'availableAtMs'>;
  /** The pace of servers that have started or recovered; undefined if all are used at full pace. */
  readonly pace?: Pick<ServerPaces, 'shareOf'> | undefined;
  readonly settings: PlannerSettings;
  /** Whether a job may wait for a cheaper placement; a process that is about to exit places jobs immediately. */
  readonly mayWait: boolean;
  /** Whether some other entries place jobs without this entry receiving their load updates. */
  readonly hasPartialLoadView: boolean;
  /** Whether the job may leave its place to others; not if its answer has begun, or a server has failed it. */
  readonly mayYield: boolean;
  /** Whether the job runs already and would be cancelled there; its slots and memory then count as free. */
  readonly replacesAttempt: boolean;
}

function reject(reason: RejectionReason, retryAfterMs: number): PlacementDecision {
  return { kind: DecisionKind.Reject, reason, retryAfterMs };
}

function planCall(
  servers: readonly ReadyServer[],
  job: Job,
  inputs: PlannerInputs,
  nowMs: number,
): PlacementDecision {
  const candidates = servers.map(({ server, roundTripMs }): CallCandidate => {
    const load = inputs.loadTracker.load(server.id);
    return {
      server: server.id,
      slots: server.slots,
      inFlight: load.jobs.size,
      meanCallMs: load.meanCallMs,
      roundTripMs,
      pace: inputs.pace?.shareOf(server) ?? 1,
    };
  });
  const best = chooseForCall(candidates);
  const server = servers.find((candidate) => candidate.server.id === best?.server)?.server;
  if (best === undefined || server === undefined) {
    return reject(RejectionReason.NoServer, NO_SERVER_RETRY_MS);
  }
  if (!best.isFree && nowMs + best.answerMs > job.deadlineAtMs) {
    return reject(RejectionReason.TooLate, best.answerMs);
  }
  return { kind: DecisionKind.Send, server, helpers: [], expectedMs: best.answerMs, cost: 0 };
}

function exceedsEngineMemory(engine: EngineParameters, job: Job): boolean {
  const tokens = (job.generation?.promptTokens ?? 0) + (job.generation?.answerTokens ?? 0);
  return tokens > USABLE_MEMORY_SHARE * engine.memoryTokens;
}

/** Share of a job's time limit that it may spend waiting for memory; prefill and answer need the remaining time. */
const MEMORY_WAIT_SHARE = 0.5;

function memoryWaitEndsAtMs(job: Job): number {
  return job.arrivedAtMs + MEMORY_WAIT_SHARE * (job.deadlineAtMs - job.arrivedAtMs);
}

/** Returns whether a prompt fits into the combined memory of this many engines when they are idle. */
function fitsInCombinedMemory(engines: number, engine: EngineParameters, job: Job): boolean {
  return (job.generation?.promptTokens ?? 0) <= engines * USABLE_MEMORY_SHARE * engine.memoryTokens;
}

/** Delays or rejects a prompt for which no engine has free memory. */
function planWithoutMemory(
  engines: number,
  engine: EngineParameters,
  job: Job,
  mayWait: boolean,
  nowMs: number,
): PlacementDecision {
  if (engines === 0) {
    return reject(RejectionReason.NoServer, NO_SERVER_RETRY_MS);
  }
  const timeLeftMs =
    mayWait && fitsInCombinedMemory(engines, engine, job) ? memoryWaitEndsAtMs(job) - nowMs : 0;
  return timeLeftMs > 0
    ? { kind: DecisionKind.Wait, waitMs: Math.min(timeLeftMs, recheckIntervalMs(job)), cost: jobValue(job) }
    : reject(RejectionReason.BeyondMemory, NO_SERVER_RETRY_MS);
}

/** Returns the load of an engine without a job and its shares. */
function withoutShares(load: ServerLoad, jobId: string): ServerLoad {
  const isOther = (id: string): boolean => !isShareOf(id, jobId);
  const { engineState } = load;
  return {
    ...load,
    jobs: new Map([...load.jobs].filter(([id]) => isOther(id))),
    engineState: { ...engineState, requests: engineState.requests.filter(({ id }) => isOther(id)) },
  };
}

function planGeneration(
  servers: readonly ReadyServer[],
  engine: EngineParameters,
  generation: Generation,
  job: Job,
  inputs: PlannerInputs,
  nowMs: number,
): PlacementDecision {
  const { loadTracker, hasPartialLoadView, mayWait, mayYield, replacesAttempt } = inputs;
  const free = (load: ServerLoad): ServerLoad => (replacesAttempt ? withoutShares(load, job.id) : load);
  const candidates: PromptCandidates = {
    engine,
    engines: servers.map((view): RecordedEngine => ({
      view,
      load: free(loadTracker.load(view.server.id)),
      pace: inputs.pace?.shareOf(view.server) ?? 1,
    })),
    fitsOneEngine: !exceedsEngineMemory(engine, job),
    advance: ({ view, pace = 1 }) => {
      const load = free(loadTracker.loadAt(view.server.id, engine, nowMs));
      return {
        server: view.server.id,
        engine: slowEngine(engine, load.slowdown),
        state: load.engineState,
        jobs: load.jobs,
        affinityPenalty: view.affinityPenalty,
        hasPartialLoadView,
        roundTripMs: view.roundTripMs,
        pace,
      };
    },
  };
  const room =
    mayWait && mayYield && !hasPartialLoadView ? promptRoom(candidates, job, generation) : undefined;
  const late = room?.holdLate(nowMs);
  if (late !== undefined) {
    return late;
  }
  const findServer = (id: string): BackendServer | undefined =>
    servers.find(({ server }) => server.id === id)?.server;
  const choice = choosePlacement(candidates, job, generation, nowMs);
  const server = choice === undefined ? undefined : findServer(choice.best.leader);
  if (choice === undefined || server === undefined) {
    return planWithoutMemory(servers.length, engine, job, mayWait, nowMs);
  }
  const { best } = choice;
  const { partTokens, keepsParts, firstEventMs: expectedMs, cost } = best;
  if (nowMs + expectedMs > job.deadlineAtMs) {
    return reject(RejectionReason.TooLate, expectedMs);
  }
  const early = room?.holdEarly(expectedMs, nowMs);
  if (early !== undefined) {
    return early;
  }
  const waitMs = mayWait ? chooseWaitMs(engine, job, choice, nowMs) : 0;
  if (waitMs > 0) {
    return { kind: DecisionKind.Wait, waitMs, cost };
  }
  const helpers = best.helpers.flatMap((id) => {
    const helper = findServer(id);
    return helper === undefined ? [] : [{ server: helper, partTokens, keepsPart: keepsParts }];
  });
  return { kind: DecisionKind.Send, server, helpers, expectedMs, cost };
}

/**
 * Share of a job's target time for which it waits, since its arrival, for a server that accepts no request yet. A job that
 * would wait longer is rejected at once, so that jobs do not queue up for more requests than the servers accept.
 */
const RESTRICTED_WAIT_SHARE = 0.125;

/** Delays or rejects a job for which no server accepts a request before a time. */
function planRestricted(availableAtMs: number, job: Job, mayWait: boolean, nowMs: number): PlacementDecision {
  if (availableAtMs === Number.POSITIVE_INFINITY) {
    return reject(RejectionReason.NoServer, NO_SERVER_RETRY_MS);
  }
  const waitEndsAtMs = job.arrivedAtMs + RESTRICTED_WAIT_SHARE * job.targetMs;
  return mayWait && availableAtMs <= waitEndsAtMs
    ? { kind: DecisionKind.Wait, waitMs: availableAtMs - nowMs, cost: jobValue(job) }
    : reject(RejectionReason.Restricted, availableAtMs - nowMs);
}

/**
 * Decides whether a job is sent to a server, waits, or is rejected.
 *
 * Servers with recent failures are used only if the service has no others. A server that accepts no request now is not
 * used at all, also not for a part of a prompt.
 *
 * @param job - the job to place
 * @param service - the service that the job's route names
 * @param excluded - ids of servers that must not be chosen, because earlier attempts went there
 * @param inputs - state and options that the decision depends on
 * @param nowMs - the current time, in milliseconds
 * @returns the decision
 */
export function planJob(
  job: Job,
  service: Service,
  excluded: ReadonlySet<string>,
  inputs: PlannerInputs,
  nowMs: number,
): PlacementDecision {
  const ready = readyServers(inputs.registry, service.name, inputs.settings);
  const serving = excluded.size === 0 ? ready : ready.filter(({ server }) => !excluded.has(server.id));
  const availableAtMs = ({ server }: ReadyServer): number => inputs.restrictions.availableAtMs(server);
  const accepting = serving.filter((view) => availableAtMs(view) <= nowMs);
  if (accepting.length === 0) {
    const firstAtMs = Math.min(...(serving.length > 0 ? serving : ready).map(availableAtMs));
    if (firstAtMs > nowMs) {
      return planRestricted(firstAtMs, job, inputs.mayWait && serving.length > 0, nowMs);
    }
  }
  const eligible = accepting.filter(({ server }) => isEligible(inputs.loadTracker.load(server.id), nowMs));
  const servers = eligible.length > 0 ? eligible : accepting;
  return job.generation === undefined || service.engine === undefined
    ? planCall(servers, job, inputs, nowMs)
    : planGeneration(servers, service.engine, job.generation, job, inputs, nowMs);
}
