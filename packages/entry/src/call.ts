/** Serves calls of plain services: probes sides, binds idempotency keys, submits and retries. */
import { createHash } from 'node:crypto';
import { pause, type ProcessBody, receiveWithin, settle, settleWithin } from '@toucanbend/channel';
import { Outcome, Reason, RequestKind, estimateTokens, type WorkDescription } from '@toucanbend/core';
import { DecisionKind } from '@toucanbend/observability';
import { FailureKind, type Location } from '@toucanbend/routing';
import { FrameType, type Link, TokenState } from '@toucanbend/wire';
import { sendBody, sendSubmit } from './attempt.js';
import { bindingKey, BindResultKind, type KnownBinding } from './bindings.js';
import { type EntryContext } from './context.js';
import { type KnownServer } from './directory.js';
import { type Inbox, InboxMessageType } from './inbox.js';
import { gatherOffers, type Offers, type ReceivedOffer } from './offers.js';
import { type CallAnswer, type CallRequest, latestQueryAtMs, type RequestEnd } from './request.js';
import { type SubmissionEnd, SubmissionResult, submissionResults } from './submission.js';

const RETRY_DELAY_MS = 50;
const VOID_TIMEOUT_MS = 200;

/** An execution token together with the server that minted it. */
interface TokenGrant {
  readonly server: KnownServer;
  readonly token: string;
  /** Store revision of the idempotency key's binding; 0 if the call has no key. */
  readonly modRevision: number;
}

const requestEnd = (outcome: Outcome, reason: Reason, retryAfterMs = 0): RequestEnd => ({
  outcome,
  reason,
  retryAfterMs,
});

/** Ends the call because no execution token could be acquired. */
interface Rejection {
  readonly end: RequestEnd;
}

class Call {
  readonly #context: EntryContext;
  readonly #location: Location;
  readonly #request: CallRequest;
  readonly #inbox: Inbox;
  readonly #onAnswer: (answer: CallAnswer) => void;
  readonly #bodyHash: string;
  #attempt = 0;
  #callerGone = false;

  constructor(
    context: EntryContext,
    location: Location,
    request: CallRequest,
    inbox: Inbox,
    onAnswer: (answer: CallAnswer) => void,
  ) {
    this.#context = context;
    this.#location = location;
    this.#request = request;
    this.#inbox = inbox;
    this.#onAnswer = onAnswer;
    this.#bodyHash = createHash('sha256')
      .update(`${request.call.method} ${request.call.path}\n`)
      .update(request.body)
      .digest('hex');
  }

  /** Runs an idempotent call: retries on another server after every failed attempt, even one in doubt. */
  *runRepeatable(): ProcessBody<RequestEnd> {
    const failed = new Set<string>();
    let inDoubt = false;
    while (this.#timeLeftMs() > 0 && !this.#callerGone) {
      const offers = yield* this.#offers(false, failed);
      if (offers.best === undefined) {
        if (!inDoubt) {
          return requestEnd(Outcome.NotRun, offers.reason, offers.retryAfterMs);
        }
        failed.clear();
        yield* this.#pauseBeforeRetry();
        continue;
      }
      if (this.#timeLeftMs() <= 0) {
        break;
      }
      const end = yield* this.#submit(offers.best.known, offers.best.link, undefined);
      if (end.result === SubmissionResult.Complete) {
        return requestEnd(Outcome.Complete, Reason.None);
      }
      inDoubt ||= end.result === SubmissionResult.Unknown;
      failed.add(offers.best.server);
      this.#attempt += 1;
      if (!this.#context.mayRetry()) {
        break;
      }
    }
    return requestEnd(inDoubt ? Outcome.Unknown : Outcome.NotRun, Reason.DeadlinePassed);
  }

  /** Runs a non-idempotent call at most once: retries only after proof that the previous attempt never ran. */
  *runOnce(): ProcessBody<RequestEnd> {
    let modRevision = 0;
    while (this.#timeLeftMs() > 0 && !this.#callerGone) {
      const grant = yield* this.#acquireToken(modRevision);
      if ('end' in grant) {
        return grant.end;
      }
      const end = yield* this.#submitUntilAnswered(grant);
      if (end.result === SubmissionResult.Complete) {
        return requestEnd(Outcome.Complete, Reason.None);
      }
      if (end.result === SubmissionResult.Unknown) {
        return requestEnd(Outcome.Unknown, end.reason);
      }
      modRevision = grant.modRevision;
      this.#attempt += 1;
      if (!this.#context.mayRetry()) {
        return requestEnd(Outcome.NotRun, end.reason, RETRY_DELAY_MS);
      }
      yield* this.#pauseBeforeRetry();
    }
    return requestEnd(Outcome.NotRun, this.#callerGone ? Reason.Cancelled : Reason.DeadlinePassed);
  }

  /** Acquires an execution token and, if the call has an idempotency key, binds the key to the token. */
  *#acquireToken(lastModRevision: number): ProcessBody<TokenGrant | Rejection> {
    const { idempotencyKey, account, target } = this.#request;
    if (idempotencyKey === undefined) {
      const offers = yield* this.#offers(true, new Set());
      const token = offers.best?.bid.token;
      return offers.best === undefined || token === undefined
        ? { end: requestEnd(Outcome.NotRun, offers.reason, offers.retryAfterMs) }
        : { server: offers.best.known, token, modRevision: 0 };
    }
    const key = bindingKey(account, target, idempotencyKey);
    const cached = this.#context.bindings.cached(key);
    if (cached !== undefined && lastModRevision === 0) {
      return this.#join(cached);
    }
    const offers = yield* this.#offers(true, new Set());
    const token = offers.best?.bid.token;
    if (offers.best === undefined || token === undefined) {
      return yield* this.#joinWithoutOffer(key, offers);
    }
    return yield* this.#bind(key, offers.best, token, lastModRevision);
  }

  /** If no side accepts the call, checks the store: an earlier call with the same key may have run. */
  *#joinWithoutOffer(key: string, offers: Offers): ProcessBody<TokenGrant | Rejection> {
    const lookUp = yield* settle(this.#context.bindings.lookUp(key, this.#timeLeftMs()));
    if (lookUp.answered && lookUp.found !== undefined) {
      return this.#join(lookUp.found);
    }
    return { end: requestEnd(Outcome.NotRun, offers.reason, offers.retryAfterMs) };
  }

  /** Returns the token that the key is bound to, so that the caller receives the answer of the earlier call. */
  #join({ binding, modRevision }: KnownBinding): TokenGrant | Rejection {
    if (binding.bodyHash !== this.#bodyHash) {
      return { end: requestEnd(Outcome.NotRun, Reason.KeyReused) };
    }
    const server = this.#context.directory.find(binding.server);
    return server === undefined
      ? { end: requestEnd(Outcome.Unknown, Reason.NoServer) }
      : { server, token: binding.token, modRevision };
  }

  /**
   * Binds the key to a freshly minted token. If the key is already bound or the store does not answer, requests that
   * the side voids the token. The request may fail or time out, so only a confirmed void rules out that the token runs:
   * after a store that did not answer, the outcome is `NotRun` if the void is confirmed and the call had no earlier
   * token, otherwise `Unknown`.
   */
  *#bind(
    key: string,
    offer: ReceivedOffer,
    token: string,
    lastModRevision: number,
  ): ProcessBody<TokenGrant | Rejection> {
    const binding = { token, server: offer.server, bodyHash: this.#bodyHash };
    const deadlineAtMs = this.#context.clock.now() + this.#timeLeftMs() - VOID_TIMEOUT_MS;
    const bound = yield* settle(this.#context.bindings.bind(key, binding, lastModRevision, deadlineAtMs));
    this.#context.logger.decision({
      decision: DecisionKind.Bind,
      request: this.#request.requestId,
      fields: { result: bound.kind, server: offer.server, token },
    });
    if (bound.kind === BindResultKind.Bound) {
      return { server: offer.known, token, modRevision: bound.modRevision };
    }
    const voided = this.#context.exchange.voidToken(offer.known, token, VOID_TIMEOUT_MS);
    if (bound.kind === BindResultKind.AlreadyBound) {
      return this.#join(bound);
    }
    const state = yield* settleWithin(voided, this.#context.clock, this.#timeLeftMs());
    const isVoided = !state.timedOut && state.value === TokenState.Voided;
    const isNeverRun = isVoided && lastModRevision === 0;
    const outcome = isNeverRun ? Outcome.NotRun : Outcome.Unknown;
    return { end: requestEnd(outcome, Reason.StoreUnavailable, RETRY_DELAY_MS) };
  }

  /**
   * Submits a call under its token, reconnecting after a lost link. Resubmitting is safe because the side runs a
   * token at most once.
   */
  *#submitUntilAnswered(grant: TokenGrant): ProcessBody<SubmissionEnd> {
    const isBound = grant.modRevision > 0 || this.#request.idempotencyKey !== undefined;
    let wasSent = false;
    while (this.#timeLeftMs() > 0) {
      const { clock, exchange } = this.#context;
      const connected = yield* settleWithin(exchange.connect(grant.server), clock, this.#timeLeftMs());
      if (!connected.timedOut && connected.value.isOk()) {
        const link = connected.value.value;
        if (!grant.token.startsWith(`${link.peer.incarnation}/`)) {
          const mayHaveRun = wasSent || isBound;
          const result = mayHaveRun ? SubmissionResult.Unknown : SubmissionResult.NotRun;
          return { result, reason: Reason.TokenVoid };
        }
        wasSent = true;
        const end = yield* this.#submit(grant.server, link, grant.token);
        const isLinkLost = end.result === SubmissionResult.Unknown && end.reason === Reason.LinkLost;
        if (!isLinkLost) {
          return end;
        }
      }
      yield* this.#pauseBeforeRetry();
    }
    const result = wasSent || isBound ? SubmissionResult.Unknown : SubmissionResult.NotRun;
    return { result, reason: Reason.DeadlinePassed };
  }

  *#submit(server: KnownServer, link: Link, token: string | undefined): ProcessBody<SubmissionEnd> {
    const { requestId, body } = this.#request;
    const attempt = this.#attempt;
    const { exchange } = this.#context;
    exchange.bind(requestId, attempt, link, this.#inbox);
    const { promptTokens, maxTokens } = this.#work();
    sendSubmit(link, this.#request, body, {
      attempt,
      promptTokens,
      maxTokens,
      prefix: [],
      timeLeftMs: Math.max(0, this.#timeLeftMs()),
      deliveredTokens: 0,
      call: this.#request.call,
      token,
    });
    sendBody(link, requestId, attempt, body);
    const end = yield* this.#awaitEnd(link, attempt);
    exchange.unbind(requestId, attempt);
    if (end.result === SubmissionResult.Unknown && end.reason === Reason.LinkLost) {
      this.#context.directory.recordFailure(server.name, FailureKind.Lost);
    }
    return end;
  }

  *#awaitEnd(link: Link, attempt: number): ProcessBody<SubmissionEnd> {
    const { requestId } = this.#request;
    for (;;) {
      const received = yield* receiveWithin(this.#inbox, this.#context.clock, this.#timeLeftMs());
      if (received.timedOut) {
        return { result: SubmissionResult.Unknown, reason: Reason.DeadlinePassed };
      }
      const message = received.value;
      if (message.type === InboxMessageType.CallerGone) {
        this.#callerGone = true;
        link.send({ type: FrameType.Cancel, requestId, attempt });
        return { result: SubmissionResult.Unknown, reason: Reason.Cancelled };
      }
      if (message.type === InboxMessageType.LinkLost) {
        return { result: SubmissionResult.Unknown, reason: Reason.LinkLost };
      }
      const { frame } = message;
      if (frame.attempt === attempt && frame.type === FrameType.Answer) {
        this.#onAnswer(frame);
      }
      if (frame.attempt === attempt && frame.type === FrameType.Done) {
        link.send({ type: FrameType.Release, requestId, attempt });
        return { result: submissionResults[frame.outcome], reason: frame.reason };
      }
    }
  }

  /** Waits before a retry, but not beyond the time in which the caller must be answered. */
  *#pauseBeforeRetry(): ProcessBody {
    yield* pause(this.#context.clock, Math.min(RETRY_DELAY_MS, this.#timeLeftMs()));
  }

  #offers(mint: boolean, excluded: ReadonlySet<string>): ReturnType<typeof gatherOffers> {
    return gatherOffers(this.#context, this.#location, {
      requestId: this.#request.requestId,
      attempt: this.#attempt,
      work: this.#work(),
      timeLeftMs: this.#timeLeftMs(),
      mint,
      excluded,
      askSlowUntilMs: latestQueryAtMs(this.#request),
    });
  }

  #work(): WorkDescription {
    const { target, rank, account, weight, body } = this.#request;
    return {
      kind: RequestKind.Service,
      target,
      rank,
      account,
      weight,
      promptTokens: estimateTokens(body.length),
      maxTokens: 1,
      prefix: [],
      firstTokenLimitMs: this.#request.firstTokenLimitMs,
    };
  }

  #timeLeftMs(): number {
    return this.#request.deadlineAtMs - this.#context.settings.answerMarginMs - this.#context.clock.now();
  }
}

/**
 * Serves a call of a plain service. Call it with `yield*`.
 *
 * @param context - shared services and settings of the entry
 * @param location - data centre and region of the entry
 * @param request - the parsed call
 * @param inbox - delivers frames, link losses and the caller's disconnect to the process
 * @param onAnswer - called with the service's answer
 * @returns outcome and reason of the request
 */
export function* serveCall(
  context: EntryContext,
  location: Location,
  request: CallRequest,
  inbox: Inbox,
  onAnswer: (answer: CallAnswer) => void,
): ProcessBody<RequestEnd> {
  const call = new Call(context, location, request, inbox, onAnswer);
  return yield* request.isIdempotent ? call.runRepeatable() : call.runOnce();
}
