/** Interface of the store that the registry is read from. */
import { type Result } from 'neverthrow';
import { type EntryMember } from './member.js';
import { type QuarantinedCause } from './quarantined-cause.js';
import { type RecordKind, type RegistryRecord } from './registry-record.js';
import { type StorePosition } from './store-position.js';

/** Kinds of failed calls to the store. */
export enum SourceErrorKind {
  /** The store did not answer in time, or the connection broke. */
  Unreachable = 'unreachable',
  /** The store rejected the call. */
  Refused = 'refused',
  /** The store does not have the changes since the position: the kind must be listed again. */
  HistoryLost = 'history_lost',
  /** The lease has expired, was released, or was lost when the store returned with an older copy. */
  LeaseEnded = 'lease_ended',
}

/** A failed call to the store, with a message for operators. */
export interface SourceError {
  readonly kind: SourceErrorKind;
  readonly message: string;
}

/** Records and the position of the store up to which they are complete. */
export interface RecordBatch {
  readonly records: readonly RegistryRecord[];
  readonly position: StorePosition;
}

/** The registration of an entry. */
export interface Registration {
  readonly member: EntryMember;
  /** Identifier of its lease, which is unique only within the era. */
  readonly lease: string;
  /** When the registration was written. */
  readonly position: StorePosition;
}

/** The store's operations that membership uses. */
export interface RegistrySource {
  /** Lists all records of a kind. */
  list(kind: RecordKind): Promise<Result<RecordBatch, SourceError>>;
  /**
   * Waits up to `waitMs` for changes of a kind after a position; the batch is empty if there were none. Fails with
   * `HistoryLost` if the store is in another era.
   */
  watch(kind: RecordKind, position: StorePosition, waitMs: number): Promise<Result<RecordBatch, SourceError>>;
  /**
   * Registers an entry under a new lease.
   *
   * @param member - the entry
   * @param lifetimeMs - lifetime of the registration without renewal, in milliseconds
   * @returns the registration
   */
  register(member: EntryMember, lifetimeMs: number): Promise<Result<Registration, SourceError>>;
  /** Renews the lease of a registration; fails with `LeaseEnded` if it no longer exists. */
  renew(registration: Registration): Promise<Result<void, SourceError>>;
  /** Removes a registration, unless the entry has been registered again since. */
  release(registration: Registration): Promise<Result<void, SourceError>>;
  /** Writes a quarantined part; succeeds also if the store has it already. */
  quarantine(quarantined: QuarantinedCause): Promise<Result<void, SourceError>>;
  /** Removes a quarantined part. */
  endQuarantine(quarantined: QuarantinedCause): Promise<Result<void, SourceError>>;
  /** Adds a listener that is called when the store has returned with an older copy, with its new era. */
  onRestored(handle: (era: number) => void): void;
}
