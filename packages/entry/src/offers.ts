/** Probes sides for offers and chooses the cheapest one. */
import { type ProcessBody, settle } from '@toucanbend/channel';
import { Reason, type RequestKind, type WorkDescription } from '@toucanbend/core';
import { DecisionKind } from '@toucanbend/observability';
import { candidateRounds, chooseOffer, type Location, type Offer, offerCost } from '@toucanbend/routing';
import { type FrameOf, type FrameType, type Link } from '@toucanbend/wire';
import { type EntryContext } from './context.js';
import { type KnownServer } from './directory.js';

/** An offer with the server, link and bid frame it was received from. */
export interface ReceivedOffer extends Offer {
  readonly known: KnownServer;
  readonly link: Link;
  readonly bid: FrameOf<FrameType.Bid>;
}

/** Result of probing sides for a request. */
export interface Offers {
  /** The accepted offer of lowest cost; undefined if no side accepts the request. */
  readonly best: ReceivedOffer | undefined;
  /** Why no side accepts the request; `none` if there is an offer. */
  readonly reason: Reason;
  /** Shortest time after which a side may accept the request, in milliseconds. */
  readonly retryAfterMs: number;
  /** Whether the answers of sides suffice to reject the request; one that leaves tells nothing of those that did not answer. */
  readonly isConclusive: boolean;
  /** Number of sides that were probed. */
  readonly asked: number;
}

/** A request for which offers are wanted. */
export interface OfferQuery {
  readonly requestId: string;
  readonly attempt: number;
  readonly work: WorkDescription;
  readonly timeLeftMs: number;
  /** Whether each accepting side mints an execution token. */
  readonly mint: boolean;
  /** Names of servers that are not probed. */
  readonly excluded: ReadonlySet<string>;
}

const NO_SERVER_RETRY_AFTER_MS = 1_000;
/** Offers that cost more than this share of the first-token limit make the entry probe further servers. */
const SPILLOVER_COST_SHARE = 0.25;

async function probeServer(
  context: EntryContext,
  known: KnownServer,
  query: OfferQuery,
): Promise<ReceivedOffer | undefined> {
  const answer = await context.exchange.probe(known, query.work, query.timeLeftMs, query.mint);
  if (answer === undefined) {
    return undefined;
  }
  const { bid, link, roundTripMs } = answer;
  const { accepted, firstTokenMs, harmMs, cachedTokens } = bid;
  return { server: known.name, accepted, firstTokenMs, harmMs, cachedTokens, roundTripMs, known, link, bid };
}

function logChoice(
  context: EntryContext,
  query: OfferQuery,
  asked: readonly string[],
  offers: readonly ReceivedOffer[],
  best: ReceivedOffer | undefined,
): void {
  context.logger.decision({
    decision: DecisionKind.Route,
    request: query.requestId,
    fields: {
      attempt: query.attempt,
      asked,
      offers: offers.map((offer) => ({
        server: offer.server,
        accepted: offer.accepted,
        reason: offer.bid.reason,
        firstTokenMs: Math.round(offer.firstTokenMs),
        harmMs: Math.round(offer.harmMs),
        cachedTokens: offer.cachedTokens,
      })),
      chosen: best?.server ?? '',
    },
  });
}

function accepted(best: ReceivedOffer, asked: number): Offers {
  return { best, reason: Reason.None, retryAfterMs: 0, isConclusive: true, asked };
}

function rejectedOffers(offers: readonly ReceivedOffer[], asked: number): Offers {
  const refused = offers.filter((offer) => !offer.accepted);
  if (refused.length === 0) {
    const reason = Reason.NoServer;
    return { best: undefined, reason, retryAfterMs: NO_SERVER_RETRY_AFTER_MS, isConclusive: false, asked };
  }
  const soonest = refused.reduce((best, offer) =>
    offer.bid.retryAfterMs < best.bid.retryAfterMs ? offer : best,
  );
  const { reason, retryAfterMs } = soonest.bid;
  const isConclusive = refused.length === asked || refused.some(({ bid }) => bid.reason !== Reason.Leaving);
  return { best: undefined, reason, retryAfterMs, isConclusive, asked };
}

/**
 * Probes sides in rounds until an offer costs at most {@link SPILLOVER_COST_SHARE} of the first-token limit.
 *
 * Call it with `yield*`.
 *
 * @param context - shared services and settings of the entry
 * @param location - data centre and region of the entry
 * @param query - the request, the time left, and the servers to leave out
 * @returns the best offer, or why no side accepts the request
 */
export function* gatherOffers(
  context: EntryContext,
  location: Location,
  query: OfferQuery,
): ProcessBody<Offers> {
  const { directory, settings, random } = context;
  const kind: RequestKind = query.work.kind;
  const known = directory
    .serving(kind, query.work.target)
    .filter((server) => !query.excluded.has(server.name));
  const counts = { byPrefix: settings.probesByPrefix, atRandom: settings.probesAtRandom };
  const received: ReceivedOffer[] = [];
  let askedCount = 0;
  for (const round of candidateRounds(known, query.work.prefix, location, counts, random)) {
    const asked = round.flatMap((view) => directory.find(view.name) ?? []);
    askedCount += asked.length;
    const answers = yield* settle(Promise.all(asked.map((server) => probeServer(context, server, query))));
    received.push(...answers.filter((answer) => answer !== undefined));
    const best = chooseOffer(received);
    logChoice(
      context,
      query,
      asked.map((server) => server.name),
      received,
      best,
    );
    if (best !== undefined && offerCost(best) <= SPILLOVER_COST_SHARE * query.work.firstTokenLimitMs) {
      return accepted(best, askedCount);
    }
  }
  const best = chooseOffer(received);
  return best === undefined ? rejectedOffers(received, askedCount) : accepted(best, askedCount);
}
