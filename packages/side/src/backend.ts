/** Common interface to backend servers, with adapters for model engines and plain services. */
import { type ServiceCall } from '@toucanbend/core';
import { CompletionEndKind, type ModelEngine } from '@toucanbend/engine';
import { type PlainService, type ServiceAnswer, ServiceErrorKind } from '@toucanbend/service';

/** A request to a backend server. */
export interface BackendWork {
  readonly requestId: string;
  readonly target: string;
  readonly maxTokens: number;
  /** Scheduling priority at a model engine; lower values are served first. */
  readonly priority: number;
  readonly body: Uint8Array;
  readonly call: ServiceCall | undefined;
}

/** How a request to a backend server ended. */
export enum BackendEnd {
  Finished = 'finished',
  /** The request did not reach the backend server. */
  NotSent = 'not_sent',
  Failed = 'failed',
}

/** Callbacks that receive the results of a backend server. */
export interface BackendSink {
  readonly onTokens: (tokens: readonly string[]) => void;
  readonly onAnswer: (answer: ServiceAnswer) => void;
  /** Called exactly once, unless the request is cancelled first. */
  readonly onEnd: (end: BackendEnd, message: string) => void;
}

/** A backend server. */
export interface BackendServer {
  /**
   * Starts a request.
   *
   * @param work - the request
   * @param sink - receives the results
   * @returns a function that cancels the request
   */
  start(work: BackendWork, sink: BackendSink): () => void;
}

/** Adapter that makes a model engine a backend server. */
export class ModelBackend implements BackendServer {
  readonly #engine: ModelEngine;

  /**
   * @param engine - client of the model engine
   */
  constructor(engine: ModelEngine) {
    this.#engine = engine;
  }

  start(work: BackendWork, sink: BackendSink): () => void {
    const { target, maxTokens, priority, body } = work;
    const prompt = Buffer.from(body).toString('utf8');
    return this.#engine.complete(
      { model: target, prompt, maxTokens, priority },
      {
        onTokens: sink.onTokens,
        onEnd: ({ kind, message }) => {
          sink.onEnd(backendEnds[kind], message);
        },
      },
    );
  }
}

const backendEnds: Readonly<Record<CompletionEndKind, BackendEnd>> = {
  [CompletionEndKind.Finished]: BackendEnd.Finished,
  [CompletionEndKind.Refused]: BackendEnd.NotSent,
  [CompletionEndKind.Failed]: BackendEnd.Failed,
};

/** Adapter that makes a plain service a backend server. */
export class ServiceBackend implements BackendServer {
  readonly #service: PlainService;

  /**
   * @param service - client of the plain service
   */
  constructor(service: PlainService) {
    this.#service = service;
  }

  start(work: BackendWork, sink: BackendSink): () => void {
    let cancelled = false;
    const call = work.call ?? { method: 'POST', path: '/', contentType: 'application/octet-stream' };
    const pending = this.#service.call(call, work.requestId, work.body);
    void pending.answer.then((answer) => {
      if (cancelled) {
        return;
      }
      if (answer.isOk()) {
        sink.onAnswer(answer.value);
        sink.onEnd(BackendEnd.Finished, '');
      } else {
        const isUnsent = answer.error.kind === ServiceErrorKind.NotSent;
        sink.onEnd(isUnsent ? BackendEnd.NotSent : BackendEnd.Failed, answer.error.message);
      }
    });
    return () => {
      cancelled = true;
      pending.abandon();
    };
  }
}
