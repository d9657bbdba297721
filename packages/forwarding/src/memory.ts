/** The interface to KV-cache memory at engines: the orders that reserve, renew and release it. */
import { type BackendServer } from '@toucanbend/registry';
import { type Result } from 'neverthrow';

/** How an order failed. */
export enum OrderFailure {
  /** The connection was not established: the engine did not receive the order. */
  NotSent = 'not_sent',
  /** The engine declined the order. */
  Refused = 'refused',
  /** No answer was received: the engine may have executed the order, or may still execute it. */
  Unanswered = 'unanswered',
}

/** The error of a failed memory order. */
export interface MemoryError {
  readonly server: string;
  readonly failure: OrderFailure;
  readonly message: string;
}

/** The kinds of memory orders. */
export enum MemoryOrder {
  Reserve = 'reserve',
  Renew = 'renew',
  Release = 'release',
}

/** A reservation that an engine lists. */
export interface ReservedMemory {
  /** Name of the reservation. */
  readonly name: string;
  /** Whether a request uses the memory. */
  readonly isUsed: boolean;
}

/** Reserves and releases memory at engines. */
export interface EngineMemory {
  /**
   * Reserves memory, or renews the reservation of the same name.
   *
   * @param server - the engine
   * @param name - name of the reservation
   * @param tokens - the size of the reservation, in tokens
   * @param leaseMs - the lease duration, in milliseconds; the memory is freed after it unless the lease is renewed
   * @returns the error if the engine did not confirm the reservation
   */
  reserve(
    server: BackendServer,
    name: string,
    tokens: number,
    leaseMs: number,
  ): Promise<Result<void, MemoryError>>;
  release(server: BackendServer, name: string): Promise<Result<void, MemoryError>>;
  /**
   * Lists the reservations at an engine, as of some hundred milliseconds ago.
   *
   * @param server - the engine
   * @returns all reservations, or the error if the engine did not answer
   */
  list(server: BackendServer): Promise<Result<readonly ReservedMemory[], MemoryError>>;
}
