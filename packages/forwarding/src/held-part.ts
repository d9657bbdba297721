/** Memory at one engine: kept while a request uses it there, and given back for good. */
import { type Clock } from '@toucanbend/core';
import { DecisionKind, type Logger, type LogValue } from '@toucanbend/observability';
import { type Helper } from '@toucanbend/placement';
import { type BackendServer } from '@toucanbend/registry';
import { type Result } from 'neverthrow';
import { type EngineMemory, type MemoryError, MemoryOrder, OrderFailure } from './memory.js';
import { type ForwardingMetrics } from './metrics.js';
import {
  afterLook,
  afterRelease,
  afterReserve,
  afterReturnLook,
  decideRenewal,
  decideReturn,
  type KeptMemory,
  type MemoryBounds,
  MemoryUse,
  RenewalDecision,
  reservationTimes,
  type ReservationTimes,
  ReturnDecision,
  unreserved,
} from './renewal.js';

/** Why memory is given back. */
export enum ReleaseCause {
  /** The attempt that it was for has ended. */
  Ended = 'ended',
  /** Not all engines had room. */
  Incomplete = 'incomplete',
  /** No request uses it. */
  Idle = 'idle',
  /** It was given back before, and a late order has set it aside again. */
  LateOrder = 'late_order',
}

/** Pause before a failed release is sent once more, in milliseconds. */
const RELEASE_RETRY_MS = 300;

/** What reservations need. */
export interface ReservationContext {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly memory: EngineMemory;
  readonly metrics: Pick<ForwardingMetrics, 'countOrder'>;
  readonly memoryBounds: MemoryBounds;
}

/** The request that memory is set aside for. */
export interface ReservationOwner {
  readonly requestId: string;
  /** Name of the reservation at each engine. */
  readonly name: string;
  /** The server that gets the request. */
  readonly server: BackendServer;
  /** Learns, once at most, that an engine does not use the memory any more; all of it has been given back then. */
  readonly onIdle: () => void;
}

/** Memory at one engine. */
export class HeldPart {
  readonly #context: ReservationContext;
  readonly #owner: ReservationOwner;
  readonly #helper: Helper;
  readonly #times: ReservationTimes;
  #kept: KeptMemory;
  #isReleased = false;
  #isReturning = false;
  #cancelTimer = (): void => undefined;
  renewals = 0;
  unanswered = 0;

  constructor(context: ReservationContext, owner: ReservationOwner, helper: Helper) {
    this.#context = context;
    this.#owner = owner;
    this.#helper = helper;
    this.#times = reservationTimes(context.memoryBounds);
    this.#kept = unreserved(context.clock.now());
  }

  /**
   * Sets memory aside, or renews it.
   *
   * @param order - which of the two, for the log and the metrics
   * @returns why it was not done, where it was not
   */
  async reserve(order: MemoryOrder.Reserve | MemoryOrder.Renew): Promise<Result<void, MemoryError>> {
    const { server, partTokens } = this.#helper;
    const { holdMs } = this.#times;
    const result = await this.#context.memory.reserve(server, this.#owner.name, partTokens, holdMs);
    const failure = this.#note(order, result);
    this.#kept = afterReserve(this.#kept, holdMs, failure, this.#context.clock.now());
    return result;
  }

  /**
   * Keeps the memory for as long as a request uses it, or may come to.
   *
   * @param onIdle - learns that none does any more; the memory is then to be released
   */
  keep(onIdle: () => void): void {
    this.#lookAfter(this.#times.lookMs, onIdle);
  }

  /**
   * Gives the memory back, and watches the engine for as long as an order may set it aside once more.
   *
   * @returns resolves once it is free for good
   */
  async release(): Promise<void> {
    this.#isReleased = true;
    this.#cancelTimer();
    if (this.#isReturning) {
      return;
    }
    this.#isReturning = true;
    let decision = this.#decideReturn();
    while (decision !== ReturnDecision.Done) {
      await (decision === ReturnDecision.Release ? this.#returnOnce() : this.#lookForReturn());
      decision = this.#decideReturn();
    }
    this.#isReturning = false;
  }

  /** Logs a decision about the memory of this request. */
  log(order: MemoryOrder, fields: Readonly<Record<string, LogValue>>): void {
    const { requestId, name } = this.#owner;
    this.#context.logger.decision({
      decision: DecisionKind.Memory,
      request: requestId,
      fields: { order, name, ...fields },
    });
  }

  #lookAfter(delayMs: number, onIdle: () => void): void {
    this.#cancelTimer = this.#context.clock.after(delayMs, () => {
      void this.#look(onIdle);
    });
  }

  async #look(onIdle: () => void): Promise<void> {
    const use = await this.#use();
    const mayWait = use === MemoryUse.Idle && !this.#kept.wasUsed;
    const isServerAlive = mayWait && (await this.#context.memory.list(this.#owner.server)).isOk();
    if (this.#isReleased) {
      return;
    }
    this.#kept = afterLook(this.#kept, use);
    const nowMs = this.#context.clock.now();
    switch (decideRenewal(this.#kept, { use, isServerAlive }, this.#times, nowMs)) {
      case RenewalDecision.Renew:
        this.#lookAfter(this.#times.lookMs, onIdle);
        await this.#renew();
        return;
      case RenewalDecision.LookAgain:
        this.#lookAfter(this.#times.idleLookMs, onIdle);
        return;
      case RenewalDecision.GiveUp:
        this.#logGivenUp(use);
        onIdle();
    }
  }

  #logGivenUp(use: MemoryUse): void {
    const { sinceMs, wasUsed, idleLooks } = this.#kept;
    const ageMs = Math.round(this.#context.clock.now() - sinceMs);
    this.log(MemoryOrder.Renew, {
      engine: this.#helper.server.id,
      decided: 'give_up',
      use,
      wasUsed,
      idleLooks,
      ageMs,
    });
  }

  #logFailure(order: MemoryOrder, error: MemoryError): void {
    this.log(order, { engine: error.server, failure: error.failure, detail: error.message });
  }

  async #use(): Promise<MemoryUse> {
    const listed = await this.#context.memory.list(this.#helper.server);
    if (listed.isErr()) {
      return MemoryUse.Unknown;
    }
    const held = listed.value.find((memory) => memory.name === this.#owner.name);
    if (held === undefined) {
      return MemoryUse.Absent;
    }
    return held.isUsed ? MemoryUse.Used : MemoryUse.Idle;
  }

  #decideReturn(): ReturnDecision {
    return decideReturn(this.#kept, this.#context.clock.now());
  }

  async #returnOnce(): Promise<void> {
    const released = await this.#context.memory.release(this.#helper.server, this.#owner.name);
    this.#kept = afterRelease(this.#kept, this.#note(MemoryOrder.Release, released));
    if (released.isErr()) {
      this.#logFailure(MemoryOrder.Release, released.error);
      await this.#pause(RELEASE_RETRY_MS);
    }
  }

  async #lookForReturn(): Promise<void> {
    await this.#pause(this.#times.idleLookMs);
    const use = await this.#use();
    this.#kept = afterReturnLook(this.#kept, use, this.#times.holdMs, this.#context.clock.now());
    if (this.#decideReturn() === ReturnDecision.Release) {
      this.log(MemoryOrder.Release, { engine: this.#helper.server.id, cause: ReleaseCause.LateOrder, use });
    }
  }

  #pause(ms: number): Promise<void> {
    return new Promise((resolve) => this.#context.clock.after(ms, resolve));
  }

  async #renew(): Promise<void> {
    this.renewals += 1;
    const renewed = await this.reserve(MemoryOrder.Renew);
    if (renewed.isErr()) {
      this.#logFailure(MemoryOrder.Renew, renewed.error);
    }
    if (this.#isReleased) {
      await this.release();
    }
  }

  /** Counts an order, and gives why it failed. */
  #note(order: MemoryOrder, result: Result<void, MemoryError>): OrderFailure | undefined {
    const failure = result.isErr() ? result.error.failure : undefined;
    this.unanswered += failure === OrderFailure.Unanswered ? 1 : 0;
    this.#context.metrics.countOrder(order, failure);
    return failure;
  }
}
