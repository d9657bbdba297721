/** Memory at engines: the orders that set it aside and give it back. */
import { type BackendServer } from '@toucanbend/registry';
import { type Result } from 'neverthrow';

/** What is known of an order that was not carried out as asked. */
export enum OrderFailure {
  /** No connection was made: the engine does not have the order. */
  NotSent = 'not_sent',
  /** The engine declined the order. */
  Refused = 'refused',
  /** No answer came: the engine may have carried the order out, or may do so later. */
  Unanswered = 'unanswered',
}

/** Why an order about memory failed. */
export interface MemoryError {
  readonly server: string;
  readonly failure: OrderFailure;
  readonly message: string;
}

/** The orders about memory. */
export enum MemoryOrder {
  Reserve = 'reserve',
  Renew = 'renew',
  Release = 'release',
}

/** Memory that is set aside at an engine. */
export interface HeldMemory {
  /** Name of the reservation. */
  readonly name: string;
  /** Whether a request uses it. */
  readonly isUsed: boolean;
}

/** Sets memory aside at engines. */
export interface EngineMemory {
  /**
   * Sets memory aside, or renews that under the same name.
   *
   * @param server - the engine
   * @param name - name of the reservation
   * @param tokens - how much
   * @param holdMs - how long it is kept unless it is renewed
   * @returns why it was not set aside, where it was not
   */
  reserve(
    server: BackendServer,
    name: string,
    tokens: number,
    holdMs: number,
  ): Promise<Result<void, MemoryError>>;
  release(server: BackendServer, name: string): Promise<Result<void, MemoryError>>;
  /**
   * Lists what is set aside at an engine, as of some hundred milliseconds ago.
   *
   * @param server - the engine
   * @returns all reservations, or why they are not known
   */
  list(server: BackendServer): Promise<Result<readonly HeldMemory[], MemoryError>>;
}
