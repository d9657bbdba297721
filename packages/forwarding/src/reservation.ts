/** Memory that is set aside at engines for the parts of a prompt, from before the request until its end. */
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

/** Memory that is set aside for one request. */
export interface Reservation {
  /**
   * Gives everything back; calling it again has no effect.
   *
   * @param cause - why
   * @param silentMs - time since the last sign of the request's server, in milliseconds, where there is one
   */
  release(cause: ReleaseCause, silentMs?: number): void;
  /**
   * Adds one who learns that an engine does not use the memory any more; everything has been given back then.
   *
   * @param handle - called once at most
   */
  onIdle(handle: () => void): void;
}

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
}

/** Memory at one engine. */
class HeldPart {
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

  /** Sets memory aside, or renews it. */
  async reserve(order: MemoryOrder.Reserve | MemoryOrder.Renew): Promise<Result<void, MemoryError>> {
    const { server, partTokens } = this.#helper;
    const { holdMs } = this.#times;
    const result = await this.#context.memory.reserve(server, this.#owner.name, partTokens, holdMs);
    const isAnswered = result.isOk() || result.error.failure !== OrderFailure.Unanswered;
    this.#kept = afterReserve(this.#kept, holdMs, isAnswered, this.#context.clock.now());
    return this.#note(order, result);
  }

  /** Keeps the memory for as long as a request uses it; then tells so. */
  keep(onIdle: () => void): void {
    this.#lookAfter(this.#times.lookMs, onIdle);
  }

  /** Gives the memory back, and watches the engine for as long as an order may set it aside once more. */
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
    const released = await this.#release();
    const isDone = released.isOk() || released.error.failure === OrderFailure.Refused;
    this.#kept = afterRelease(this.#kept, isDone);
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

  async #release(): Promise<Result<void, MemoryError>> {
    const { server } = this.#helper;
    return this.#note(MemoryOrder.Release, await this.#context.memory.release(server, this.#owner.name));
  }

  #note(order: MemoryOrder, result: Result<void, MemoryError>): Result<void, MemoryError> {
    const failure = result.isErr() ? result.error.failure : undefined;
    this.unanswered += failure === OrderFailure.Unanswered ? 1 : 0;
    this.#context.metrics.countOrder(order, failure);
    return result;
  }
}

/** Memory at several engines under one name. */
class HeldParts implements Reservation {
  readonly #clock: Clock;
  readonly #parts: readonly HeldPart[];
  readonly #reservedAtMs: number;
  #isReleased = false;
  #handleIdle = (): void => undefined;

  constructor(clock: Clock, parts: readonly HeldPart[]) {
    this.#clock = clock;
    this.#parts = parts;
    this.#reservedAtMs = clock.now();
  }

  keep(): void {
    this.#parts.forEach((part) => {
      part.keep(() => {
        this.#endIdle();
      });
    });
  }

  onIdle(handle: () => void): void {
    this.#handleIdle = handle;
  }

  release(cause: ReleaseCause, silentMs?: number): void {
    if (this.#isReleased) {
      return;
    }
    this.#isReleased = true;
    this.#parts[0]?.log(MemoryOrder.Release, {
      cause,
      heldMs: Math.round(this.#clock.now() - this.#reservedAtMs),
      ...(silentMs === undefined ? {} : { silentMs: Math.round(silentMs) }),
      renewals: this.#parts.reduce((sum, part) => sum + part.renewals, 0),
      unanswered: this.#parts.reduce((sum, part) => sum + part.unanswered, 0),
    });
    this.#parts.forEach((part) => {
      void part.release();
    });
  }

  #endIdle(): void {
    if (!this.#isReleased) {
      this.release(ReleaseCause.Idle);
      this.#handleIdle();
    }
  }
}

/**
 * Sets memory aside at all helpers that keep a part, or at none.
 *
 * @param context - clock, log and engines
 * @param owner - the request, and the name of the reservation
 * @param helpers - engines and their parts
 * @returns the reservation, or the servers that refused
 */
export async function reserveParts(
  context: ReservationContext,
  owner: ReservationOwner,
  helpers: readonly Helper[],
): Promise<Reservation | readonly MemoryError[]> {
  const keepers = helpers.filter((helper) => helper.keepsPart);
  const parts = keepers.map((helper) => new HeldPart(context, owner, helper));
  const held = new HeldParts(context.clock, parts);
  const results = await Promise.all(parts.map((part) => part.reserve(MemoryOrder.Reserve)));
  const errors = results.flatMap((result) => (result.isErr() ? [result.error] : []));
  parts[0]?.log(MemoryOrder.Reserve, {
    engines: keepers.map((helper) => helper.server.id),
    tokens: keepers[0]?.partTokens ?? 0,
    failures: errors.map((error) => `${error.server}: ${error.failure} ${error.message}`),
  });
  if (errors.length > 0) {
    // An order whose answer was lost may still be carried out, so the memory is released everywhere.
    held.release(ReleaseCause.Incomplete);
    return errors;
  }
  held.keep();
  return held;
}
