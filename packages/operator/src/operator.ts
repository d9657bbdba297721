/** Reads and changes the configuration in the store on behalf of operators. */
import { randomUUID } from 'node:crypto';
import { type Finding } from '@toucanbend/core';
import {
  applyConfigurationChange,
  checkDocument,
  CONFIGURATION_KEY,
  type ConfigurationChange,
  type ConfigurationDocument,
  emptyDocument,
  type ParsedDeclaration,
} from '@toucanbend/configuration';
import { type KeyValueStore, type StoredValue } from '@toucanbend/store';
import { err, ok, type Result } from 'neverthrow';

/** Kinds of errors of reads and changes. */
export enum ChangeErrorKind {
  /** The stored document is invalid, or the change cannot be applied to it. */
  Refused = 'refused',
  /** The change was not made: the store was unreachable, or concurrent changes came first in every attempt. */
  StoreUnavailable = 'store_unavailable',
  /** A write was not answered, so the change may have been made; look for its `changeId` in the history. */
  Unknown = 'unknown',
}

/** Why a read or change failed. */
export interface ChangeError {
  readonly kind: ChangeErrorKind;
  readonly findings: readonly Finding[];
  readonly changeId: string;
}

/** An edit of the declaration, with the revision that the new document must exceed. */
export type RequestedChange = Pick<ConfigurationChange, 'edit' | 'aboveRevision'>;

/** Author of a change and the reason for it, as recorded in the history. */
export interface ChangeAuthor {
  readonly who: string;
  readonly why: string;
}

/** Reads and changes the configuration in the store. */
export interface ConfigurationClient {
  /** Reads the newest document from the store. */
  read(): Promise<Result<ConfigurationDocument, ChangeError>>;
  /**
   * Applies a change to the newest document, and again to a newer one if another operator's write came first.
   *
   * @param author - author of the change and the reason for it
   * @param requested - the change
   * @returns the accepted document, or why the change was not accepted
   */
  change(
    author: ChangeAuthor,
    requested: RequestedChange,
  ): Promise<Result<ConfigurationDocument, ChangeError>>;
}

/** Options of {@link createConfigurationClient}. */
export interface ConfigurationClientOptions {
  readonly store: KeyValueStore;
  /** Longest wait for one call of the store, in milliseconds. */
  readonly timeoutMs: number;
  /** Rounds of reading and writing before a change fails. */
  readonly attempts: number;
  /** Returns the time in milliseconds since the Unix epoch. */
  readonly wallClock: () => number;
  /** Creates the identifier of a change; a random UUID by default. */
  readonly createChangeId?: () => string;
}

interface StoredDocument {
  readonly document: ConfigurationDocument;
  /** Store revision on which a write of the next document is conditional; 0 if the store has none. */
  readonly modRevision: number;
}

function parseStored(stored: StoredValue | undefined): Result<StoredDocument, Finding[]> {
  if (stored === undefined) {
    return ok({ document: emptyDocument, modRevision: 0 });
  }
  let value: unknown;
  try {
    value = JSON.parse(stored.value);
  } catch (error) {
    return err([{ place: 'store', message: String(error) }]);
  }
  return checkDocument(value, 'store').map((document) => ({ document, modRevision: stored.modRevision }));
}

/**
 * Creates a client of the stored configuration.
 *
 * A write whose answer was lost is safe to repeat: a change whose `changeId` is already in the history is not
 * applied again.
 *
 * @param options - the store, time-out, number of attempts and clock
 * @returns the client
 */
export function createConfigurationClient(options: ConfigurationClientOptions): ConfigurationClient {
  const { store, timeoutMs } = options;

  const readNewest = async (changeId: string): Promise<Result<StoredDocument, ChangeError>> => {
    const stored = await store.read(CONFIGURATION_KEY, timeoutMs);
    if (stored.isErr()) {
      const findings = [{ place: 'store', message: stored.error.message }];
      return err({ kind: ChangeErrorKind.StoreUnavailable, findings, changeId });
    }
    return parseStored(stored.value).mapErr((findings) => ({
      kind: ChangeErrorKind.Refused,
      findings,
      changeId,
    }));
  };

  const change = async (
    author: ChangeAuthor,
    requested: RequestedChange,
  ): Promise<Result<ConfigurationDocument, ChangeError>> => {
    const changeId = options.createChangeId?.() ?? randomUUID();
    const configurationChange = { changeId, ...author, atMs: options.wallClock(), ...requested };
    let mayHaveTakenEffect = false;
    for (let attempt = 0; attempt < options.attempts; attempt += 1) {
      const newest = await readNewest(changeId);
      if (newest.isErr()) {
        if (newest.error.kind === ChangeErrorKind.Refused) {
          return err(newest.error);
        }
        continue;
      }
      const { document, modRevision } = newest.value;
      if (document.history.some((entry) => entry.changeId === changeId)) {
        return ok(document);
      }
      const next = applyConfigurationChange(document, configurationChange);
      if (next.isErr()) {
        return err({ kind: ChangeErrorKind.Refused, findings: next.error, changeId });
      }
      const write = {
        key: CONFIGURATION_KEY,
        value: JSON.stringify(next.value),
        expectedModRevision: modRevision,
      };
      const written = await store.write([write], timeoutMs);
      if (written.isErr()) {
        mayHaveTakenEffect = true;
      } else if (written.value[0]?.applied === true) {
        return ok(next.value);
      }
    }
    const kind = mayHaveTakenEffect ? ChangeErrorKind.Unknown : ChangeErrorKind.StoreUnavailable;
    const findings = [
      { place: 'store', message: `change not confirmed after ${String(options.attempts)} attempts` },
    ];
    return err({ kind, findings, changeId });
  };

  return {
    change,
    read: async () => (await readNewest('')).map(({ document }) => document),
  };
}

/**
 * Returns a change that replaces the whole declaration. It is rejected if the stored document is newer than the
 * revision that the declaration is based on.
 *
 * A store that is empty or was restored with an older document accepts the declaration, so that a fleet's
 * configuration can be rebuilt.
 *
 * @param read - the new declaration and the revision that it is based on
 * @returns the change
 */
export function replaceDeclaration({ declaration, basedOn }: ParsedDeclaration): RequestedChange {
  return {
    aboveRevision: basedOn ?? 0,
    edit: (newest) => {
      if (newest.revision <= (basedOn ?? 0)) {
        return ok(declaration);
      }
      const message =
        basedOn === undefined
          ? `is missing; revision ${String(newest.revision)} is in force`
          : `is ${String(basedOn)}, and revision ${String(newest.revision)} is in force`;
      return err([{ place: 'revision', message }]);
    },
  };
}
