/** Interface of a client of the platform's key-value service. */
import { type Result } from 'neverthrow';

/** A key with its value, as stored. */
export interface StoredValue {
  readonly key: string;
  readonly value: string;
  /** The store's revision at which the value was last written. */
  readonly modRevision: number;
}

/** Reasons why a call to the store failed. */
export enum StoreErrorKind {
  /** The call was not executed. */
  Unavailable = 'unavailable',
  /** No readable response arrived: whether the call was executed is in doubt. */
  ResponseLost = 'answer_lost',
}

/** The reason why a call to the store failed, with a message for operators. */
export interface StoreError {
  readonly kind: StoreErrorKind;
  readonly message: string;
}

/** A write that is applied only if the key still has the expected modification revision. */
export interface ConditionalWrite {
  readonly key: string;
  readonly value: string;
  /** The expected modification revision; 0 if the key must not exist. */
  readonly expectedModRevision: number;
}

/** The result of one conditional write: whether it was applied and, if not, the current value of the key. */
export interface WriteOutcome {
  readonly applied: boolean;
  readonly current: StoredValue | undefined;
}

/** Client of the platform's key-value service. */
export interface KeyValueStore {
  /**
   * Reads a key.
   *
   * @param key - the key
   * @param timeoutMs - time limit of the call, in milliseconds
   * @returns the value, or undefined if the key does not exist
   */
  read(key: string, timeoutMs: number): Promise<Result<StoredValue | undefined, StoreError>>;
  /**
   * Sends conditional writes in one call. Each is applied or rejected on its own.
   *
   * @param writes - the writes
   * @param timeoutMs - time limit of the call, in milliseconds
   * @returns the result of each write, in the order of `writes`; results that the store's response lacks are missing
   */
  write(writes: readonly ConditionalWrite[], timeoutMs: number): Promise<Result<WriteOutcome[], StoreError>>;
  /**
   * Watches a key.
   *
   * @param key - the key
   * @param handle - called with each new value
   * @returns a function that stops the watch
   */
  watch(key: string, handle: (value: StoredValue) => void): () => void;
}
