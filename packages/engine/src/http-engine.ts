/** Client of a model engine's HTTP API; the tokens of a completion arrive as server-sent events. */
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
/**
 * Maximum length of a response other than a token stream. It is counted in characters, or in bytes for the body of
 * a rejected completion. An engine's status is far shorter.
 */
const MAX_RESPONSE_LENGTH = 256 * 1024;
/** Maximum length of the text of a stream between two reads that yield a token, in characters. */
const MAX_LENGTH_WITHOUT_TOKEN = 1024 * 1024;

interface StreamReader {
  /**
   * Parses the next piece of the stream. Returns the tokens whose events this piece completes, and whether the end
   * marker has been received.
   */
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
      const received = tokens;
      tokens = [];
      return { tokens: received, isOver };
    },
  };
}

/** Destroys the request if its response exceeds `MAX_RESPONSE_LENGTH`. */
function limitLength(answer: IncomingMessage, call: ClientRequest): void {
  let length = 0;
  answer.on('data', (chunk: Buffer | string) => {
    length += chunk.length;
    if (length > MAX_RESPONSE_LENGTH) {
      call.destroy(new Error('the response exceeds the maximum length'));
    }
  });
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    // The schema check rejects undefined, so that invalid JSON is reported like a response without the fields.
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

/** Calls a model engine over HTTP, on keep-alive connections. */
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
      readStream(answer, completion.maxTokens, {
        onTokens: (tokens) => {
          if (!ended) {
            sink.onTokens(tokens);
          }
        },
        onEnd: end,
        onLengthExceeded: () =>
          call.destroy(new Error('the stream exceeds the maximum length without a token')),
        onTokensExceeded: () =>
          call.destroy(new Error(`the stream has more than ${String(completion.maxTokens)} tokens`)),
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
    const answer = await this.#fetchText('GET', '/status', undefined, timeoutMs);
    return answer.andThen((text) => {
      const checked = statusShape.safeParse(parseJson(text));
      return checked.success ? ok(checked.data) : err({ message: checked.error.message });
    });
  }

  async order(order: EngineOrder, timeoutMs: number): Promise<Result<void, EngineError>> {
    const answer = await this.#fetchText('POST', '/orders', JSON.stringify(order), timeoutMs);
    return answer.map(() => undefined);
  }

  #open(method: string, path: string, onAnswer: (answer: IncomingMessage) => void): ClientRequest {
    const headers = { 'content-type': 'application/json' };
    return request(new URL(path, this.#base), { method, headers, agent: this.#agent }, onAnswer);
  }

  #fetchText(
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
      call.setTimeout(timeoutMs, () =>
        call.destroy(new Error('no data from the engine within the time limit')),
      );
      call.on('error', (error) => {
        resolve(err({ message: error.message }));
      });
      call.end(body);
    });
  }
}

/** Receives the tokens and the end of a stream. */
interface StreamSink extends CompletionSink {
  /** Called for each read by which the text without a token exceeds `MAX_LENGTH_WITHOUT_TOKEN`. */
  readonly onLengthExceeded: () => void;
  /** Called when there are more tokens than were asked for. */
  readonly onTokensExceeded: () => void;
}

function readStream(answer: IncomingMessage, maxTokens: number, sink: StreamSink): void {
  const reader = createStreamReader();
  let lengthWithoutToken = 0;
  let tokenCount = 0;
  answer.setEncoding('utf8');
  answer.on('data', (text: string) => {
    const { tokens, isOver } = reader.push(text);
    lengthWithoutToken = tokens.length > 0 ? 0 : lengthWithoutToken + text.length;
    if (lengthWithoutToken > MAX_LENGTH_WITHOUT_TOKEN) {
      sink.onLengthExceeded();
    }
    tokenCount += tokens.length;
    if (tokenCount > maxTokens) {
      sink.onTokensExceeded();
      return;
    }
    if (tokens.length > 0) {
      sink.onTokens(tokens);
    }
    if (isOver) {
      sink.onEnd({ kind: CompletionEndKind.Finished, message: '' });
    }
  });
  const onInterrupted = (): void => {
    sink.onEnd({ kind: CompletionEndKind.Failed, message: 'the stream closed before its end marker' });
  };
  answer.on('error', onInterrupted);
  answer.on('close', onInterrupted);
}
