/** A model engine behind the completions API, with tokens as server-sent events. */
import { Agent, type ClientRequest, type IncomingMessage, request } from 'node:http';
import { createParser } from 'eventsource-parser';
import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';
import {
  type CancelCompletion,
  type CompletionEnd,
  CompletionEndKind,
  type CompletionRequest,
  type CompletionSink,
  type EngineError,
  type EngineOrder,
  type EngineStatus,
  type ModelEngine,
} from './model-engine.js';

const chunkShape = z.object({
  choices: z
    .array(z.object({ text: z.string().default(''), finish_reason: z.string().nullish() }))
    .default([]),
});
const statusShape = z.object({
  memoryTokens: z.number(),
  usedTokens: z.number(),
  cacheTokens: z.number(),
  models: z.array(z.string()),
});
const END_OF_STREAM = '[DONE]';
/** Longest answer to a question or an order, in characters; an engine's status is far shorter. */
const MAX_ANSWER_LENGTH = 256 * 1024;
/** Longest run of a stream's text without an event, in characters. */
const MAX_EVENT_LENGTH = 1024 * 1024;

interface StreamReader {
  /** Tokens that came since the last call, and whether the stream is over. */
  readonly push: (text: string) => { readonly tokens: string[]; readonly isOver: boolean };
}

function createStreamReader(): StreamReader {
  let tokens: string[] = [];
  let isOver = false;
  const parser = createParser({
    onEvent: (event) => {
      if (event.data === END_OF_STREAM) {
        isOver = true;
        return;
      }
      const text = readChunk(event.data);
      if (text !== '') {
        tokens.push(text);
      }
    },
  });
  return {
    push: (text) => {
      parser.feed(text);
      const taken = tokens;
      tokens = [];
      return { tokens: taken, isOver };
    },
  };
}

/** Breaks an answer off that goes on beyond any answer to a question, or to an order. */
function limitLength(answer: IncomingMessage, call: ClientRequest): void {
  let length = 0;
  answer.on('data', (chunk: Buffer | string) => {
    length += chunk.length;
    if (length > MAX_ANSWER_LENGTH) {
      call.destroy(new Error('the answer is too long'));
    }
  });
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    // What is no JSON has no fields either, which is what the reader reports.
    return undefined;
  }
}

function readChunk(data: string): string {
  try {
    return chunkShape.safeParse(JSON.parse(data)).data?.choices[0]?.text ?? '';
  } catch {
    return '';
  }
}

/** A model engine behind the completions API. */
export class HttpModelEngine implements ModelEngine {
  readonly #base: URL;
  readonly #agent = new Agent({ keepAlive: true });

  /**
   * @param address - `IP:PORT` of the engine
   */
  constructor(address: string) {
    this.#base = new URL(`http://${address}`);
  }

  complete(completion: CompletionRequest, sink: CompletionSink): CancelCompletion {
    let ended = false;
    const end = (result: CompletionEnd): void => {
      if (!ended) {
        ended = true;
        sink.onEnd(result);
      }
    };
    const call = this.#open('POST', '/v1/completions', (answer) => {
      if (answer.statusCode !== 200) {
        limitLength(answer, call);
        end({ kind: CompletionEndKind.Refused, message: `status ${String(answer.statusCode)}` });
        return;
      }
      readStream(answer, {
        onTokens: (tokens) => {
          if (!ended) {
            sink.onTokens(tokens);
          }
        },
        onEnd: end,
        onFlood: () => call.destroy(new Error('the stream has no events')),
      });
    });
    call.on('error', (error: NodeJS.ErrnoException) => {
      const kind = error.code === 'ECONNREFUSED' ? CompletionEndKind.Refused : CompletionEndKind.Failed;
      end({ kind, message: error.message });
    });
    call.end(
      JSON.stringify({
        model: completion.model,
        prompt: completion.prompt,
        max_tokens: completion.maxTokens,
        priority: completion.priority,
        stream: true,
      }),
    );
    return () => {
      ended = true;
      call.destroy();
    };
  }

  async status(timeoutMs: number): Promise<Result<EngineStatus, EngineError>> {
    const answer = await this.#ask('GET', '/status', undefined, timeoutMs);
    return answer.andThen((text) => {
      const checked = statusShape.safeParse(parseJson(text));
      return checked.success ? ok(checked.data) : err({ message: checked.error.message });
    });
  }

  async order(order: EngineOrder, timeoutMs: number): Promise<Result<void, EngineError>> {
    const answer = await this.#ask('POST', '/orders', JSON.stringify(order), timeoutMs);
    return answer.map(() => undefined);
  }

  #open(method: string, path: string, onAnswer: (answer: IncomingMessage) => void): ClientRequest {
    const headers = { 'content-type': 'application/json' };
    return request(new URL(path, this.#base), { method, headers, agent: this.#agent }, onAnswer);
  }

  #ask(
    method: string,
    path: string,
    body: string | undefined,
    timeoutMs: number,
  ): Promise<Result<string, EngineError>> {
    return new Promise((resolve) => {
      const call = this.#open(method, path, (answer) => {
        let text = '';
        answer.setEncoding('utf8');
        limitLength(answer, call);
        answer.on('data', (chunk: string) => (text += chunk));
        answer.on('error', (error) => {
          resolve(err({ message: error.message }));
        });
        answer.on('end', () => {
          resolve(
            answer.statusCode === 200 ? ok(text) : err({ message: `status ${String(answer.statusCode)}` }),
          );
        });
      });
      call.setTimeout(timeoutMs, () => call.destroy(new Error('no answer in time')));
      call.on('error', (error) => {
        resolve(err({ message: error.message }));
      });
      call.end(body);
    });
  }
}

/** Takes a stream, and learns of text that goes on without events. */
interface StreamSink extends CompletionSink {
  readonly onFlood: () => void;
}

function readStream(answer: IncomingMessage, sink: StreamSink): void {
  const reader = createStreamReader();
  let withoutEvent = 0;
  answer.setEncoding('utf8');
  answer.on('data', (text: string) => {
    const { tokens, isOver } = reader.push(text);
    withoutEvent = tokens.length > 0 ? 0 : withoutEvent + text.length;
    if (withoutEvent > MAX_EVENT_LENGTH) {
      sink.onFlood();
    }
    if (tokens.length > 0) {
      sink.onTokens(tokens);
    }
    if (isOver) {
      sink.onEnd({ kind: CompletionEndKind.Finished, message: '' });
    }
  });
  const broken = (): void => {
    sink.onEnd({ kind: CompletionEndKind.Failed, message: 'the stream broke off' });
  };
  answer.on('error', broken);
  answer.on('close', broken);
}
