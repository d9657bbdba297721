/** Probes sides for offers and chooses the cheapest one. */
import { type ProcessBody, settleWithin } from '@toucanbend/channel';
import { Reason, type WorkDescription } from '@toucanbend/core';
import { DecisionKind } from '@toucanbend/observability';
import {
  type CandidateServer,
  candidateRounds,
  chooseOffer,
  type Location,
  type Offer,
  offerCost,
} from '@toucanbend/routing';
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
  /** Time until the query ends with the answers received by then, in milliseconds. */
  readonly timeLeftMs: number;
  /** Whether each accepting side mints an execution token. */
  readonly mint: boolean;
  /** Names of servers that are not probed. */
  readonly excluded: ReadonlySet<string>;
  /** Time on the entry's clock until which servers that are ejected as slow may be probed, in milliseconds. */
  readonly askSlowUntilMs: number;
}

const NO_SERVER_RETRY_AFTER_MS = 1_000;
/** Offers that cost more than this share of the first-token limit make the entry probe further servers. */
const SPILLOVER_COST_SHARE = 0.25;

async function probeServer(
  context: EntryContext,
  known: KnownServer,
  query: OfferQuery,
  timeLeftMs: number,
): Promise<ReceivedOffer | undefined> {
  const answer = await context.exchange.probe(known, query.work, timeLeftMs, query.mint);
  if (answer === undefined) {
    return undefined;
  }
  const { bid, link, roundTripMs } = answer;
  const { accepted, firstTokenMs, harmMs, cachedTokens } = bid;
  return { server: known.name, accepted, firstTokenMs, harmMs, cachedTokens, roundTripMs, known, link, bid };
}

/** Returns whether an answer may stand for sides that were not probed; one that leaves answers for itself only. */
function isConclusive({ accepted, bid }: ReceivedOffer): boolean {
  return accepted || bid.reason !== Reason.Leaving;
}

function logChoice(
  context: EntryContext,
  query: OfferQuery,
  round: Round,
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
      ...(round.isSlow ? { ejectedAsSlow: true } : {}),
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

function acceptedOffer(best: ReceivedOffer, asked: number): Offers {
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
  const isAnswered = refused.length === asked || refused.some(isConclusive);
  return { best: undefined, reason, retryAfterMs, isConclusive: isAnswered, asked };
}

/** Servers that are probed at the same time. */
interface Round {
  readonly servers: readonly CandidateServer[];
  /** Whether the servers are ejected only for unanswered probes. */
  readonly isSlow: boolean;
}

/**
 * Returns whether servers that are ejected as slow are probed after the others.
 *
 * Load pattern: while a burst leaves a machine short of processor time, sides answer a probe late and are ejected for it.
 * The only server left may be that of a side that has just begun to leave, and its answer must not reject the request while an
 * ejected one is free. A side that rejects for its load is conclusive, so that ejected ones are spared under overload.
 */
function mayProbeSlow(received: readonly ReceivedOffer[], nowMs: number, untilMs: number): boolean {
  return nowMs < untilMs && !received.some(isConclusive);
}

/** Returns the rounds of a query, each computed once the earlier ones are answered. */
function* queryRounds(
  { directory, settings, random, clock }: EntryContext,
  location: Location,
  query: OfferQuery,
  received: readonly ReceivedOffer[],
): Generator<Round> {
  const { kind, target, prefix } = query.work;
  const counts = { byPrefix: settings.probesByPrefix, atRandom: settings.probesAtRandom };
  const roundsOf = (servers: readonly KnownServer[]): CandidateServer[][] =>
    candidateRounds(servers, prefix, location, counts, random);
  const asked = new Set(query.excluded);
  const serving = directory.serving(kind, target).filter((server) => !asked.has(server.name));
  for (const servers of roundsOf(serving)) {
    servers.forEach((server) => asked.add(server.name));
    yield { servers, isSlow: false };
  }
  const slow = directory.ejectedAsSlow(kind, target).filter((server) => !asked.has(server.name));
  for (const servers of roundsOf(slow)) {
    if (!mayProbeSlow(received, clock.now(), query.askSlowUntilMs)) {
      return;
    }
    yield { servers, isSlow: true };
  }
}

/** Probes servers at the same time and returns the offers that are received within the time left. */
function* probeRound(
  context: EntryContext,
  query: OfferQuery,
  servers: readonly KnownServer[],
  timeLeftMs: number,
): ProcessBody<ReceivedOffer[]> {
  const answers: (ReceivedOffer | undefined)[] = servers.map(() => undefined);
  const probes = servers.map(async (server, index) => {
    answers[index] = await probeServer(context, server, query, timeLeftMs);
  });
  yield* settleWithin(Promise.all(probes), context.clock, timeLeftMs);
  return answers.filter((answer) => answer !== undefined);
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
  const received: ReceivedOffer[] = [];
  const endAtMs = context.clock.now() + query.timeLeftMs;
  let askedCount = 0;
  for (const round of queryRounds(context, location, query, received)) {
    const asked = round.servers.flatMap((view) => context.directory.find(view.name) ?? []);
    const timeLeftMs = endAtMs - context.clock.now();
    if (timeLeftMs <= 0) {
      break;
    }
    askedCount += asked.length;
    received.push(...(yield* probeRound(context, query, asked, timeLeftMs)));
    const best = chooseOffer(received);
    const names = asked.map((server) => server.name);
    logChoice(context, query, round, names, received, best);
    if (best !== undefined && offerCost(best) <= SPILLOVER_COST_SHARE * query.work.firstTokenLimitMs) {
      return acceptedOffer(best, askedCount);
    }
  }
  const best = chooseOffer(received);
  return best === undefined ? rejectedOffers(received, askedCount) : acceptedOffer(best, askedCount);
}
