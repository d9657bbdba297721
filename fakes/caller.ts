/** An HTTP client of the fleet that sends requests, measures token times and collects the complete answer. */
import { Agent, type IncomingMessage, request } from 'node:http';
import { createParser } from 'eventsource-parser';
import { MODEL } from './fleet.js';

/** The result of a request, as its caller received it. */
export interface CallerResult {
  /** HTTP status; 0 where the connection broke before an answer. */
  readonly status: number;
  /** Outcome reported by the answer; empty if the answer reports none. */
  readonly outcome: string;
  readonly reason: string;
  readonly text: string;
  readonly tokens: number;
  /** Time to the first token, in milliseconds; undefined if no token arrived. */
  readonly firstTokenMs: number | undefined;
  readonly elapsedMs: number;
  readonly requestId: string;
}

/** Parameters of a completion request. */
export interface CompletionAsk {
  readonly port: number;
  readonly key: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly rank?: string;
  readonly deadlineMs?: number;
  /** Closes the connection when aborted. */
  readonly abort?: AbortSignal;
  /** Receives each piece of the answer. */
  readonly onText?: (text: string) => void;
}

const agent = new Agent({ keepAlive: true, maxSockets: 4_096 });

interface Chunk {
  readonly choices?: readonly { readonly text?: string }[];
  readonly outcome?: string;
  readonly error?: { readonly outcome?: string; readonly reason?: string };
}

function headerOf(answer: IncomingMessage, name: string): string {
  const value = answer.headers[name];
  return typeof value === 'string' ? value : '';
}

/**
 * Requests a streamed completion.
 *
 * @param ask - the prompt, limits and options of the request
 * @returns the answer and its timing; status 0 if the connection broke first
 */
export function requestCompletion(ask: CompletionAsk): Promise<CallerResult> {
  const startedAt = performance.now();
  const elapsed = (): number => performance.now() - startedAt;
  const result = { status: 0, outcome: '', reason: '', text: '', tokens: 0, requestId: '' };
  let firstTokenMs: number | undefined;
  const handleData = (data: string): void => {
    if (data === '[DONE]') {
      return;
    }
    const chunk = JSON.parse(data) as Chunk;
    const text = chunk.choices?.[0]?.text ?? '';
    if (text !== '') {
      firstTokenMs ??= elapsed();
      result.text += text;
      result.tokens += Math.ceil(text.length / 4);
      ask.onText?.(text);
    }
    result.outcome = chunk.outcome ?? chunk.error?.outcome ?? result.outcome;
    result.reason = chunk.error?.reason ?? result.reason;
  };
  return new Promise((resolve) => {
    const finish = (): void => {
      resolve({ ...result, firstTokenMs, elapsedMs: elapsed() });
    };
    const headers: Record<string, string> = {
      authorization: `Bearer ${ask.key}`,
      'content-type': 'application/json',
      ...(ask.rank === undefined ? {} : { 'x-rank': ask.rank }),
      ...(ask.deadlineMs === undefined ? {} : { 'x-deadline-ms': String(ask.deadlineMs) }),
    };
    const options = {
      host: '127.0.0.1',
      port: ask.port,
      path: '/v1/completions',
      method: 'POST',
      headers,
      agent,
    };
    const call = request(ask.abort === undefined ? options : { ...options, signal: ask.abort }, (answer) => {
      result.status = answer.statusCode ?? 0;
      result.requestId = headerOf(answer, 'x-request-id');
      result.outcome = headerOf(answer, 'x-outcome');
      result.reason = headerOf(answer, 'x-reason');
      const parser = createParser({
        onEvent: (event) => {
          handleData(event.data);
        },
      });
      answer.setEncoding('utf8');
      answer.on('data', (text: string) => {
        if (result.status === 200) {
          parser.feed(text);
        }
      });
      answer.on('error', finish);
      answer.on('close', finish);
    });
    call.on('error', finish);
    call.end(JSON.stringify({ model: MODEL, prompt: ask.prompt, max_tokens: ask.maxTokens, stream: true }));
  });
}

/** Parameters of a call to a plain service. */
export interface ServiceAsk {
  readonly port: number;
  readonly key: string;
  readonly path: string;
  readonly body: string;
  readonly idempotencyKey?: string;
  readonly deadlineMs?: number;
}

/**
 * Calls a plain service.
 *
 * @param ask - the path, body and options of the call
 * @returns the answer and its timing; status 0 if the connection broke first
 */
export function callService(ask: ServiceAsk): Promise<CallerResult> {
  const startedAt = performance.now();
  return new Promise((resolve) => {
    const headers: Record<string, string> = {
      authorization: `Bearer ${ask.key}`,
      'content-type': 'text/plain',
      ...(ask.idempotencyKey === undefined ? {} : { 'idempotency-key': ask.idempotencyKey }),
      ...(ask.deadlineMs === undefined ? {} : { 'x-deadline-ms': String(ask.deadlineMs) }),
    };
    const none = {
      status: 0,
      outcome: '',
      reason: '',
      text: '',
      tokens: 0,
      firstTokenMs: undefined,
      requestId: '',
    };
    const failed = (): void => {
      resolve({ ...none, elapsedMs: performance.now() - startedAt });
    };
    const options = { host: '127.0.0.1', port: ask.port, path: ask.path, method: 'POST', headers, agent };
    const call = request(options, (answer) => {
      let text = '';
      answer.setEncoding('utf8');
      answer.on('data', (chunk: string) => (text += chunk));
      answer.on('error', failed);
      answer.on('end', () => {
        resolve({
          ...none,
          status: answer.statusCode ?? 0,
          outcome: headerOf(answer, 'x-outcome'),
          reason: headerOf(answer, 'x-reason'),
          requestId: headerOf(answer, 'x-request-id'),
          text,
          elapsedMs: performance.now() - startedAt,
        });
      });
    });
    call.on('error', failed);
    call.end(ask.body);
  });
}

/**
 * Builds a prompt of a given length.
 *
 * @param tokens - length in tokens
 * @param seed - prompts of different seeds differ from their first block on
 * @returns a prompt of four characters per token
 */
export function makePrompt(tokens: number, seed: string): string {
  const unit = `${seed} vane archive page `;
  return unit.repeat(Math.ceil((tokens * 4) / unit.length)).slice(0, tokens * 4);
}
