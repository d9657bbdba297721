/**
 * When an entry that has started opens its links to the others.
 *
 * Load pattern: many entries start at once under load, with requests waiting in each. The handshakes with all others would
 * take a small host's processor before the first configuration is read, without which no request can be sent.
 */

/** Longest time for which the links wait for the configuration from the store, in milliseconds; then the others are asked. */
const MAX_LINK_DELAY_MS = 400;

/** Time after the start within which an entry leaves watching the store to others while it links to them, in milliseconds. */
const MAX_LINKING_MS = 1_000;
/** Share of the other entries that must be linked for an entry to know which of them watch the store. */
const LINKED_SHARE = 0.5;

/**
 * Returns whether a started entry is still linking to the others, so that it does not know yet who watches the store. If
 * each of many started entries watched it meanwhile, every change would end all their watches, which count as calls.
 *
 * @param elapsedMs - time since the entry started, in milliseconds
 * @param linked - number of linked entries
 * @param registered - number of other registered entries
 * @returns false after a time in any case
 */
export function isLinking(elapsedMs: number, linked: number, registered: number): boolean {
  return elapsedMs < MAX_LINKING_MS && linked < LINKED_SHARE * registered;
}

/** What ends the wait. */
export interface LinkStart {
  /** Resolves when the configuration is known, or after `waitMs` milliseconds at the latest. */
  readonly waitForConfiguration: (waitMs: number) => Promise<void>;
  /** Adds a listener for the first failed call to the store. */
  readonly onStoreUnreachable: (handle: () => void) => void;
}

/**
 * Waits until the links may be opened.
 *
 * @param start - what ends the wait
 * @returns resolves when the configuration is known, the store cannot be read, or it takes too long
 */
export function whenLinksOpen({ waitForConfiguration, onStoreUnreachable }: LinkStart): Promise<void> {
  return Promise.race([
    waitForConfiguration(MAX_LINK_DELAY_MS),
    new Promise<void>((resolve) => {
      onStoreUnreachable(resolve);
    }),
  ]);
}
