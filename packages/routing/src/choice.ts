/** Chooses among the offers that servers return to probes. */

/** A server's offer for a request. */
export interface Offer {
  readonly server: string;
  readonly accepted: boolean;
  /** Predicted time to the first token, in milliseconds. */
  readonly firstTokenMs: number;
  /** Total delay that the request would add to other jobs at the server, in milliseconds. */
  readonly harmMs: number;
  /** Round-trip time of the probe, in milliseconds. */
  readonly roundTripMs: number;
  readonly cachedTokens: number;
}

/** Weight of the delay added to other jobs, relative to the request's own delay. */
const ADDED_DELAY_WEIGHT = 0.5;

/**
 * Returns the cost of an offer; lower is better.
 *
 * @param offer - the offer
 * @returns the cost, in milliseconds
 */
export function offerCost(offer: Offer): number {
  return offer.firstTokenMs + offer.roundTripMs + ADDED_DELAY_WEIGHT * offer.harmMs;
}

/**
 * Chooses the accepted offer with the lowest cost.
 *
 * @param offers - all offers, accepted or not
 * @returns the offer, the first one on a tie, or undefined if none is accepted
 */
export function chooseOffer<Candidate extends Offer>(offers: readonly Candidate[]): Candidate | undefined {
  return offers
    .filter((offer) => offer.accepted)
    .reduce<Candidate | undefined>(
      (best, offer) => (best === undefined || offerCost(offer) < offerCost(best) ? offer : best),
      undefined,
    );
}
