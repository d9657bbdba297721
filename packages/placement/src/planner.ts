/** Decides where a request goes, from the registry and the load book. */
import { slowEngine } from '@toucanbend/engine-model';
import {
  type BackendServer,
  listServers,
  type Registry,
  ServerState,
  type Service,
} from '@toucanbend/registry';
import { type CallCandidate, chooseForCall } from './call-choice.js';
import { chooseEngine, type EngineCandidate } from './engine-choice.js';
import { type Job } from './job.js';
import { isEligible, type LoadBook } from './load-book.js';

/** What is decided about a request. */
export enum DecisionKind {
  Send = 'send',
  /** No server is known, or none can answer in time. */
  Refuse = 'refuse',
}

/** Why a request is refused. */
export enum RefusalReason {
  NoServer = 'no_server',
  TooLate = 'too_late',
  BeyondMemory = 'beyond_memory',
}

/** A decision about a request. */
export type PlacementDecision =
  | {
      readonly kind: DecisionKind.Send;
      readonly server: BackendServer;
      readonly expectedMs: number;
      readonly cost: number;
    }
  | { readonly kind: DecisionKind.Refuse; readonly reason: RefusalReason; readonly retryAfterMs: number };

/** Times that a planner needs. */
export interface PlannerSettings {
  readonly dataCentre: string;
  /** Time to another data centre and back, in milliseconds. */
  readonly crossRoundTripMs: number;
}

/** When a refused caller may try again if no server is known: about the time in which one is registered. */
const NO_SERVER_RETRY_MS = 1_000;

/** Everything that a decision is made from. */
export interface PlannerInputs {
  readonly registry: Registry;
  readonly book: LoadBook;
  readonly settings: PlannerSettings;
}

function roundTripMs(server: BackendServer, settings: PlannerSettings): number {
  return server.dataCentre === settings.dataCentre ? 0 : settings.crossRoundTripMs;
}

function refuse(reason: RefusalReason, retryAfterMs: number): PlacementDecision {
  return { kind: DecisionKind.Refuse, reason, retryAfterMs };
}

function planCall(
  servers: readonly BackendServer[],
  job: Job,
  inputs: PlannerInputs,
  nowMs: number,
): PlacementDecision {
  const candidates = servers.map((server): CallCandidate => {
    const load = inputs.book.load(server.id);
    return {
      server: server.id,
      slots: server.slots,
      inFlight: load.jobs.size,
      meanCallMs: load.meanCallMs,
      roundTripMs: roundTripMs(server, inputs.settings),
    };
  });
  const best = chooseForCall(candidates);
  const server = servers.find((candidate) => candidate.id === best?.server);
  if (best === undefined || server === undefined) {
    return refuse(RefusalReason.NoServer, NO_SERVER_RETRY_MS);
  }
  if (!best.isFree && nowMs + best.answerMs > job.deadlineAtMs) {
    return refuse(RefusalReason.TooLate, best.answerMs);
  }
  return { kind: DecisionKind.Send, server, expectedMs: best.answerMs, cost: 0 };
}

function planGeneration(
  servers: readonly BackendServer[],
  service: Service,
  job: Job,
  inputs: PlannerInputs,
  nowMs: number,
): PlacementDecision {
  const { engine } = service;
  if (engine === undefined) {
    return planCall(servers, job, inputs, nowMs);
  }
  if (job.generation !== undefined && job.generation.promptTokens > engine.memoryTokens) {
    return refuse(RefusalReason.BeyondMemory, NO_SERVER_RETRY_MS);
  }
  const candidates = servers.map((server): EngineCandidate => {
    const load = inputs.book.load(server.id);
    return {
      server: server.id,
      engine: slowEngine(engine, load.slowdown),
      state: load.engineState,
      jobs: load.jobs,
      roundTripMs: roundTripMs(server, inputs.settings),
    };
  });
  const best = chooseEngine(candidates, job, nowMs);
  const server = servers.find((candidate) => candidate.id === best?.server);
  if (best === undefined || server === undefined) {
    return refuse(RefusalReason.NoServer, NO_SERVER_RETRY_MS);
  }
  if (nowMs + best.firstEventMs > job.deadlineAtMs) {
    return refuse(RefusalReason.TooLate, best.firstEventMs);
  }
  return { kind: DecisionKind.Send, server, expectedMs: best.firstEventMs, cost: best.cost };
}

/**
 * Decides where a job goes.
 *
 * @param job - the job
 * @param service - the service that its route names
 * @param excluded - servers that it was sent to before
 * @param inputs - registry, load book and settings
 * @param nowMs - now
 * @returns the decision
 */
export function planJob(
  job: Job,
  service: Service,
  excluded: ReadonlySet<string>,
  inputs: PlannerInputs,
  nowMs: number,
): PlacementDecision {
  const serving = listServers(inputs.registry).filter(
    (server) =>
      server.service === service.name && server.state === ServerState.Ready && !excluded.has(server.id),
  );
  const eligible = serving.filter((server) => isEligible(inputs.book.load(server.id), nowMs));
  const servers = eligible.length > 0 ? eligible : serving;
  return job.generation === undefined
    ? planCall(servers, job, inputs, nowMs)
    : planGeneration(servers, service, job, inputs, nowMs);
}
