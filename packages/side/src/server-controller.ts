/**
 * Controller of one backend server. Every request for the server passes through it, so queueing, memory reservations
 * and execution tokens are decided in one place.
 */
import { type Clock, Outcome, Reason } from '@toucanbend/core';
import { DecisionKind, type Logger } from '@toucanbend/observability';
import { type SchedulerSettings, SubmitVerdict } from '@toucanbend/scheduler';
import { type SideSettings } from '@toucanbend/settings';
import { type Frame, type FrameOf, FrameType, type Link } from '@toucanbend/wire';
import { BackendEnd, type BackendServer } from './backend.js';
import { createDispatcher } from './dispatcher.js';
import { type SideEvent, SideEventType } from './event.js';
import { createExecutionTokens } from './execution-tokens.js';
import {
  createTrackedRequest,
  replay,
  type RequestEnd,
  RequestPhase,
  RequestTimer,
  sendAnswer,
  sendEnd,
  type TrackedRequest,
} from './tracked-request.js';
import { createRequestRegistry } from './request-registry.js';

/** Dependencies and settings of a server controller. */
export interface ServerControllerOptions {
  readonly incarnation: string;
  readonly settings: SideSettings;
  readonly scheduler: SchedulerSettings;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly backend: BackendServer;
  /** Queues an event to be handled after the current one. */
  readonly raise: (event: SideEvent) => void;
  /** Called at a first token with its predicted and actual latency, in milliseconds since the request was accepted. */
  readonly onFirstToken: (predictedMs: number, actualMs: number) => void;
  /** Called while the server is draining and no unfinished request remains; may be called repeatedly. */
  readonly onIdle: () => void;
}

/** Controller of one backend server. */
export interface ServerController {
  /** Handles one event, then drops infeasible requests and dispatches queued ones. */
  handle(event: SideEvent): void;
  /** Returns the state that operators see at `/status`. */
  status(): object;
}

const createEnd = (outcome: Outcome, reason: Reason, retryAfterMs = 0): RequestEnd => ({
  outcome,
  reason,
  retryAfterMs,
});

/**
 * Creates the controller of one backend server.
 *
 * @param options - settings, clock, backend server and callbacks
 * @returns a controller without requests
 */
export function createServerController(options: ServerControllerOptions): ServerController {
  const { clock, settings, logger, raise } = options;
  const registry = createRequestRegistry(clock, (id, timer) => {
    raise({ type: SideEventType.TimerFired, id, timer });
  });
  const dispatcher = createDispatcher({ ...options, registry, stallMs: settings.stallMs });
  const executionTokens = createExecutionTokens(options.incarnation, clock, settings.tokenRetentionMs);

  const notifyIfIdle = (): void => {
    if (dispatcher.isDraining() && !registry.hasUnfinished()) {
      options.onIdle();
    }
  };

  /**
   * Ends a request: notifies its listeners, and retracts or finishes its execution token. A token whose call is still
   * running stays running: neither `handleCancel` nor a deadline in `handleTimer` ends its request.
   */
  const finish = (request: TrackedRequest, end: RequestEnd): void => {
    if (request.phase === RequestPhase.Ended) {
      return;
    }
    request.phase = RequestPhase.Ended;
    request.end = end;
    request.chunks.length = 0;
    dispatcher.end(request);
    registry.clearTimer(request, RequestTimer.Deadline);
    registry.clearTimer(request, RequestTimer.Orphan);
    request.listeners.forEach((listener) => {
      sendEnd(listener, end, request.deliveredTokens + request.tokens.length);
    });
    if (request.token === undefined) {
      registry.setTimer(request, RequestTimer.Retention, settings.answerRetentionMs);
    } else if (end.outcome === Outcome.NotRun) {
      executionTokens.retract(request.token);
      registry.setTimer(request, RequestTimer.Retention, settings.answerRetentionMs);
    } else {
      executionTokens.finish(request.token);
    }
    logger.decision({
      decision: DecisionKind.Finish,
      request: request.requestId,
      fields: {
        attempt: request.attempt,
        outcome: end.outcome,
        reason: end.reason,
        tokens: request.tokens.length,
        predictedFirstTokenMs: Math.round(request.predictedFirstTokenMs),
        firstTokenMs: Math.round(request.firstTokenMs ?? 0),
        promptTokens: request.work.promptTokens,
        rank: request.work.rank,
      },
    });
    notifyIfIdle();
  };

  const cancel = (request: TrackedRequest, reason: Reason): void => {
    const hasStarted = request.phase === RequestPhase.Running;
    request.cancelBackend?.();
    request.cancelBackend = undefined;
    finish(request, createEnd(hasStarted ? Outcome.Unknown : Outcome.NotRun, reason));
  };

  const schedule = (): void => {
    for (const request of dispatcher.infeasible()) {
      finish(request, createEnd(Outcome.NotRun, Reason.DeadlineUnreachable));
    }
    dispatcher.dispatchQueued();
  };

  const answerProbe = (link: Link, probe: FrameOf<FrameType.Probe>): void => {
    const { probeId, timeLeftMs, mint, ...work } = probe;
    const estimate = dispatcher.estimateAdmission(work, timeLeftMs);
    const frame = { type: FrameType.Bid, probeId, ...estimate } as const;
    if (mint && estimate.accepted) {
      link.send({ ...frame, token: executionTokens.mint(timeLeftMs) });
    } else {
      link.send(frame);
    }
  };

  const reject = (link: Link, frame: FrameOf<FrameType.Submit>, end: RequestEnd): void => {
    sendEnd({ link, requestId: frame.requestId, attempt: frame.attempt }, end, frame.deliveredTokens);
  };

  /**
   * Cancels earlier attempts at the same request, so that no two of them run at once. Attempts with an execution token
   * are not cancelled.
   */
  const cancelEarlierAttempts = (requestId: string, attempt: number): void => {
    for (let earlier = attempt - 1; earlier >= 0; earlier -= 1) {
      const request = registry.find(requestId, earlier);
      if (request?.token === undefined && request !== undefined) {
        registry.removeListeners(request, () => true);
        cancel(request, Reason.Cancelled);
      }
    }
  };

  const accept = (link: Link, frame: FrameOf<FrameType.Submit>, predictedFirstTokenMs: number): void => {
    const request = createTrackedRequest(frame, link, clock.now());
    request.predictedFirstTokenMs = predictedFirstTokenMs;
    registry.add(request);
    registry.setTimer(request, RequestTimer.Deadline, frame.timeLeftMs);
    link.send({ type: FrameType.Accepted, requestId: request.requestId, attempt: request.attempt });
    if (request.bodyBytes === 0) {
      dispatcher.enqueue(request);
    }
  };

  const joinExecution = (link: Link, frame: FrameOf<FrameType.Submit>, token: string): void => {
    const request = registry.byToken(token);
    const listener = { link, requestId: frame.requestId, attempt: frame.attempt };
    if (request === undefined) {
      sendEnd(listener, createEnd(Outcome.Unknown, Reason.TokenVoid), 0);
      return;
    }
    registry.addListener(request, listener);
    replay(request, listener, frame.deliveredTokens);
  };

  const submitWithToken = (link: Link, frame: FrameOf<FrameType.Submit>, token: string): void => {
    switch (executionTokens.submit(token)) {
      case SubmitVerdict.Run:
        if (dispatcher.isDraining()) {
          executionTokens.retract(token);
          reject(link, frame, createEnd(Outcome.NotRun, Reason.Leaving));
        } else {
          accept(link, frame, 0);
        }
        return;
      case SubmitVerdict.Join:
        joinExecution(link, frame, token);
        return;
      case SubmitVerdict.Void:
        reject(link, frame, createEnd(Outcome.NotRun, Reason.TokenVoid));
        return;
      case SubmitVerdict.Unknown:
        reject(link, frame, createEnd(Outcome.Unknown, Reason.TokenVoid));
        return;
    }
  };

  const submit = (link: Link, frame: FrameOf<FrameType.Submit>): void => {
    if (frame.token !== undefined) {
      submitWithToken(link, frame, frame.token);
      return;
    }
    cancelEarlierAttempts(frame.requestId, frame.attempt);
    const estimate = dispatcher.estimateAdmission(frame, frame.timeLeftMs);
    logger.decision({
      decision: DecisionKind.Admit,
      request: frame.requestId,
      fields: {
        attempt: frame.attempt,
        accepted: estimate.accepted,
        reason: estimate.reason,
        firstTokenMs: Math.round(estimate.firstTokenMs),
      },
    });
    if (estimate.accepted) {
      accept(link, frame, estimate.firstTokenMs);
    } else {
      reject(link, frame, createEnd(Outcome.NotRun, estimate.reason, estimate.retryAfterMs));
    }
  };

  const receiveBody = (frame: FrameOf<FrameType.Body>): void => {
    const request = registry.find(frame.requestId, frame.attempt);
    const extendsBody =
      request?.phase === RequestPhase.Receiving &&
      frame.offset <= request.receivedBytes &&
      frame.offset + frame.bytes.length > request.receivedBytes;
    if (!extendsBody) {
      return;
    }
    const added = frame.bytes.subarray(request.receivedBytes - frame.offset);
    request.chunks.push(added);
    request.receivedBytes += added.length;
    if (request.receivedBytes >= request.bodyBytes) {
      dispatcher.enqueue(request);
    }
  };

  const attach = (link: Link, frame: FrameOf<FrameType.Attach>): void => {
    const { requestId, attempt } = frame;
    const request = registry.find(requestId, attempt);
    if (request === undefined || request.phase === RequestPhase.Receiving) {
      link.send({ type: FrameType.RequestNotFound, requestId, attempt });
      return;
    }
    registry.removeListeners(
      request,
      (listener) => listener.requestId === requestId && listener.attempt === attempt,
    );
    const listener = { link, requestId, attempt };
    registry.addListener(request, listener);
    replay(request, listener, frame.offset);
  };

  const release = (link: Link, frame: FrameOf<FrameType.Release>): void => {
    const request = registry.find(frame.requestId, frame.attempt);
    if (request?.phase === RequestPhase.Ended && request.token === undefined) {
      registry.remove(request);
    } else if (request !== undefined) {
      registry.removeListeners(
        request,
        (listener) => listener.link === link && listener.requestId === frame.requestId,
      );
    }
  };

  const handleCancel = (frame: FrameOf<FrameType.Cancel>): void => {
    const request = registry.find(frame.requestId, frame.attempt);
    const mustRunToEnd = request?.token !== undefined && request.phase === RequestPhase.Running;
    if (request !== undefined && request.phase !== RequestPhase.Ended && !mustRunToEnd) {
      cancel(request, Reason.Cancelled);
    }
  };

  const handleFrame = (link: Link, frame: Frame): void => {
    switch (frame.type) {
      case FrameType.Probe:
        answerProbe(link, frame);
        return;
      case FrameType.Submit:
        submit(link, frame);
        return;
      case FrameType.Body:
        receiveBody(frame);
        return;
      case FrameType.Attach:
        attach(link, frame);
        return;
      case FrameType.Cancel:
        handleCancel(frame);
        return;
      case FrameType.Release:
        release(link, frame);
        return;
      case FrameType.VoidToken:
        link.send({
          type: FrameType.TokenVoided,
          token: frame.token,
          state: executionTokens.void(frame.token),
        });
        return;
      default:
    }
  };

  const handleLinkEnd = (link: Link): void => {
    for (const request of registry.removeLink(link)) {
      registry.setTimer(request, RequestTimer.Orphan, settings.attachGraceMs);
    }
  };

  const receiveTokens = (id: string, added: readonly string[]): void => {
    const request = registry.byId(id);
    if (request?.phase !== RequestPhase.Running) {
      return;
    }
    const offset = request.deliveredTokens + request.tokens.length;
    request.tokens.push(...added);
    request.lastTokenAtMs = clock.now();
    if (request.firstTokenMs === undefined) {
      request.firstTokenMs = clock.now() - request.acceptedAtMs;
      options.onFirstToken(request.predictedFirstTokenMs, request.firstTokenMs);
    }
    dispatcher.progress(request, added.length);
    for (const { link, requestId, attempt } of request.listeners) {
      link.send({ type: FrameType.Output, requestId, attempt, offset, tokens: [...added] });
    }
  };

  const handleBackendEnd = (id: string, end: BackendEnd): void => {
    const request = registry.byId(id);
    if (request === undefined) {
      return;
    }
    request.cancelBackend = undefined;
    switch (end) {
      case BackendEnd.Finished:
        finish(request, createEnd(Outcome.Complete, Reason.None));
        return;
      case BackendEnd.NotSent:
        finish(request, createEnd(Outcome.NotRun, Reason.ServerFailed));
        return;
      case BackendEnd.Failed:
        finish(request, createEnd(Outcome.Unknown, Reason.ServerFailed));
        return;
    }
  };

  const receiveAnswer = (id: string, answer: TrackedRequest['answer']): void => {
    const request = registry.byId(id);
    if (request === undefined || answer === undefined) {
      return;
    }
    request.answer = answer;
    request.listeners.forEach((listener) => {
      sendAnswer(listener, answer);
    });
  };

  const handleTimer = (id: string, timer: RequestTimer): void => {
    const request = registry.byId(id);
    if (request === undefined) {
      return;
    }
    request.timers.delete(timer);
    if (timer === RequestTimer.Retention) {
      cancel(request, Reason.DeadlinePassed);
      registry.remove(request);
    } else if (request.token !== undefined && request.phase === RequestPhase.Running) {
      request.listeners.forEach((listener) => {
        sendEnd(listener, createEnd(Outcome.Unknown, Reason.DeadlinePassed), 0);
      });
      registry.setTimer(request, RequestTimer.Retention, settings.tokenRetentionMs);
    } else {
      cancel(request, timer === RequestTimer.Deadline ? Reason.DeadlinePassed : Reason.Cancelled);
    }
  };

  const tick = (): void => {
    dispatcher.stalled().forEach((request) => {
      cancel(request, Reason.ServerFailed);
    });
    for (const token of executionTokens.expire()) {
      const request = registry.byToken(token);
      if (request !== undefined) {
        registry.remove(request);
      }
    }
  };

  const handle = (event: SideEvent): void => {
    switch (event.type) {
      case SideEventType.Frame:
        handleFrame(event.link, event.frame);
        break;
      case SideEventType.LinkEnded:
        handleLinkEnd(event.link);
        break;
      case SideEventType.Tokens:
        receiveTokens(event.id, event.tokens);
        break;
      case SideEventType.Answer:
        receiveAnswer(event.id, event.answer);
        break;
      case SideEventType.BackendEnded:
        handleBackendEnd(event.id, event.end);
        break;
      case SideEventType.TimerFired:
        handleTimer(event.id, event.timer);
        break;
      case SideEventType.Tick:
        tick();
        break;
      case SideEventType.Configured:
        dispatcher.configure(event.document);
        break;
      case SideEventType.DrainingSet:
        dispatcher.setDraining(event.leaving);
        notifyIfIdle();
        break;
    }
    schedule();
  };

  return {
    handle,
    status: () => ({
      held: registry.size(),
      tokens: executionTokens.size(),
      ...dispatcher.status(),
    }),
  };
}
