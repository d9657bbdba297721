/** Jobs, engines and decisions for tests of placement. */
import assert from 'node:assert/strict';
import {
  DecisionKind,
  type Job,
  type LoadTracker,
  type PlacementDecision,
  type PlannerInputs,
  planJob,
} from '@toucanbend/placement';
import {
  type BackendServer,
  emptyRegistry,
  mergeRecords,
  RecordKind,
  type Registry,
  type RegistryRecord,
  ServerState,
  type Service,
} from '@toucanbend/registry';
import { smallEngine as engine } from '../../../../fakes/engine-parameters.js';

/** A service of engines. */
export const model: Service = { name: 'model', maxConnections: 100, engine };
/** A plain service. */
export const desk: Service = { name: 'desk', maxConnections: 100, engine: undefined };

/**
 * Creates the registration of a server.
 *
 * @param id - id of the server
 * @param service - name of its service
 * @param state - its state
 * @param dataCentre - its data centre
 * @returns the record
 */
export function serverRecord(
  id: string,
  service: string,
  state = ServerState.Ready,
  dataCentre = 'bagmati-a',
): RegistryRecord {
  const value: BackendServer = {
    id,
    service,
    host: '10.0.0.1',
    port: 80,
    dataCentre,
    slots: 2,
    state,
    bornAtMs: 0,
  };
  return { kind: RecordKind.Server, id, position: { era: 1, revision: 1 }, value };
}

/**
 * Creates a registry of engines that are ready.
 *
 * @param ids - ids of the engines
 * @returns the registry
 */
export function registryOf(...ids: readonly string[]): Registry {
  return mergeRecords(
    emptyRegistry,
    ids.map((id) => serverRecord(id, 'model')),
    {},
  );
}

/**
 * Creates a job with a short prompt and strict limits.
 *
 * @param id - id of the job
 * @param arrivedAtMs - time of its arrival, in milliseconds
 * @returns the job
 */
export function shortJob(id: string, arrivedAtMs = 0): Job {
  return {
    id,
    service: 'model',
    generation: { promptTokens: 5_000, answerTokens: 1_300 },
    rank: 0,
    arrivedAtMs,
    targetMs: 300,
    targetPauseMs: 250,
    deadlineAtMs: arrivedAtMs + 10_000,
  };
}

/**
 * Creates a job with a long prompt and loose limits.
 *
 * @param id - id of the job
 * @param promptTokens - length of the prompt
 * @param arrivedAtMs - time of its arrival, in milliseconds
 * @returns the job
 */
export function longJob(id: string, promptTokens = 130_000, arrivedAtMs = 0): Job {
  return {
    ...shortJob(id, arrivedAtMs),
    generation: { promptTokens, answerTokens: 700 },
    rank: 2,
    targetMs: 5_000,
    targetPauseMs: 1_000,
    deadlineAtMs: arrivedAtMs + 15_000,
  };
}

/** A call of a plain service. */
export const call: Job = {
  ...shortJob('call'),
  service: 'desk',
  generation: undefined,
  deadlineAtMs: 1_000,
};
/** The entry that plans. */
export const settings = { entry: 'entry-1', dataCentre: 'bagmati-a', crossRoundTripMs: 7 };

/**
 * Plans a job.
 *
 * @param loadTracker - recorded load
 * @param registry - registered servers
 * @param job - the job to place
 * @param nowMs - the current time, in milliseconds
 * @param service - service of the job
 * @param excluded - ids of servers that must not be chosen
 * @param options - inputs that differ from those of a serving entry with a complete load view
 * @returns the decision
 */
export function plan(
  loadTracker: LoadTracker,
  registry: Registry,
  job: Job,
  nowMs = 0,
  service = model,
  excluded: readonly string[] = [],
  options: Partial<PlannerInputs> = {},
): PlacementDecision {
  const inputs = {
    registry,
    loadTracker,
    restrictions: { availableAtMs: () => Number.NEGATIVE_INFINITY },
    settings,
    mayWait: true,
    mayYield: true,
    hasPartialLoadView: false,
    replacesAttempt: false,
    ...options,
  };
  return planJob(job, service, new Set(excluded), inputs, nowMs);
}

/**
 * Returns the server that a job is sent to; fails for any other decision.
 *
 * @param decision - the decision
 * @returns id of the server
 */
export function sentTo(decision: PlacementDecision): string {
  assert.equal(decision.kind, DecisionKind.Send);
  return decision.kind === DecisionKind.Send ? decision.server.id : '';
}

/**
 * Records a job at an engine.
 *
 * @param tracker - recorded load
 * @param server - id of the engine
 * @param job - the job
 * @param atMs - time at which it was sent, in milliseconds
 */
export function recordJob(tracker: LoadTracker, server: string, job: Job, atMs = 0): void {
  tracker.placed('entry-1', server, engine, job, atMs);
}
