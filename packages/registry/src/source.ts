/** Interface of the store that the registry is read from. */
import { type Result } from 'neverthrow';
import { type EntryMember } from './member.js';
import { type QuarantinedPart } from './quarantined-part.js';
import { type RecordKind, type RegistryRecord } from './registry.js';

/** Kinds of failed calls to the store. */
export enum SourceErrorKind {
  /** The store did not answer in time, or the connection broke. */
  Unreachable = 'unreachable',
  /** The store rejected the call. */
  Refused = 'refused',
  /** The store no longer keeps the changes since the revision: the kind must be listed again. */
  HistoryLost = 'history_lost',
  /** The lease has expired or was released. */
  LeaseEnded = 'lease_ended',
}

/** A failed call to the store, with a message for operators. */
export interface SourceError {
  readonly kind: SourceErrorKind;
  readonly message: string;
}

/** Records and the revision of the store up to which they are complete. */
export interface RecordBatch {
  readonly records: readonly RegistryRecord[];
  readonly revision: number;
}

/** The store's operations that membership uses. */
export interface RegistrySource {
  /** Lists all records of a kind. */
  list(kind: RecordKind): Promise<Result<RecordBatch, SourceError>>;
  /** Waits up to `waitMs` for changes of a kind after a revision; the batch is empty if there were none. */
  watch(kind: RecordKind, revision: number, waitMs: number): Promise<Result<RecordBatch, SourceError>>;
  /**
   * Registers an entry under a new lease.
   *
   * @param member - the entry
   * @param lifetimeMs - lifetime of the registration without renewal, in milliseconds
   * @returns the identifier of the lease
   */
  register(member: EntryMember, lifetimeMs: number): Promise<Result<string, SourceError>>;
  /** Renews a lease; fails with `LeaseEnded` if it no longer exists. */
  renew(lease: string): Promise<Result<void, SourceError>>;
  /** Releases a lease, which removes the registration under it. */
  release(lease: string): Promise<Result<void, SourceError>>;
  /** Writes a quarantined part; succeeds also if the store has it already. */
  quarantine(quarantined: QuarantinedPart): Promise<Result<void, SourceError>>;
  /** Removes a quarantined part. */
  endQuarantine(quarantined: QuarantinedPart): Promise<Result<void, SourceError>>;
}
