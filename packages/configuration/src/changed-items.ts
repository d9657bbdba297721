/** What differs between two documents, item by item, for operators. */
import { isDeepStrictEqual } from 'node:util';
import { type ConfigurationDocument, namedSections, type SectionName } from './document.js';
import { differenceOf } from './difference.js';

/** What happens to an item. */
export enum ItemChange {
  Added = 'added',
  Changed = 'changed',
  Removed = 'removed',
  /** Its section has another order; items that are matched by their order may match other requests. */
  Reordered = 'reordered',
}

/** A field of a changed item; a value is undefined if the item lacks the field. */
export interface ChangedField {
  readonly field: string;
  readonly before: unknown;
  readonly after: unknown;
}

/** An item that differs. */
export interface ChangedItem {
  readonly section: SectionName;
  /** Name of the item; empty if the change concerns the whole section. */
  readonly name: string;
  readonly change: ItemChange;
  /** The fields that differ; empty unless the item was changed. */
  readonly fields: readonly ChangedField[];
}

type Item = Readonly<Record<string, unknown>> & { readonly name: string };

function itemsByName(document: ConfigurationDocument, section: SectionName): ReadonlyMap<string, Item> {
  const items: readonly Item[] = document[section];
  return new Map(items.map((item) => [item.name, item]));
}

function changedFields(before: Item, after: Item): ChangedField[] {
  return [...new Set([...Object.keys(before), ...Object.keys(after)])]
    .filter((field) => !isDeepStrictEqual(before[field], after[field]))
    .map((field) => ({ field, before: before[field], after: after[field] }));
}

/**
 * Lists the items that differ between two documents.
 *
 * @param before - the document in force
 * @param after - the document to compare
 * @returns the items in the order of the sections; within a section those of `after` first, then those that it lacks
 */
export function changedItems(before: ConfigurationDocument, after: ConfigurationDocument): ChangedItem[] {
  const { sections } = differenceOf(before, after);
  return namedSections.flatMap((section) => {
    const difference = sections.find((changed) => changed.section === section);
    if (difference === undefined) {
      return [];
    }
    const [itemsBefore, itemsAfter] = [itemsByName(before, section), itemsByName(after, section)];
    const put = difference.put.flatMap(({ name }) => {
      const [old, item] = [itemsBefore.get(name), itemsAfter.get(name)];
      return old === undefined || item === undefined
        ? [{ section, name, change: ItemChange.Added, fields: [] }]
        : [{ section, name, change: ItemChange.Changed, fields: changedFields(old, item) }];
    });
    const removed = difference.removed.map((name) => ({
      section,
      name,
      change: ItemChange.Removed,
      fields: [],
    }));
    const reordered =
      difference.order.length === 0 ? [] : [{ section, name: '', change: ItemChange.Reordered, fields: [] }];
    return [...put, ...removed, ...reordered];
  });
}
