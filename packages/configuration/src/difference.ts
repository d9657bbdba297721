/** Differences between two revisions of the document, which nodes send to peers instead of the whole document. */
import { isDeepStrictEqual } from 'node:util';
import { type ConfigurationDocument, documentSchema, namedSections, type SectionName } from './document.js';

/** The changes to one section. */
export interface SectionDifference {
  readonly section: SectionName;
  /** Items that were added or changed. */
  readonly put: readonly { readonly name: string }[];
  /** Names of the items that were removed. */
  readonly removed: readonly string[];
  /** Names of all items in their new order; empty if the order follows from `put` and `removed`. */
  readonly order: readonly string[];
}

/** The changes from one revision to another. */
export interface DocumentDifference {
  readonly from: number;
  readonly to: number;
  readonly sections: readonly SectionDifference[];
  /** Changes that are missing from the history of the older document, the newest first. */
  readonly history: ConfigurationDocument['history'];
}

function sectionDifference(
  section: SectionName,
  before: ConfigurationDocument,
  after: ConfigurationDocument,
): SectionDifference {
  const itemsBefore = new Map<string, unknown>(before[section].map((item) => [item.name, item]));
  const items: readonly { readonly name: string }[] = after[section];
  const names = new Set(items.map((item) => item.name));
  const put = items.filter((item) => !isDeepStrictEqual(itemsBefore.get(item.name), item));
  const removed = [...itemsBefore.keys()].filter((item) => !names.has(item));
  const kept = [...itemsBefore.keys()].filter((item) => names.has(item));
  const orderWithoutMoves = [
    ...kept,
    ...items.map((item) => item.name).filter((item) => !itemsBefore.has(item)),
  ];
  const order = isDeepStrictEqual(orderWithoutMoves, [...names]) ? [] : [...names];
  return { section, put, removed, order };
}

/**
 * Computes the difference between two documents.
 *
 * @param before - the older document
 * @param after - the newer document
 * @returns the difference, which contains only the sections that changed
 */
export function differenceOf(
  before: ConfigurationDocument,
  after: ConfigurationDocument,
): DocumentDifference {
  const sections = namedSections
    .map((section) => sectionDifference(section, before, after))
    .filter(({ put, removed, order }) => put.length + removed.length + order.length > 0);
  const earlierChangeIds = new Set(before.history.map((entry) => entry.changeId));
  return {
    from: before.revision,
    to: after.revision,
    sections,
    history: after.history.filter((entry) => !earlierChangeIds.has(entry.changeId)),
  };
}

function applySection(
  items: readonly { readonly name: string }[],
  difference: SectionDifference,
): { readonly name: string }[] {
  const byName = new Map(items.map((item) => [item.name, item]));
  difference.removed.forEach((item) => byName.delete(item));
  difference.put.forEach((item) => byName.set(item.name, item));
  if (difference.order.length === 0) {
    return [...byName.values()];
  }
  return difference.order.flatMap((item) => byName.get(item) ?? []);
}

/** Maximum number of changes in the history of a document; older ones are dropped. */
export const HISTORY_LENGTH = 50;

/**
 * Applies a difference to a document.
 *
 * @param before - the document that the difference starts from
 * @param difference - the changes
 * @returns the newer document; undefined if the difference starts from another revision or the result does not
 *   match the schema
 */
export function applyDifference(
  before: ConfigurationDocument,
  difference: DocumentDifference,
): ConfigurationDocument | undefined {
  if (difference.from !== before.revision) {
    return undefined;
  }
  const changed: Record<string, unknown> = { ...before, revision: difference.to };
  for (const section of difference.sections) {
    changed[section.section] = applySection(before[section.section], section);
  }
  changed['history'] = [...difference.history, ...before.history].slice(0, HISTORY_LENGTH);
  const checked = documentSchema.safeParse(changed);
  return checked.success ? checked.data : undefined;
}
