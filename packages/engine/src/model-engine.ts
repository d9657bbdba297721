/** Interface of a client of a model engine. */
import { type Result } from 'neverthrow';

/** The parameters of a completion. */
export interface CompletionRequest {
  readonly model: string;
  readonly prompt: string;
  /** Maximum number of tokens to generate. */
  readonly maxTokens: number;
  /** Scheduling priority; the engine runs requests with lower values first. */
  readonly priority: number;
}

/** Ways in which a completion ends. */
export enum CompletionEndKind {
  Finished = 'finished',
  /** The engine refused the connection or responded with a status other than 200, which counts as not executed. */
  Refused = 'refused',
  /** The engine or its connection failed before the end of the stream; the tokens received until then are valid. */
  Failed = 'failed',
}

/** The end of a completion, with a message for operators. */
export interface CompletionEnd {
  readonly kind: CompletionEndKind;
  readonly message: string;
}

/** Receives the tokens and the end of a completion. */
export interface CompletionSink {
  readonly onTokens: (tokens: readonly string[]) => void;
  /** Called once, unless the completion is cancelled first. */
  readonly onEnd: (end: CompletionEnd) => void;
}

/** The memory use and the loaded models of an engine. */
export interface EngineStatus {
  /** Size of the KV cache, in tokens. */
  readonly memoryTokens: number;
  /** Tokens of the KV cache occupied by requests and exports. */
  readonly usedTokens: number;
  /** Tokens of the KV cache occupied only by the prefix cache. */
  readonly cacheTokens: number;
  readonly models: readonly string[];
}

/** The models that an engine is to load and to unload. */
export interface EngineOrder {
  readonly load: readonly string[];
  readonly unload: readonly string[];
  /** Fencing number. An engine that checks it rejects an order whose number is below the highest it has received. */
  readonly fencing: number;
}

/** The reason why a call to an engine failed, as a message for operators. */
export interface EngineError {
  readonly message: string;
}

/** Cancels a completion by closing its connection, upon which the engine frees the memory of the request. */
export type CancelCompletion = () => void;

/** Client of one model engine. */
export interface ModelEngine {
  /**
   * Starts a completion.
   *
   * @param request - the model, the prompt, the maximum number of tokens and the priority
   * @param sink - receives the tokens and the end
   * @returns a function that cancels the completion
   */
  complete(request: CompletionRequest, sink: CompletionSink): CancelCompletion;
  /**
   * Requests the engine's memory use and loaded models.
   *
   * @param timeoutMs - maximum time without activity on the connection, in milliseconds
   * @returns the status, or the reason why none was received
   */
  status(timeoutMs: number): Promise<Result<EngineStatus, EngineError>>;
  /**
   * Orders the engine to load or unload models.
   *
   * @param order - the models and the fencing number
   * @param timeoutMs - maximum time without activity on the connection, in milliseconds
   * @returns nothing if the engine confirmed the order, or the reason why no confirmation was received
   */
  order(order: EngineOrder, timeoutMs: number): Promise<Result<void, EngineError>>;
}
