/**
 * Decides which part of a limit that all entries share an entry may use together with the entries linked to it.
 *
 * Handles entries that are cut off from one another: none knows what the others send, so that each side keeps to its part.
 */
import { type LimitShare } from '@toucanbend/restrictions';

/** The other entries as one entry knows them, by name. */
export interface OtherEntries {
  readonly registered: readonly string[];
  readonly linked: ReadonlySet<string>;
  /** Those whose process has ended, so that they need no part until they are linked again. */
  readonly ended: ReadonlySet<string>;
}

/**
 * Calculates the part of an entry and of those linked to it.
 *
 * @param others - all other entries
 * @returns the part, which is whole if no running entry is cut off
 */
export function limitShareOf({ registered, linked, ended }: OtherEntries): LimitShare {
  const running = registered.filter((name) => linked.has(name) || !ended.has(name));
  const reached = running.filter((name) => linked.has(name));
  const entries = running.length + 1;
  return { fraction: (reached.length + 1) / entries, entries };
}
