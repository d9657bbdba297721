/** Writes HTTP responses to callers: buffered and streamed answers, and errors. */
import { type ServerResponse } from 'node:http';
import { type Finding, Outcome, Reason } from '@toucanbend/core';
import { CompletionStyle } from './parse.js';
import { type CallAnswer, type CompletionRequest, type RequestEnd } from './request.js';

/** Writes the answer to one completion. */
export interface CompletionAnswer {
  /** Appends tokens to the answer. */
  readonly push: (tokens: readonly string[]) => void;
  /** Ends the response with the rest of the answer or, if the request failed, with an error. */
  readonly end: (end: RequestEnd) => void;
}

const MILLISECONDS_PER_SECOND = 1_000;

const statusOfReason: Partial<Record<Reason, number>> = {
  [Reason.BeyondMemory]: 413,
  [Reason.NotServed]: 404,
  [Reason.KeyReused]: 422,
  [Reason.AccountLimit]: 429,
  [Reason.QueueFull]: 429,
};

function statusOf(end: RequestEnd): number {
  if (end.outcome === Outcome.Unknown) {
    return end.reason === Reason.DeadlinePassed ? 504 : 502;
  }
  return statusOfReason[end.reason] ?? 503;
}

function errorBody(requestId: string, end: RequestEnd): object {
  const { outcome, reason, retryAfterMs } = end;
  return { error: { message: `request failed: ${reason}`, outcome, reason, retryAfterMs, requestId } };
}

/**
 * Sends a request's outcome and reason as an error; destroys the response if its headers were already sent.
 *
 * @param response - the HTTP response
 * @param requestId - identifier of the request
 * @param end - outcome, reason and time after which to retry
 */
export function sendOutcome(response: ServerResponse, requestId: string, end: RequestEnd): void {
  if (response.headersSent || response.destroyed) {
    response.destroy();
    return;
  }
  const retryAfter =
    end.outcome === Outcome.NotRun && end.retryAfterMs > 0
      ? { 'retry-after': String(Math.ceil(end.retryAfterMs / MILLISECONDS_PER_SECOND)) }
      : {};
  response.writeHead(statusOf(end), {
    'content-type': 'application/json',
    'x-request-id': requestId,
    'x-outcome': end.outcome,
    'x-reason': end.reason,
    ...retryAfter,
  });
  response.end(`${JSON.stringify(errorBody(requestId, end))}\n`);
}

/**
 * Rejects a request that failed validation; it did not run.
 *
 * @param response - the HTTP response
 * @param requestId - identifier of the request
 * @param status - HTTP status
 * @param findings - the validation errors; the first one becomes the error message
 */
export function sendFindings(
  response: ServerResponse,
  requestId: string,
  status: number,
  findings: readonly Finding[],
): void {
  response.writeHead(status, {
    'content-type': 'application/json',
    'x-request-id': requestId,
    'x-outcome': Outcome.NotRun,
  });
  const [first] = findings;
  const message = first === undefined ? 'refused' : `${first.place}: ${first.message}`;
  response.end(`${JSON.stringify({ error: { message, outcome: Outcome.NotRun, findings, requestId } })}\n`);
}

/** Statuses whose answers have no body, and no length either (RFC 9110, section 8.6). */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/**
 * Sends the answer of a plain service to the caller.
 *
 * @param response - the HTTP response
 * @param requestId - identifier of the request
 * @param answer - status, content type and body received from the service
 */
export function sendCallAnswer(response: ServerResponse, requestId: string, answer: CallAnswer): void {
  response.writeHead(answer.status, {
    'content-type': answer.contentType,
    ...(BODILESS_STATUSES.has(answer.status) ? {} : { 'content-length': String(answer.bytes.length) }),
    'x-request-id': requestId,
    'x-outcome': Outcome.Complete,
  });
  response.end(answer.bytes);
}

function choiceOf(style: CompletionStyle, text: string, isStreamed: boolean, finish: string | null): object {
  if (style === CompletionStyle.Text) {
    return { index: 0, text, finish_reason: finish };
  }
  return isStreamed
    ? { index: 0, delta: { content: text }, finish_reason: finish }
    : { index: 0, message: { role: 'assistant', content: text }, finish_reason: finish };
}

function usageOf(request: CompletionRequest, tokens: number): object {
  return {
    prompt_tokens: request.promptTokens,
    completion_tokens: tokens,
    total_tokens: request.promptTokens + tokens,
  };
}

/**
 * Creates an answer that buffers all tokens and is sent as one JSON document.
 *
 * @param response - the HTTP response
 * @param request - the completion
 * @param style - API format of the answer
 * @returns the writer of the answer
 */
export function createBufferedAnswer(
  response: ServerResponse,
  request: CompletionRequest,
  style: CompletionStyle,
): CompletionAnswer {
  const tokens: string[] = [];
  return {
    push: (added) => {
      tokens.push(...added);
    },
    end: (end) => {
      if (end.outcome !== Outcome.Complete) {
        sendOutcome(response, request.requestId, end);
        return;
      }
      const choices = [choiceOf(style, tokens.join(''), false, 'stop')];
      const value = {
        id: request.requestId,
        model: request.target,
        choices,
        usage: usageOf(request, tokens.length),
      };
      const body = Buffer.from(`${JSON.stringify(value)}\n`);
      response.writeHead(200, {
        'content-type': 'application/json',
        'content-length': String(body.length),
        'x-request-id': request.requestId,
        'x-outcome': end.outcome,
      });
      response.end(body);
    },
  };
}

/**
 * Creates an answer that streams tokens as server-sent events.
 *
 * The last event before `[DONE]` carries the outcome; a stream without it was truncated.
 *
 * @param response - the HTTP response
 * @param request - the completion
 * @param style - API format of the answer
 * @returns the writer of the answer
 */
export function createStreamedAnswer(
  response: ServerResponse,
  request: CompletionRequest,
  style: CompletionStyle,
): CompletionAnswer {
  let count = 0;
  const write = (value: object): void => {
    response.write(`data: ${JSON.stringify(value)}\n\n`);
  };
  const start = (): void => {
    if (!response.headersSent) {
      response.writeHead(200, {
        'content-type': 'text/event-stream',
        'cache-control': 'no-store',
        'x-request-id': request.requestId,
      });
    }
  };
  return {
    push: (added) => {
      start();
      count += added.length;
      const choices = [choiceOf(style, added.join(''), true, null)];
      write({ id: request.requestId, model: request.target, choices });
    },
    end: (end) => {
      if (end.outcome !== Outcome.Complete && !response.headersSent) {
        sendOutcome(response, request.requestId, end);
        return;
      }
      start();
      if (end.outcome === Outcome.Complete) {
        const choices = [choiceOf(style, '', true, 'stop')];
        const usage = usageOf(request, count);
        write({ id: request.requestId, model: request.target, choices, usage, outcome: end.outcome });
      } else {
        write(errorBody(request.requestId, end));
      }
      response.end('data: [DONE]\n\n');
    },
  };
}
