/** Where the registry comes from: the store that every node reads. */
import { type Result } from 'neverthrow';
import { type EntryMember } from './member.js';
import { type RecordKind, type RegistryRecord } from './registry.js';

/** Why the store gave no answer that can be used. */
export enum SourceErrorKind {
  /** The store did not answer in time, or the connection broke. */
  Unreachable = 'unreachable',
  /** The store turned the call away. */
  Refused = 'refused',
  /** The changes since the revision are no longer kept: a listing is needed. */
  HistoryLost = 'history_lost',
  /** The lease has ended. */
  LeaseEnded = 'lease_ended',
}

/** Why the store gave no answer, for a person. */
export interface SourceError {
  readonly kind: SourceErrorKind;
  readonly message: string;
}

/** Records, and the revision up to which they are complete. */
export interface RecordBatch {
  readonly records: readonly RegistryRecord[];
  readonly revision: number;
}

/** The store, as the product uses it. */
export interface RegistrySource {
  /** Lists everything of a kind. */
  list(kind: RecordKind): Promise<Result<RecordBatch, SourceError>>;
  /** Waits for changes of a kind after a revision; an empty batch where none came in time. */
  watch(kind: RecordKind, revision: number, waitMs: number): Promise<Result<RecordBatch, SourceError>>;
  /**
   * Registers an entry under a new lease.
   *
   * @param member - the entry
   * @param lifetimeMs - how long the registration holds unless it is renewed
   * @returns the lease
   */
  register(member: EntryMember, lifetimeMs: number): Promise<Result<string, SourceError>>;
  renew(lease: string): Promise<Result<void, SourceError>>;
  /** Ends a lease and what is registered under it. */
  release(lease: string): Promise<Result<void, SourceError>>;
}
