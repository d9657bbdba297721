/** Changes to the configuration. A change is a function that is applied to the newest document. */
import { type Finding } from '@toucanbend/core';
import { err, type Result } from 'neverthrow';
import { checkDocument, type ConfigurationDocument } from './document.js';
import { HISTORY_LENGTH } from './difference.js';

/** The part of the document that operators declare. The system maintains the rest: revision and history. */
export type Declaration = Omit<ConfigurationDocument, 'revision' | 'history'>;

/**
 * Returns the declared part of a document, without its revision and history.
 *
 * @param document - the document
 * @returns the declaration
 */
export function declarationOf(document: ConfigurationDocument): Declaration {
  const { accounts, ranks, models, services, dataCentres, servers, operators } = document;
  return { accounts, ranks, models, services, dataCentres, servers, operators };
}

/** A change that an operator requests. */
export interface ConfigurationChange {
  /** Unique identifier. After a lost response, it shows in the history whether the change was made. */
  readonly changeId: string;
  readonly who: string;
  readonly why: string;
  /** Time of the change, in milliseconds since the Unix epoch. */
  readonly atMs: number;
  /** Lower bound: the new revision is greater than this one and than that of the newest document. */
  readonly aboveRevision?: number;
  /** Returns the new declaration, or findings if the change conflicts with the newest document. */
  readonly edit: (newest: ConfigurationDocument) => Result<Declaration, Finding[]>;
}

/**
 * Applies a change to a document, increments the revision and adds the change to the history.
 *
 * @param newest - the newest document
 * @param change - the change
 * @returns the new document, or the findings of the change or of the check of its result
 */
export function applyConfigurationChange(
  newest: ConfigurationDocument,
  change: ConfigurationChange,
): Result<ConfigurationDocument, Finding[]> {
  const edited = change.edit(newest);
  if (edited.isErr()) {
    return err(edited.error);
  }
  const revision = Math.max(newest.revision, change.aboveRevision ?? 0) + 1;
  const { changeId, who, why, atMs } = change;
  const history = [{ changeId, revision, who, why, atMs }, ...newest.history].slice(0, HISTORY_LENGTH);
  return checkDocument({ ...edited.value, revision, history }, `change ${changeId}`);
}
