/**
 * When an entry dials the entries to which it has no link.
 *
 * Load pattern: an entry starts under load, alone or together with many others, and lacks the links to all others. Requests
 * of callers are already waiting. The handshakes of all links at once would take a small host's processor for some hundred
 * milliseconds, and all entries that start would dial the others in the same order.
 */
import { type Random } from '@toucanbend/core';

/** Largest delay between two dials, in milliseconds: about the processor time of a handshake on a small host. */
const MAX_SPACING_MS = 12;

/** An entry to dial. */
export interface PlannedDial {
  /** `IP:PORT` of the entry. */
  readonly address: string;
  /** Delay until the dial, in milliseconds. */
  readonly delayMs: number;
}

/**
 * Plans the dials of entries that are not linked.
 *
 * @param addresses - addresses of the entries
 * @param withinMs - time within which all are dialled, in milliseconds
 * @param random - determines the order
 * @returns the dials, in order; the first one is due at once
 */
export function planDials(addresses: readonly string[], withinMs: number, random: Random): PlannedDial[] {
  const spacingMs = Math.min(MAX_SPACING_MS, withinMs / Math.max(1, addresses.length));
  const remaining = [...addresses];
  const dials: PlannedDial[] = [];
  while (remaining.length > 0) {
    const chosen = remaining.splice(random.below(remaining.length), 1);
    dials.push(...chosen.map((address) => ({ address, delayMs: dials.length * spacingMs })));
  }
  return dials;
}
