/** Replays a load of prompts on several entries and engines, without a network, with the engine model as engines. */
import { createRandom } from '@toucanbend/core';
import { EngineSimulation, ExpectedEnd, idleEngine, newRequest } from '@toucanbend/engine-model';
import {
  createLoadTracker,
  DecisionKind,
  type Job,
  type LoadTracker,
  type PlannerInputs,
  planJob,
  splitJob,
} from '@toucanbend/placement';
import { smallEngine as engine } from '../../../../fakes/engine-parameters.js';
import { model, registryOf, settings } from './jobs.js';

/** Interval at which the replay acts, in milliseconds. */
const TICK_MS = 4;
/** Delay of load updates between entries, in milliseconds. */
const UPDATE_DELAY_MS = 4;
/** Largest share of its time left for which a caller waits before it comes back. */
const MAX_RETURN_SHARE = 1 / 3;

/** A load to replay. */
export interface Load {
  readonly jobs: readonly Job[];
  readonly engines: number;
  readonly entries: number;
  /** Inputs in which entries differ from serving ones. */
  readonly options?: Partial<PlannerInputs>;
  /** Engines that are taken away, which end their answers but get no further prompts, and when. */
  readonly leaving?: { readonly engines: number; readonly atMs: number };
}

/** What a caller saw of a prompt. */
export interface Outcome {
  readonly job: Job;
  /** Time of the first event; undefined if there was none. */
  startedAtMs?: number;
  /** Time at which the prompt was sent to an engine. */
  sentAtMs?: number;
  /** Times of rejections. */
  readonly rejectedAtMs: number[];
  readonly retryAfterMs: number[];
}

interface Pending {
  job: Job;
  readonly entry: number;
  nextAtMs: number;
  readonly outcome: Outcome;
}

/**
 * Replays a load.
 *
 * @param load - the prompts, entries and engines
 * @param seed - seed of the replay
 * @returns the outcome of each prompt, in the order of `load.jobs`
 */
export function replay(load: Load, seed: number): readonly Outcome[] {
  const random = createRandom(seed);
  const ids = Array.from({ length: load.engines }, (_, index) => `e${String(index)}`);
  const simulations = new Map(
    ids.map((id) => [id, new EngineSimulation(engine, idleEngine, ExpectedEnd.Leaves)] as const),
  );
  const trackers = Array.from({ length: load.entries }, createLoadTracker);
  const updates: { atMs: number; apply: (tracker: LoadTracker) => void; except: number }[] = [];
  const share = (from: number, atMs: number, apply: (tracker: LoadTracker) => void): void => {
    apply(trackers[from] ?? createLoadTracker());
    updates.push({ atMs: atMs + UPDATE_DELAY_MS, apply, except: from });
  };
  const outcomes = load.jobs.map((job): Outcome => ({ job, rejectedAtMs: [], retryAfterMs: [] }));
  let waiting = outcomes.map((outcome, index): Pending => {
    return { job: outcome.job, entry: index % load.entries, nextAtMs: outcome.job.arrivedAtMs, outcome };
  });
  const running = new Map<string, { server: string; entry: number; outcome: Outcome }>();
  const registries = [registryOf(...ids), registryOf(...ids.slice(load.leaving?.engines ?? 0))] as const;

  const act = (pending: Pending, nowMs: number): boolean => {
    const { job, entry, outcome } = pending;
    const inputs: PlannerInputs = {
      registry: registries[nowMs >= (load.leaving?.atMs ?? Infinity) ? 1 : 0],
      loadTracker: trackers[entry] ?? createLoadTracker(),
      restrictions: { availableAtMs: () => Number.NEGATIVE_INFINITY },
      settings: { ...settings, entry: `entry-${String(entry)}` },
      mayWait: true,
      mayYield: true,
      hasPartialLoadView: false,
      replacesAttempt: false,
      ...load.options,
    };
    const decision = planJob(job, model, new Set(), inputs, nowMs);
    if (decision.kind === DecisionKind.Wait) {
      pending.nextAtMs = nowMs + decision.waitMs * (0.5 + random.fraction() / 2);
      return true;
    }
    if (decision.kind === DecisionKind.Reject) {
      outcome.rejectedAtMs.push(nowMs);
      outcome.retryAfterMs.push(decision.retryAfterMs);
      const delayMs = Math.min(decision.retryAfterMs, MAX_RETURN_SHARE * (job.deadlineAtMs - nowMs));
      pending.nextAtMs = nowMs + delayMs;
      pending.job = { ...job, arrivedAtMs: pending.nextAtMs };
      return outcome.rejectedAtMs.length === 1;
    }
    outcome.sentAtMs = nowMs;
    for (const part of splitJob(job, decision.server, decision.helpers, nowMs + decision.expectedMs)) {
      const { server, job: placed } = part;
      const { generation } = placed;
      if (generation !== undefined) {
        simulations.get(server.id)?.add(newRequest(placed.id, generation));
      }
      running.set(placed.id, { server: server.id, entry, outcome });
      share(entry, nowMs, (tracker) => {
        tracker.placed(`entry-${String(entry)}`, server.id, engine, placed, nowMs);
      });
    }
    return false;
  };

  const endsAtMs = Math.max(...load.jobs.map((job) => job.deadlineAtMs));
  for (let nowMs = 0; nowMs < endsAtMs; nowMs += TICK_MS) {
    for (const simulation of simulations.values()) {
      while (simulation.passStartsAtMs <= nowMs) {
        simulation.runPass(
          () => undefined,
          (id) => {
            const outcome = running.get(id)?.outcome;
            if (outcome?.job.id === id) {
              outcome.startedAtMs ??= nowMs;
            }
          },
        );
      }
    }
    const present = new Set(
      [...simulations.values()].flatMap((one) => one.state().requests.map(({ id }) => id)),
    );
    for (const [id, { server, entry }] of running) {
      if (!present.has(id)) {
        running.delete(id);
        share(entry, nowMs, (tracker) => {
          tracker.ended(server, id);
        });
      }
    }
    while ((updates[0]?.atMs ?? Infinity) <= nowMs) {
      const update = updates.shift();
      trackers.forEach((tracker, index) => {
        if (index !== update?.except) {
          update?.apply(tracker);
        }
      });
    }
    waiting = waiting.filter((pending) => pending.nextAtMs > nowMs || act(pending, nowMs));
  }
  return outcomes;
}

/**
 * Returns the share of prompts whose first event met their target, counted from their first arrival.
 *
 * @param outcomes - outcomes of prompts
 * @returns a share from 0 to 1
 */
export function shareInTime(outcomes: readonly Outcome[]): number {
  const inTime = outcomes.filter(
    ({ job, startedAtMs = Infinity }) => startedAtMs - job.arrivedAtMs <= job.targetMs,
  );
  return inTime.length / Math.max(1, outcomes.length);
}
