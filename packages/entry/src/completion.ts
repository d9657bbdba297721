/** Serves completions: resumes at another server after a failure and delivers each token exactly once. */
import { pause, type ProcessBody, receiveWithin, settleWithin } from '@toucanbend/channel';
import { Outcome, Reason, RequestKind, estimateTokens, type WorkDescription } from '@toucanbend/core';
import { DecisionKind } from '@toucanbend/observability';
import { FailureKind, type Location } from '@toucanbend/routing';
import { FrameType, type Link } from '@toucanbend/wire';
import { sendBody, sendSubmit } from './attempt.js';
import { type EntryContext } from './context.js';
import { type KnownServer } from './directory.js';
import { type AttemptFrame, type Inbox, InboxMessageType } from './inbox.js';
import { gatherOffers, type ReceivedOffer } from './offers.js';
import { type CompletionRequest, latestQueryAtMs, type RequestEnd } from './request.js';

/** Result of one attempt. */
enum AttemptResult {
  Complete = 'complete',
  /** The side rejected the attempt and will never run it. */
  Declined = 'declined',
  /** The attempt may have run in part; the completion can resume at another server. */
  Lost = 'lost',
  CallerGone = 'caller_gone',
  DeadlinePassed = 'deadline_passed',
}

interface AttemptEnd {
  readonly result: AttemptResult;
  readonly reason: Reason;
  readonly retryAfterMs: number;
}

const RETRY_DELAY_MS = 50;
const MAX_UNANSWERED_QUERIES = 3;
/** Longest delay between two queries that no side answered, in milliseconds; the delay doubles up to it. */
const MAX_RETRY_DELAY_MS = 200;
/** Bodies up to this size are sent with the submission, without waiting for the side to accept it. */
const EAGER_BODY_BYTES = 64 * 1024;

const attemptEnd = (result: AttemptResult, reason: Reason, retryAfterMs = 0): AttemptEnd => ({
  result,
  reason,
  retryAfterMs,
});

/** State of a completion across attempts. */
interface Progress {
  /** Tokens already passed to the caller. */
  readonly delivered: string[];
  attempt: number;
  /** Whether an earlier attempt may have run at a server. */
  inDoubt: boolean;
  /** Names of servers excluded from the next query because an attempt there failed. */
  readonly failed: Set<string>;
}

class Completion {
  readonly #context: EntryContext;
  readonly #location: Location;
  readonly #request: CompletionRequest;
  readonly #inbox: Inbox;
  readonly #onTokens: (tokens: readonly string[]) => void;
  readonly #progress: Progress = { delivered: [], attempt: 0, inDoubt: false, failed: new Set() };

  constructor(
    context: EntryContext,
    location: Location,
    request: CompletionRequest,
    inbox: Inbox,
    onTokens: (tokens: readonly string[]) => void,
  ) {
    this.#context = context;
    this.#location = location;
    this.#request = request;
    this.#inbox = inbox;
    this.#onTokens = onTokens;
  }

  *run(): ProcessBody<RequestEnd> {
    let failedQueries = 0;
    while (this.#timeLeftMs() > 0) {
      const offers = yield* gatherOffers(this.#context, this.#location, {
        requestId: this.#request.requestId,
        attempt: this.#progress.attempt,
        work: this.#work(),
        timeLeftMs: this.#timeLeftMs(),
        mint: false,
        excluded: this.#progress.failed,
        askSlowUntilMs: latestQueryAtMs(this.#request),
      });
      if (offers.best === undefined) {
        failedQueries += 1;
        const isUnanswered =
          !offers.isConclusive && (offers.asked > 0 || failedQueries < MAX_UNANSWERED_QUERIES);
        const mayQueryAgain = this.#progress.inDoubt || (isUnanswered && this.#mayRepeatQuery());
        if (!mayQueryAgain) {
          return this.#end(offers.reason, offers.retryAfterMs);
        }
        this.#progress.failed.clear();
        const delayMs = Math.min(MAX_RETRY_DELAY_MS, RETRY_DELAY_MS * 2 ** (failedQueries - 1));
        yield* pause(this.#context.clock, Math.min(delayMs, this.#timeLeftMs()));
        continue;
      }
      if (this.#timeLeftMs() <= 0) {
        break;
      }
      const end = yield* this.#attempt(offers.best);
      this.#progress.attempt += 1;
      const final = this.#conclude(end, offers.best.server);
      if (final !== undefined) {
        return final;
      }
    }
    return this.#end(Reason.DeadlinePassed, 0);
  }

  /** Returns the end of the request, or undefined if another attempt is allowed. */
  #conclude(end: AttemptEnd, server: string): RequestEnd | undefined {
    switch (end.result) {
      case AttemptResult.Complete:
        return { outcome: Outcome.Complete, reason: Reason.None, retryAfterMs: 0 };
      case AttemptResult.CallerGone:
      case AttemptResult.DeadlinePassed:
        return { outcome: Outcome.Unknown, reason: end.reason, retryAfterMs: 0 };
      case AttemptResult.Declined:
        break;
      case AttemptResult.Lost:
        this.#progress.inDoubt = true;
        this.#context.directory.recordFailure(server, FailureKind.Lost);
        break;
    }
    this.#progress.failed.add(server);
    this.#context.logger.decision({
      decision: DecisionKind.Retry,
      request: this.#request.requestId,
      fields: {
        attempt: this.#progress.attempt,
        after: end.result,
        reason: end.reason,
        delivered: this.#progress.delivered.length,
      },
    });
    return this.#context.mayRetry() ? undefined : this.#end(end.reason, end.retryAfterMs);
  }

  #end(reason: Reason, retryAfterMs: number): RequestEnd {
    const outcome = this.#progress.inDoubt ? Outcome.Unknown : Outcome.NotRun;
    return { outcome, reason, retryAfterMs };
  }

  #timeLeftMs(): number {
    return this.#request.deadlineAtMs - this.#context.settings.answerMarginMs - this.#context.clock.now();
  }

  /** Returns the time left for the first token; once an attempt is in doubt, only the deadline applies. */
  #firstTokenLeftMs(): number {
    const { receivedAtMs, firstTokenLimitMs } = this.#request;
    const leftMs = receivedAtMs + firstTokenLimitMs - this.#context.clock.now();
    return this.#progress.inDoubt ? this.#timeLeftMs() : Math.max(0, leftMs);
  }

  /** Returns whether enough time is left to ask sides again that did not answer. */
  #mayRepeatQuery(): boolean {
    return this.#context.clock.now() < latestQueryAtMs(this.#request);
  }

  #remainingTokens(): number {
    return this.#request.maxTokens - this.#progress.delivered.length;
  }

  /** Returns the prompt followed by the tokens delivered so far, from which another server resumes. */
  #body(): Uint8Array {
    const { delivered } = this.#progress;
    return delivered.length === 0
      ? this.#request.body
      : Buffer.concat([this.#request.body, Buffer.from(delivered.join(''))]);
  }

  #work(): WorkDescription {
    const { target, rank, account, weight, prefix, promptTokens } = this.#request;
    const answered = estimateTokens(this.#progress.delivered.join('').length);
    return {
      kind: RequestKind.Model,
      target,
      rank,
      account,
      weight,
      prefix,
      promptTokens: promptTokens + answered,
      maxTokens: this.#remainingTokens(),
      firstTokenLimitMs: this.#firstTokenLeftMs(),
    };
  }

  *#attempt(offer: ReceivedOffer): ProcessBody<AttemptEnd> {
    const { requestId } = this.#request;
    const { attempt } = this.#progress;
    if (this.#remainingTokens() <= 0) {
      return attemptEnd(AttemptResult.Complete, Reason.None);
    }
    const body = this.#body();
    const { exchange } = this.#context;
    exchange.bind(requestId, attempt, offer.link, this.#inbox);
    const { promptTokens, maxTokens, prefix, firstTokenLimitMs } = this.#work();
    sendSubmit(offer.link, { ...this.#request, firstTokenLimitMs }, body, {
      attempt,
      promptTokens,
      maxTokens,
      prefix: [...prefix],
      timeLeftMs: this.#timeLeftMs(),
      deliveredTokens: this.#progress.delivered.length,
    });
    const isEager = body.length <= EAGER_BODY_BYTES;
    if (isEager) {
      sendBody(offer.link, requestId, attempt, body);
    }
    const end = yield* this.#awaitEnd(offer.known, offer.link, isEager ? undefined : body);
    exchange.unbind(requestId, attempt);
    return end;
  }

  /** Receives an attempt's frames until it ends, reattaching over a new link after each lost one. */
  *#awaitEnd(server: KnownServer, first: Link, lateBody: Uint8Array | undefined): ProcessBody<AttemptEnd> {
    const { requestId } = this.#request;
    const { attempt } = this.#progress;
    let link = first;
    let body = lateBody;
    for (;;) {
      const received = yield* receiveWithin(this.#inbox, this.#context.clock, this.#timeLeftMs());
      if (received.timedOut) {
        link.send({ type: FrameType.Cancel, requestId, attempt });
        return attemptEnd(AttemptResult.DeadlinePassed, Reason.DeadlinePassed);
      }
      const message = received.value;
      switch (message.type) {
        case InboxMessageType.CallerGone:
          link.send({ type: FrameType.Cancel, requestId, attempt });
          return attemptEnd(AttemptResult.CallerGone, Reason.Cancelled);
        case InboxMessageType.LinkLost: {
          if (message.attempt !== attempt) {
            break;
          }
          const next = yield* this.#reattach(server, link);
          if (next === undefined) {
            return attemptEnd(AttemptResult.Lost, Reason.LinkLost);
          }
          link = next;
          break;
        }
        case InboxMessageType.Frame: {
          if (message.frame.type === FrameType.Accepted && body !== undefined) {
            sendBody(link, requestId, attempt, body);
            body = undefined;
          }
          const end = this.#handleFrame(message.frame, link);
          if (end !== undefined) {
            return end;
          }
          break;
        }
      }
    }
  }

  /**
   * Requests the rest of the answer from the same side over a new link. Returns undefined if the side cannot be
   * reached in time or has restarted since.
   */
  *#reattach(server: KnownServer, lost: Link): ProcessBody<Link | undefined> {
    const { requestId } = this.#request;
    const { attempt, delivered } = this.#progress;
    const { clock, exchange } = this.#context;
    const connected = yield* settleWithin(exchange.connect(server), clock, this.#timeLeftMs());
    if (connected.timedOut || connected.value.isErr()) {
      return undefined;
    }
    const link = connected.value.value;
    if (link.peer.incarnation !== lost.peer.incarnation) {
      return undefined;
    }
    exchange.bind(requestId, attempt, link, this.#inbox);
    link.send({ type: FrameType.Attach, requestId, attempt, offset: delivered.length });
    return link;
  }

  #handleFrame(frame: AttemptFrame, link: Link): AttemptEnd | undefined {
    const { requestId } = this.#request;
    const { attempt, delivered } = this.#progress;
    if (frame.attempt !== attempt) {
      return undefined;
    }
    switch (frame.type) {
      case FrameType.Output: {
        const fresh = frame.tokens.slice(Math.max(0, delivered.length - frame.offset));
        if (frame.offset > delivered.length) {
          return attemptEnd(AttemptResult.Lost, Reason.LinkLost);
        }
        delivered.push(...fresh);
        this.#onTokens(fresh);
        return undefined;
      }
      case FrameType.Done:
        link.send({ type: FrameType.Release, requestId, attempt });
        return doneResult(frame.outcome, frame.reason, frame.retryAfterMs);
      case FrameType.RequestNotFound:
        return attemptEnd(AttemptResult.Lost, Reason.LinkLost);
      default:
        return undefined;
    }
  }
}

function doneResult(outcome: Outcome, reason: Reason, retryAfterMs: number): AttemptEnd {
  switch (outcome) {
    case Outcome.Complete:
      return attemptEnd(AttemptResult.Complete, Reason.None);
    case Outcome.NotRun:
      return attemptEnd(AttemptResult.Declined, reason, retryAfterMs);
    case Outcome.Unknown:
      return reason === Reason.DeadlinePassed
        ? attemptEnd(AttemptResult.DeadlinePassed, reason)
        : attemptEnd(AttemptResult.Lost, reason);
  }
}

/**
 * Serves a completion. Call it with `yield*`.
 *
 * @param context - shared services and settings of the entry
 * @param location - data centre and region of the entry
 * @param request - the parsed completion
 * @param inbox - delivers frames, link losses and the caller's disconnect to the process
 * @param onTokens - called with the tokens of the answer, each exactly once and in order
 * @returns outcome and reason of the request
 */
export function* serveCompletion(
  context: EntryContext,
  location: Location,
  request: CompletionRequest,
  inbox: Inbox,
  onTokens: (tokens: readonly string[]) => void,
): ProcessBody<RequestEnd> {
  return yield* new Completion(context, location, request, inbox, onTokens).run();
}
