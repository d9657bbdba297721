/** Injects random faults into real processes under load and checks the guarantees to callers throughout. */
import { createRandom, type Random } from '@toucanbend/core';
import { requestCompletion, callService, type CallerResult, makePrompt } from '../../fakes/caller.js';
import { EngineFault } from '../../fakes/engine.js';
import { callJson, CONFIRM_PATH, type Fleet, type FleetNode, startFleet, until } from '../../fakes/fleet.js';
import { RelayFault } from '../../fakes/relay.js';
import { ServiceFault } from '../../fakes/service.js';
import { StoreFault } from '../../fakes/store.js';
import { expectedAnswer } from '../../fakes/text.js';
import { atMost, type Scenario } from '../scenario.js';

/** The kinds of faults that the scenario injects at random. */
enum ChaosFault {
  KillEntry = 'kill_entry',
  KillSide = 'kill_side',
  FreezeSide = 'freeze_side',
  StopSide = 'stop_side',
  KillEngine = 'kill_engine',
  SilenceEngine = 'silence_engine',
  LoseServiceAnswers = 'lose_service_answers',
  StoreOut = 'store_out',
  StoreHangs = 'store_hangs',
  StoreLosesAnswers = 'store_loses_answers',
  ForgetConnections = 'forget_connections',
  CutRoute = 'cut_route',
}

/** The guarantees that are checked; violations are reported under these names. */
enum ChaosGuarantee {
  InTime = 'in_time',
  WholeAnswer = 'whole_answer',
  NotRunIsTrue = 'not_run_is_true',
  AtMostOnce = 'at_most_once',
  MemoryReturns = 'memory_returns',
  GracefulStop = 'graceful_stop',
  ConfigurationHolds = 'configuration_holds',
}

const COMPLETIONS_PER_SECOND = 12;
const CONFIRMATIONS_PER_SECOND = 12;
const FAULT_INTERVAL_MS = 500;
const FAULT_DURATION_MS = 900;
const DEADLINE_MS = 6_000;
/** Time past its deadline after which a response counts as late. */
const DEADLINE_TOLERANCE_MS = 250;
/** Time after the load within which engines must have released all reserved memory. */
const MEMORY_RELEASE_TIMEOUT_MS = 20_000;
const engine = { prefillTokensPerMs: 200, iterationMs: 2, perAnswerMs: 0.02 };

/** Counts of the run; reported under these keys. */
interface ChaosCounts {
  readonly requests: Record<string, number>;
  readonly faults: Record<string, number>;
  readonly violations: Record<ChaosGuarantee, number>;
  readonly details: string[];
}

function increment(counts: Record<string, number>, name: string): void {
  counts[name] = (counts[name] ?? 0) + 1;
}

/** Runs load and faults against a fleet and records violations. */
class ChaosRun {
  readonly #fleet: Fleet;
  readonly #random: Random;
  readonly #killedEntries = new Set<number>();
  readonly #faulty = new Set<string>();
  readonly #confirmed = new Map<string, CallerResult[]>();
  readonly counts: ChaosCounts;
  #isRunning = true;

  constructor(fleet: Fleet, seed: number) {
    this.#fleet = fleet;
    this.#random = createRandom(seed);
    this.counts = {
      requests: {},
      faults: {},
      violations: {
        [ChaosGuarantee.InTime]: 0,
        [ChaosGuarantee.WholeAnswer]: 0,
        [ChaosGuarantee.NotRunIsTrue]: 0,
        [ChaosGuarantee.AtMostOnce]: 0,
        [ChaosGuarantee.MemoryReturns]: 0,
        [ChaosGuarantee.GracefulStop]: 0,
        [ChaosGuarantee.ConfigurationHolds]: 0,
      },
      details: [],
    };
  }

  async run(seconds: number): Promise<void> {
    const endAt = performance.now() + seconds * 1_000;
    const requests: Promise<void>[] = [];
    const completions = this.#startAtRate(COMPLETIONS_PER_SECOND, endAt, (index) =>
      requests.push(this.#sendCompletion(index)),
    );
    const confirmations = this.#startAtRate(CONFIRMATIONS_PER_SECOND, endAt, (index) =>
      requests.push(this.#sendConfirmation(index)),
    );
    const faults: Promise<void>[] = [];
    const injection = this.#startAtRate(1_000 / FAULT_INTERVAL_MS, endAt, () =>
      faults.push(this.#injectRandomFault()),
    );
    const monitoring = this.#monitorRevisions();
    await Promise.all([completions, confirmations, injection]);
    await Promise.all(faults);
    await Promise.all(requests);
    this.#isRunning = false;
    await monitoring;
    await this.#checkServiceRuns();
    await this.#checkMemoryReleased();
  }

  #recordViolation(guarantee: ChaosGuarantee, detail: string): void {
    this.counts.violations[guarantee] += 1;
    this.counts.details.push(`${guarantee}: ${detail}`);
  }

  /** Calls `start` at random intervals, at the given mean rate, until `endAt`. */
  async #startAtRate(perSecond: number, endAt: number, start: (index: number) => unknown): Promise<void> {
    for (let index = 0; performance.now() < endAt; index += 1) {
      start(index);
      await new Promise((resolve) => setTimeout(resolve, (2 * this.#random.fraction() * 1_000) / perSecond));
    }
  }

  /** Returns the index of a random entry. */
  #drawEntry(): number {
    return this.#random.below(this.#fleet.entries.length);
  }

  /**
   * Checks that a caller received an outcome before its deadline. A missing outcome is a violation only if the entry
   * was never killed during the run.
   */
  #checkDeadline(result: CallerResult, entry: number, what: string): void {
    increment(this.counts.requests, result.outcome === '' ? 'connection_lost' : result.outcome);
    if (result.outcome === '' && !this.#killedEntries.has(entry)) {
      this.#recordViolation(ChaosGuarantee.InTime, `${what} received no outcome`);
    }
    if (result.elapsedMs > DEADLINE_MS + DEADLINE_TOLERANCE_MS) {
      this.#recordViolation(
        ChaosGuarantee.InTime,
        `${what} was answered after ${String(Math.round(result.elapsedMs))} ms`,
      );
    }
  }

  async #sendCompletion(index: number): Promise<void> {
    const entry = this.#drawEntry();
    const maxTokens = 5 + this.#random.below(150);
    const prompt = makePrompt(1_000 + this.#random.below(20_000), `chaos ${String(index)}`);
    const result = await requestCompletion({
      port: this.#fleet.entries[entry]?.callerPort ?? 0,
      key: this.#fleet.keyOf('patan'),
      prompt,
      maxTokens,
      deadlineMs: DEADLINE_MS,
    });
    this.#checkDeadline(result, entry, `completion ${String(index)}`);
    const expected = expectedAnswer(prompt, maxTokens);
    const isCorrect =
      result.outcome === 'complete' ? result.text === expected : expected.startsWith(result.text);
    if (!isCorrect) {
      this.#recordViolation(
        ChaosGuarantee.WholeAnswer,
        `completion ${String(index)} ended as ${result.outcome}`,
      );
    }
    if (result.outcome === 'not_run' && result.text !== '') {
      this.#recordViolation(ChaosGuarantee.NotRunIsTrue, `completion ${String(index)} returned tokens`);
    }
  }

  async #sendConfirmation(index: number): Promise<void> {
    const body = `order ${String(index)}`;
    const sendCount = 1 + this.#random.below(3);
    const results: CallerResult[] = [];
    this.#confirmed.set(body, results);
    for (let send = 0; send < sendCount; send += 1) {
      const entry = this.#drawEntry();
      const result = await callService({
        port: this.#fleet.entries[entry]?.callerPort ?? 0,
        key: this.#fleet.keyOf('patan'),
        path: CONFIRM_PATH,
        body,
        idempotencyKey: body,
        deadlineMs: DEADLINE_MS,
      });
      this.#checkDeadline(result, entry, body);
      results.push(result);
    }
  }

  /** Compares the number of times each order ran at the services with the outcomes that callers received. */
  async #checkServiceRuns(): Promise<void> {
    const runs = new Map<string, number>();
    for (const backend of this.#fleet.backends.filter(({ name }) => name.startsWith('orders'))) {
      for (const [body, times] of Object.entries(
        await callJson<Record<string, number>>(backend.port, '/runs'),
      )) {
        runs.set(body, (runs.get(body) ?? 0) + times);
      }
    }
    for (const [body, results] of this.#confirmed) {
      const times = runs.get(body) ?? 0;
      const outcomes = results.map(({ outcome }) => outcome).join(', ');
      if (times > 1) {
        this.#recordViolation(ChaosGuarantee.AtMostOnce, `${body} ran ${String(times)} times: ${outcomes}`);
      }
      if (times > 0 && results.length > 0 && results.every(({ outcome }) => outcome === 'not_run')) {
        this.#recordViolation(ChaosGuarantee.NotRunIsTrue, `${body} ran: ${outcomes}`);
      }
      if (times === 0 && results.some(({ outcome }) => outcome === 'complete')) {
        this.#recordViolation(ChaosGuarantee.WholeAnswer, `${body} did not run: ${outcomes}`);
      }
    }
  }

  /** Checks that every engine releases its reserved memory after the load has ended. */
  async #checkMemoryReleased(): Promise<void> {
    for (const backend of this.#fleet.backends.filter(({ name }) => name.startsWith('engine'))) {
      const isFree = async (): Promise<boolean> =>
        (await callJson<{ usedTokens: number }>(backend.port, '/status')).usedTokens === 0;
      await until(isFree, `${backend.name} to release its memory`, MEMORY_RELEASE_TIMEOUT_MS).catch(() => {
        this.#recordViolation(ChaosGuarantee.MemoryReturns, `${backend.name} still holds reserved memory`);
      });
    }
  }

  /** Polls every process and records a violation if the active revision of an incarnation decreases. */
  async #monitorRevisions(): Promise<void> {
    const revisions = new Map<string, number>();
    while (this.#isRunning) {
      for (const node of [...this.#fleet.entries, ...this.#fleet.sides]) {
        const status = await callJson<{ revision: number; incarnation: string }>(
          node.operatorPort,
          '/status',
        ).catch(() => undefined);
        if (status !== undefined) {
          const previous = revisions.get(status.incarnation) ?? 0;
          if (status.revision < previous) {
            this.#recordViolation(
              ChaosGuarantee.ConfigurationHolds,
              `${node.name} went back to revision ${String(status.revision)}`,
            );
          }
          revisions.set(status.incarnation, status.revision);
        }
        await new Promise((resolve) => setTimeout(resolve, 20));
      }
    }
  }

  /** Draws an item that has no fault at present; undefined if there is none. */
  #drawHealthy<Item extends { readonly name: string }>(items: readonly Item[]): Item | undefined {
    const healthy = items.filter((item) => !this.#faulty.has(item.name));
    return healthy[this.#random.below(Math.max(1, healthy.length))];
  }

  /** Counts a fault and marks its target as faulty while the action runs. */
  async #withFault(name: string, fault: ChaosFault, action: () => Promise<void>): Promise<void> {
    this.#faulty.add(name);
    increment(this.counts.faults, fault);
    try {
      await action();
    } finally {
      this.#faulty.delete(name);
    }
  }

  async #injectRandomFault(): Promise<void> {
    const faults = Object.values(ChaosFault);
    const fault = faults[this.#random.below(faults.length)] ?? ChaosFault.KillSide;
    switch (fault) {
      case ChaosFault.KillEntry:
        await this.#killEntry(fault);
        return;
      case ChaosFault.KillSide:
      case ChaosFault.FreezeSide:
      case ChaosFault.StopSide:
        await this.#injectSideFault(fault);
        return;
      case ChaosFault.KillEngine:
      case ChaosFault.SilenceEngine:
        await this.#injectEngineFault(fault);
        return;
      case ChaosFault.LoseServiceAnswers:
        await this.#injectServiceFault(fault);
        return;
      case ChaosFault.StoreOut:
        await this.#injectStoreFault(fault, StoreFault.Out);
        return;
      case ChaosFault.StoreHangs:
        await this.#injectStoreFault(fault, StoreFault.Hang);
        return;
      case ChaosFault.StoreLosesAnswers:
        await this.#injectStoreFault(fault, StoreFault.LoseAnswers);
        return;
      case ChaosFault.ForgetConnections:
      case ChaosFault.CutRoute:
        await this.#injectRouteFault(fault);
        return;
    }
  }

  /** Kills and restarts an entry, unless another entry is being restarted. */
  async #killEntry(fault: ChaosFault): Promise<void> {
    const entry = this.#drawHealthy(this.#fleet.entries);
    if (entry === undefined || this.#fleet.entries.some(({ name }) => this.#faulty.has(name))) {
      return;
    }
    await this.#withFault(entry.name, fault, async () => {
      this.#killedEntries.add(this.#fleet.entries.indexOf(entry));
      await restart(entry, 'SIGKILL');
    });
  }

  async #injectSideFault(fault: ChaosFault): Promise<void> {
    const side = this.#drawHealthy(this.#fleet.sides);
    if (side === undefined) {
      return;
    }
    await this.#withFault(side.name, fault, async () => {
      if (fault === ChaosFault.FreezeSide) {
        side.process.signal('SIGSTOP');
        await pause(FAULT_DURATION_MS * 2);
        side.process.signal('SIGCONT');
        return;
      }
      const code = await restart(side, fault === ChaosFault.KillSide ? 'SIGKILL' : 'SIGTERM');
      if (fault === ChaosFault.StopSide && code !== 0) {
        this.#recordViolation(ChaosGuarantee.GracefulStop, `${side.name} ended with ${String(code)}`);
      }
    });
  }

  async #injectEngineFault(fault: ChaosFault): Promise<void> {
    const backend = this.#drawHealthy(this.#fleet.backends.filter(({ name }) => name.startsWith('engine')));
    if (backend === undefined) {
      return;
    }
    await this.#withFault(backend.name, fault, async () => {
      if (fault === ChaosFault.KillEngine) {
        backend.process.signal('SIGKILL');
        await backend.process.exited;
        await backend.restart();
        return;
      }
      await callJson(backend.port, '/fault', EngineFault.Silent);
      await pause(FAULT_DURATION_MS);
      await callJson(backend.port, '/fault', EngineFault.None);
    });
  }

  async #injectServiceFault(fault: ChaosFault): Promise<void> {
    const backend = this.#drawHealthy(this.#fleet.backends.filter(({ name }) => name.startsWith('orders')));
    if (backend === undefined) {
      return;
    }
    await this.#withFault(backend.name, fault, async () => {
      await callJson(backend.port, '/fault', ServiceFault.LoseAnswer);
      await pause(FAULT_DURATION_MS);
      await callJson(backend.port, '/fault', ServiceFault.None);
    });
  }

  async #injectStoreFault(fault: ChaosFault, storeFault: StoreFault): Promise<void> {
    if (this.#faulty.has('store')) {
      return;
    }
    await this.#withFault('store', fault, async () => {
      await callJson(this.#fleet.store.port, '/fault', storeFault);
      await pause(FAULT_DURATION_MS);
      await callJson(this.#fleet.store.port, '/fault', StoreFault.None);
    });
  }

  async #injectRouteFault(fault: ChaosFault): Promise<void> {
    const side = this.#fleet.sides[this.#random.below(this.#fleet.sides.length)];
    if (side === undefined) {
      return;
    }
    await this.#withFault(`route ${side.name}`, fault, async () => {
      const relayFault = fault === ChaosFault.CutRoute ? RelayFault.Cut : RelayFault.Forget;
      await callJson(this.#fleet.relay.port, '/fault', { name: side.name, fault: relayFault });
      await pause(FAULT_DURATION_MS);
      await callJson(this.#fleet.relay.port, '/fault', { name: side.name, fault: RelayFault.None });
    });
  }
}

function pause(forMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, forMs));
}

/** Sends a signal, waits for the process to exit, starts it again, and returns the exit code or signal. */
async function restart(node: FleetNode, signal: NodeJS.Signals): Promise<number | string> {
  node.process.signal(signal);
  const code = await node.process.exited;
  await node.restart();
  return code;
}

export const chaos: Scenario = {
  name: 'chaos',
  description: 'random kills, freezes, outages and link failures under load, with all guarantees checked',
  seconds: 25,
  run: async ({ seed, seconds }) => {
    const fleet = await startFleet({
      dataCentres: [
        { name: 'dc-1', region: 'bagmati' },
        { name: 'dc-2', region: 'bagmati' },
      ],
      entries: [1, 2, 3].map((index) => ({
        name: `entry-${String(index)}`,
        dataCentre: index === 3 ? 'dc-2' : 'dc-1',
      })),
      backends: [
        ...[1, 2, 3, 4].map((index) => ({
          name: `engine-${String(index)}`,
          dataCentre: index > 2 ? 'dc-2' : 'dc-1',
          engine,
        })),
        ...[1, 2, 3].map((index) => ({
          name: `orders-${String(index)}`,
          dataCentre: index > 1 ? 'dc-2' : 'dc-1',
          serviceDelayMs: 60,
        })),
      ],
      accounts: [{ name: 'patan' }],
      relayDelaysMs: {},
      sideSettings: { attachGraceMs: 1_500, stallMs: 1_000 },
    });
    try {
      const chaosRun = new ChaosRun(fleet, seed);
      await chaosRun.run(seconds);
      const { requests, faults, violations, details } = chaosRun.counts;
      return {
        policies: {},
        ratios: {},
        figures: { requests, faults, violations, details: details.slice(0, 20) },
        targets: Object.entries(violations).map(([name, times]) => atMost(name, 0, times)),
      };
    } finally {
      await fleet.stop();
    }
  },
};
