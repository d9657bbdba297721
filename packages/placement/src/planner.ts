/** Decides where a request goes, from the registry and the load book. */
import { type EngineParameters, slowEngine } from '@toucanbend/engine-model';
import {
  type BackendServer,
  listServers,
  type Registry,
  ServerState,
  type Service,
} from '@toucanbend/registry';
import murmurhash from 'murmurhash';
import { type CallCandidate, chooseForCall } from './call-choice.js';
import { chooseEngine, type EngineCandidate, LATE_LOSS } from './engine-choice.js';
import { chooseGroup } from './group-choice.js';
import { type Job, valueOf } from './job.js';
import { isEligible, type LoadBook } from './load-book.js';

/** What is decided about a request. */
export enum DecisionKind {
  Send = 'send',
  /** A better place is expected while there is time to wait for it. */
  Wait = 'wait',
  /** No server is known, or none can answer in time. */
  Refuse = 'refuse',
}

/** Why a request is refused. */
export enum RefusalReason {
  NoServer = 'no_server',
  TooLate = 'too_late',
  BeyondMemory = 'beyond_memory',
}

/** A server that prefills a part of a prompt. */
export interface Helper {
  readonly server: BackendServer;
  readonly partTokens: number;
  /** Whether memory is set aside there for the part; else the first server keeps the whole prompt. */
  readonly keepsPart: boolean;
}

/** A decision about a request. */
export type PlacementDecision =
  | {
      readonly kind: DecisionKind.Send;
      readonly server: BackendServer;
      /** Servers that prefill parts of the prompt beside it. */
      readonly helpers: readonly Helper[];
      readonly expectedMs: number;
      readonly cost: number;
    }
  | { readonly kind: DecisionKind.Wait; readonly waitMs: number; readonly cost: number }
  | { readonly kind: DecisionKind.Refuse; readonly reason: RefusalReason; readonly retryAfterMs: number };

/** Times that a planner needs. */
export interface PlannerSettings {
  /** Name of this entry. */
  readonly entry: string;
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
  /** Whether a job may wait for a better place; a process that is about to end places at once. */
  readonly mayWait: boolean;
  /** Whether other entries place work that this one does not hear of. */
  readonly isBlind: boolean;
}

function roundTripMs(server: BackendServer, settings: PlannerSettings): number {
  return server.dataCentre === settings.dataCentre ? 0 : settings.crossRoundTripMs;
}

const HASH_RANGE = 0x1_0000_0000;

function strangeness(entry: string, server: string): number {
  return murmurhash.v3(`${entry}/${server}`) / HASH_RANGE;
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
  return { kind: DecisionKind.Send, server, helpers: [], expectedMs: best.answerMs, cost: 0 };
}

/** Expected loss, as a share of a job's own value, from which on a better place is waited for. */
const WAIT_COST = 0.25;
/** Share of the target that is kept in hand while a job waits. */
const WAIT_RESERVE = 0.2;
/** Factor on the expected time to the first event that is kept in hand before the deadline. */
const DEADLINE_RESERVE = 1.3;
/** Time for a token of an answer, as a multiple of an idle engine's step: engines generate beside other work. */
const GENERATING_FACTOR = 2;
/** Time between two looks for a better place, as a share of the target, and its bounds in milliseconds. */
const WAIT_STEP_SHARE = 0.03;
const SHORTEST_WAIT_STEP_MS = 40;
const LONGEST_WAIT_STEP_MS = 200;

/** What is expected of the best place for a job. */
interface Prospect {
  readonly firstEventMs: number;
  readonly cost: number;
  /** The part of the cost that others bear. */
  readonly harm: number;
}

function waitStepMs(job: Job): number {
  return Math.min(LONGEST_WAIT_STEP_MS, Math.max(SHORTEST_WAIT_STEP_MS, WAIT_STEP_SHARE * job.targetMs));
}

/**
 * Tells how long a job should wait for a better place.
 *
 * Answers the load pattern of a burst of long prompts while every engine serves short ones: a long prompt has seconds
 * until its target, in which engines become free; placed at once it would break the pauses of all streams there. Where
 * it would break more than it is worth on time, it waits on and comes late. A short prompt waits only as long as it
 * still comes on time.
 */
function waitFor(engine: EngineParameters, job: Job, best: Prospect, nowMs: number): number {
  const value = valueOf(job);
  if (best.cost < WAIT_COST * value) {
    return 0;
  }
  const stepMs = waitStepMs(job);
  const slackMs = job.arrivedAtMs + job.targetMs * (1 - WAIT_RESERVE) - nowMs - best.firstEventMs;
  if (slackMs > 0) {
    return Math.min(slackMs, stepMs);
  }
  const comesLate = nowMs + best.firstEventMs > job.arrivedAtMs + job.targetMs;
  if (best.harm <= (comesLate ? WAIT_COST : LATE_LOSS) * value) {
    return 0;
  }
  const generatingMs = (job.generation?.answerTokens ?? 0) * engine.stepMs * GENERATING_FACTOR;
  const latestMs = job.deadlineAtMs - generatingMs - DEADLINE_RESERVE * best.firstEventMs;
  return Math.min(Math.max(0, latestMs - nowMs), stepMs);
}

/** Share of an engine's memory up to which a prompt and its answer are sent to one engine. */
const SINGLE_MEMORY_SHARE = 0.97;

function isBeyondMemory(engine: EngineParameters, job: Job): boolean {
  const tokens = (job.generation?.promptTokens ?? 0) + (job.generation?.answerTokens ?? 0);
  return tokens > SINGLE_MEMORY_SHARE * engine.memoryTokens;
}

/** Share of a job's time in which it waits for memory: later it could not be prefilled and answered in the rest. */
const MEMORY_WAIT_SHARE = 0.5;

function memoryWaitEndsAtMs(job: Job): number {
  return job.arrivedAtMs + MEMORY_WAIT_SHARE * (job.deadlineAtMs - job.arrivedAtMs);
}

/** Tells whether engines without other work could hold a prompt together. */
function canHold(engines: number, engine: EngineParameters, job: Job): boolean {
  return (job.generation?.promptTokens ?? 0) <= engines * SINGLE_MEMORY_SHARE * engine.memoryTokens;
}

function planGroup(
  servers: readonly BackendServer[],
  engine: EngineParameters,
  candidates: readonly EngineCandidate[],
  job: Job,
  mayWait: boolean,
  nowMs: number,
): PlacementDecision {
  const group = chooseGroup(candidates, job, nowMs);
  const server = servers.find((candidate) => candidate.id === group?.first);
  if (group === undefined || server === undefined) {
    const leftMs = mayWait && canHold(servers.length, engine, job) ? memoryWaitEndsAtMs(job) - nowMs : 0;
    return leftMs > 0
      ? { kind: DecisionKind.Wait, waitMs: Math.min(leftMs, waitStepMs(job)), cost: valueOf(job) }
      : refuse(RefusalReason.BeyondMemory, NO_SERVER_RETRY_MS);
  }
  const { partTokens, firstEventMs: expectedMs, cost } = group;
  const waitMs = mayWait ? waitFor(engine, job, group, nowMs) : 0;
  if (waitMs > 0) {
    return { kind: DecisionKind.Wait, waitMs, cost };
  }
  const helpers = group.helpers.flatMap((id) => {
    const helper = servers.find((candidate) => candidate.id === id);
    return helper === undefined ? [] : [{ server: helper, partTokens, keepsPart: true }];
  });
  return { kind: DecisionKind.Send, server, helpers, expectedMs, cost };
}

function planSingle(
  servers: readonly BackendServer[],
  engine: EngineParameters,
  candidates: readonly EngineCandidate[],
  job: Job,
  mayWait: boolean,
  nowMs: number,
): PlacementDecision {
  const best = chooseEngine(candidates, job, nowMs);
  const server = servers.find((candidate) => candidate.id === best?.server);
  if (best === undefined || server === undefined) {
    return refuse(RefusalReason.NoServer, NO_SERVER_RETRY_MS);
  }
  if (nowMs + best.firstEventMs > job.deadlineAtMs) {
    return refuse(RefusalReason.TooLate, best.firstEventMs);
  }
  const waitMs = mayWait ? waitFor(engine, job, best, nowMs) : 0;
  return waitMs > 0
    ? { kind: DecisionKind.Wait, waitMs, cost: best.cost }
    : { kind: DecisionKind.Send, server, helpers: [], expectedMs: best.firstEventMs, cost: best.cost };
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
  const candidates = servers.map((server): EngineCandidate => {
    const load = inputs.book.loadAt(server.id, engine, nowMs);
    return {
      server: server.id,
      engine: slowEngine(engine, load.slowdown),
      state: load.engineState,
      jobs: load.jobs,
      strangeness: strangeness(inputs.settings.entry, server.id),
      isBlind: inputs.isBlind,
      roundTripMs: roundTripMs(server, inputs.settings),
    };
  });
  return isBeyondMemory(engine, job)
    ? planGroup(servers, engine, candidates, job, inputs.mayWait, nowMs)
    : planSingle(servers, engine, candidates, job, inputs.mayWait, nowMs);
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
