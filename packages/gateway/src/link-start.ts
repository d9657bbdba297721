/**
 * When an entry that has started opens its links to the others.
 *
 * Load pattern: many entries start at once under load, with requests waiting in each. The handshakes with all others would
 * take a small host's processor before the first configuration is read, without which no request can be sent.
 */

/** Longest time for which the links wait for the configuration from the store, in milliseconds; then the others are asked. */
const MAX_LINK_DELAY_MS = 400;

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
