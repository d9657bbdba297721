/** The memory reservation for one part of a prompt at one engine: reserves, renews and releases it. */
import { type Clock } from '@toucanbend/core';
import { DecisionKind, type Logger, type LogValue } from '@toucanbend/observability';
import { type Helper } from '@toucanbend/placement';
import { type BackendServer } from '@toucanbend/registry';
import { type Result } from 'neverthrow';
import { type EngineMemory, type MemoryError, MemoryOrder, OrderFailure } from './memory.js';
import { type ForwardingMetrics } from './metrics.js';
import { readPendingInput } from './pending-input.js';
import {
  afterCheck,
  afterRelease,
  afterReserve,
  afterReleaseCheck,
  decideRenewal,
  decideRelease,
  nextCheckMs,
  renewalLeaseMs,
  type ReservationState,
  type MemoryBounds,
  MemoryUse,
  RenewalDecision,
  reservationTimes,
  type ReservationTimes,
  ReleaseDecision,
  createReservationState,
  withLastEvent,
} from './renewal.js';

/** Why memory is released. */
export enum ReleaseCause {
  /** The attempt has ended. */
  Ended = 'ended',
  /** Not all engines reserved their part. */
  Incomplete = 'incomplete',
  /** The data centre of one of the engines was evacuated before the request was sent. */
  Evacuated = 'evacuated',
  /** No request uses the memory. */
  Idle = 'idle',
  /** An engine executed a reserve order late and so reserved the memory again after its release. */
  LateOrder = 'late_order',
}

/** Delay before a failed release is sent again, in milliseconds. */
const RELEASE_RETRY_MS = 300;

/** The dependencies of reservations. */
export interface ReservationContext {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly memory: EngineMemory;
  readonly metrics: Pick<ForwardingMetrics, 'countOrder'>;
  readonly memoryBounds: MemoryBounds;
}

/** The attempt that memory is reserved for. */
export interface ReservationOwner {
  readonly requestId: string;
  /** Name of the reservation at each engine. */
  readonly name: string;
  /** The server that gets the request. */
  readonly server: BackendServer;
  /** Called at most once, when an engine no longer uses the memory; the release at all engines has then begun. */
  readonly onIdle: () => void;
}

/** A reservation at one engine. */
export class PartReservation {
  readonly #context: ReservationContext;
  readonly #owner: ReservationOwner;
  readonly #helper: Helper;
  readonly #times: ReservationTimes;
  #state: ReservationState;
  #isReleased = false;
  #isReleasing = false;
  #cancelTimer = (): void => undefined;
  renewals = 0;
  unanswered = 0;

  constructor(context: ReservationContext, owner: ReservationOwner, helper: Helper) {
    this.#context = context;
    this.#owner = owner;
    this.#helper = helper;
    this.#times = reservationTimes(context.memoryBounds);
    this.#state = createReservationState(context.clock.now());
  }

  /**
   * Reserves the memory or renews its lease.
   *
   * @param order - which of the two, for the metrics
   * @param leaseMs - the lease duration, in milliseconds
   * @returns the error if the engine did not confirm the order
   */
  async reserve(
    order: MemoryOrder.Reserve | MemoryOrder.Renew,
    leaseMs = this.#times.leaseMs,
  ): Promise<Result<void, MemoryError>> {
    const { server, partTokens } = this.#helper;
    const result = await this.#context.memory.reserve(server, this.#owner.name, partTokens, leaseMs);
    const failure = this.#recordOutcome(order, result);
    this.#state = afterReserve(this.#state, leaseMs, failure, this.#context.clock.now());
    return result;
  }

  /**
   * Starts to check and renew the reservation for as long as a request uses the memory or may still be queued.
   *
   * @param onIdle - called when no request uses the memory any more; the caller then releases it
   */
  startRenewal(onIdle: () => void): void {
    this.#scheduleCheck(this.#times.checkIntervalMs, onIdle);
  }

  /** Records that an event of the answer has arrived now, which shows that the request runs. */
  recordEvent(): void {
    this.#state = { ...this.#state, lastEventAtMs: this.#context.clock.now() };
  }

  /**
   * Releases the memory, and checks the engine for as long as a late order may reserve it again.
   *
   * @returns resolves when the release is final
   */
  async release(): Promise<void> {
    this.#isReleased = true;
    this.#cancelTimer();
    if (this.#isReleasing) {
      return;
    }
    this.#isReleasing = true;
    let decision = this.#decideRelease();
    while (decision !== ReleaseDecision.Done) {
      await (decision === ReleaseDecision.Release ? this.#sendRelease() : this.#checkAfterRelease());
      decision = this.#decideRelease();
    }
    this.#isReleasing = false;
  }

  /** Logs a decision about this request's memory. */
  log(order: MemoryOrder, fields: Readonly<Record<string, LogValue>>): void {
    const { requestId, name } = this.#owner;
    this.#context.logger.decision({
      decision: DecisionKind.Memory,
      request: requestId,
      fields: { order, name, ...fields },
    });
  }

  #scheduleCheck(delayMs: number, onIdle: () => void): void {
    this.#cancelTimer = this.#context.clock.after(delayMs, () => {
      void this.#check(onIdle);
    });
  }

  async #check(onIdle: () => void): Promise<void> {
    const askedAtMs = this.#context.clock.now();
    const use = await this.#readUse();
    const mayBeQueued = use === MemoryUse.Idle && !this.#state.wasUsed;
    const isServerAlive = mayBeQueued && (await this.#context.memory.list(this.#owner.server)).isOk();
    if (use === MemoryUse.Unknown) {
      // The end of the answer may have arrived too, and is read after its last event.
      await readPendingInput(this.#context.clock);
    }
    if (this.#isReleased) {
      return;
    }
    const nowMs = this.#context.clock.now();
    const check = withLastEvent(this.#state, { use, isServerAlive, askedAtMs }, this.#times, nowMs);
    this.#state = afterCheck(this.#state, check.use);
    switch (decideRenewal(this.#state, check, this.#times, nowMs)) {
      case RenewalDecision.Renew:
        this.#scheduleCheck(nextCheckMs(check, this.#times, nowMs), onIdle);
        await this.#renew(renewalLeaseMs(check, this.#times, nowMs));
        return;
      case RenewalDecision.CheckAgain:
        this.#scheduleCheck(this.#times.idleCheckIntervalMs, onIdle);
        return;
      case RenewalDecision.GiveUp:
        this.#logGiveUp(use);
        onIdle();
    }
  }

  #logGiveUp(use: MemoryUse): void {
    const { requestedAtMs, wasUsed, idleChecks } = this.#state;
    const ageMs = Math.round(this.#context.clock.now() - requestedAtMs);
    this.log(MemoryOrder.Renew, {
      engine: this.#helper.server.id,
      decided: 'give_up',
      use,
      wasUsed,
      idleChecks,
      ageMs,
    });
  }

  #logFailure(order: MemoryOrder, error: MemoryError): void {
    this.log(order, { engine: error.server, failure: error.failure, detail: error.message });
  }

  async #readUse(): Promise<MemoryUse> {
    const listed = await this.#context.memory.list(this.#helper.server);
    if (listed.isErr()) {
      return MemoryUse.Unknown;
    }
    const reserved = listed.value.find((memory) => memory.name === this.#owner.name);
    if (reserved === undefined) {
      return MemoryUse.Absent;
    }
    return reserved.isUsed ? MemoryUse.Used : MemoryUse.Idle;
  }

  #decideRelease(): ReleaseDecision {
    return decideRelease(this.#state, this.#context.clock.now());
  }

  async #sendRelease(): Promise<void> {
    const released = await this.#context.memory.release(this.#helper.server, this.#owner.name);
    this.#state = afterRelease(this.#state, this.#recordOutcome(MemoryOrder.Release, released));
    if (released.isErr()) {
      this.#logFailure(MemoryOrder.Release, released.error);
      await this.#delay(RELEASE_RETRY_MS);
    }
  }

  async #checkAfterRelease(): Promise<void> {
    await this.#delay(this.#times.idleCheckIntervalMs);
    const use = await this.#readUse();
    this.#state = afterReleaseCheck(this.#state, use, this.#times.leaseMs, this.#context.clock.now());
    if (this.#decideRelease() === ReleaseDecision.Release) {
      this.log(MemoryOrder.Release, { engine: this.#helper.server.id, cause: ReleaseCause.LateOrder, use });
    }
  }

  #delay(ms: number): Promise<void> {
    return new Promise((resolve) => this.#context.clock.after(ms, resolve));
  }

  async #renew(leaseMs: number | undefined): Promise<void> {
    this.renewals += 1;
    const renewed = await this.reserve(MemoryOrder.Renew, leaseMs);
    if (renewed.isErr()) {
      this.#logFailure(MemoryOrder.Renew, renewed.error);
    }
    if (this.#isReleased) {
      await this.release();
    }
  }

  /** Counts an order in the metrics and returns the failure, if any. */
  #recordOutcome(order: MemoryOrder, result: Result<void, MemoryError>): OrderFailure | undefined {
    const failure = result.isErr() ? result.error.failure : undefined;
    this.unanswered += failure === OrderFailure.Unanswered ? 1 : 0;
    this.#context.metrics.countOrder(order, failure);
    return failure;
  }
}
