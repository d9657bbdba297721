/** Validates and parses HTTP requests of callers. */
import { type Finding, findingsOf, prefixHashes, Rank, RequestKind, estimateTokens } from '@toucanbend/core';
import {
  type AccountConfiguration,
  type ConfigurationDocument,
  isNonIdempotentCall,
  rankLimits,
} from '@toucanbend/configuration';
import { type EntrySettings } from '@toucanbend/settings';
import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';
import { type CallRequest, type CompletionRequest } from './request.js';

/** API format of a completion's request and answer. */
export enum CompletionStyle {
  Text = 'text',
  Chat = 'chat',
}

/** A parsed completion and the format of its answer. */
export interface ParsedCompletion {
  readonly request: CompletionRequest;
  readonly style: CompletionStyle;
  readonly isStreamed: boolean;
}

/** The parts of a caller's HTTP request that are parsed. */
export interface CallerMessage {
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: Buffer;
  readonly account: AccountConfiguration;
  readonly receivedAtMs: number;
}

const DEFAULT_MAX_TOKENS = 256;
/**
 * Prompts up to this length get the rank's first-token target; for longer ones it grows in proportion to
 * length.
 */
const UNSCALED_TARGET_PROMPT_TOKENS = 8_000;

const commonFields = {
  model: z.string().min(1).max(128),
  max_tokens: z.number().int().positive().optional(),
  stream: z.boolean().optional(),
};
const textSchema = z.object({ ...commonFields, prompt: z.string().min(1) });
const chatSchema = z.object({
  ...commonFields,
  messages: z.array(z.object({ role: z.string().max(32), content: z.string() })).min(1),
});

interface SchedulingParameters {
  readonly receivedAtMs: number;
  readonly rank: Rank;
  readonly deadlineAtMs: number;
  readonly firstTokenLimitMs: number;
}

function headerOf(message: CallerMessage, name: string): string | undefined {
  const value = message.headers[name];
  return typeof value === 'string' ? value : undefined;
}

/** Takes rank and deadline from the headers, with defaults from the account and the rank's configuration. */
function parseSchedulingParameters(
  message: CallerMessage,
  document: ConfigurationDocument,
  promptTokens: number,
): Result<SchedulingParameters, Finding[]> {
  const rank = z.enum(Rank).safeParse(headerOf(message, 'x-rank') ?? message.account.defaultRank);
  if (!rank.success) {
    return err([{ place: 'header x-rank', message: `must be one of ${Object.values(Rank).join(', ')}` }]);
  }
  const limits = rankLimits(document.ranks, rank.data);
  const deadlineHeader = headerOf(message, 'x-deadline-ms');
  const deadlineMs = deadlineHeader === undefined ? limits.deadlineMs : Number(deadlineHeader);
  if (!Number.isFinite(deadlineMs) || deadlineMs <= 0) {
    return err([{ place: 'header x-deadline-ms', message: 'must be a positive number of milliseconds' }]);
  }
  const lengthFactor = Math.max(1, promptTokens / UNSCALED_TARGET_PROMPT_TOKENS);
  const targetMs = limits.firstTokenTargetMs * lengthFactor;
  const { receivedAtMs } = message;
  const deadlineAtMs = receivedAtMs + deadlineMs;
  return ok({ rank: rank.data, receivedAtMs, deadlineAtMs, firstTokenLimitMs: targetMs });
}

function parseJson(body: Buffer): Result<unknown, Finding[]> {
  try {
    return ok(JSON.parse(body.toString('utf8')));
  } catch (error) {
    return err([{ place: 'body', message: error instanceof Error ? error.message : 'is not JSON' }]);
  }
}

function limitFindings(promptTokens: number, maxTokens: number, settings: EntrySettings): Finding[] {
  const findings: Finding[] = [];
  if (promptTokens > settings.maxPromptTokens) {
    findings.push({
      place: 'body: prompt',
      message: `has ${String(promptTokens)} tokens, above the limit of ${String(settings.maxPromptTokens)}`,
    });
  }
  if (maxTokens > settings.maxAnswerTokens) {
    findings.push({
      place: 'body: max_tokens',
      message: `is above the limit of ${String(settings.maxAnswerTokens)}`,
    });
  }
  return findings;
}

/**
 * Parses a request for a completion.
 *
 * @param message - the caller's HTTP request
 * @param style - API format of the requested path
 * @param document - the configuration in force
 * @param settings - limits on prompt and answer tokens
 * @returns the completion, or the validation errors
 */
export function parseCompletion(
  message: CallerMessage,
  style: CompletionStyle,
  document: ConfigurationDocument,
  settings: EntrySettings,
): Result<ParsedCompletion, Finding[]> {
  const json = parseJson(message.body);
  if (json.isErr()) {
    return err(json.error);
  }
  const checked =
    style === CompletionStyle.Chat ? chatSchema.safeParse(json.value) : textSchema.safeParse(json.value);
  if (!checked.success) {
    return err(findingsOf(checked.error.issues, 'body'));
  }
  const prompt =
    'prompt' in checked.data
      ? checked.data.prompt
      : checked.data.messages.map(({ role, content }) => `${role}: ${content}\n`).join('');
  const body = Buffer.from(prompt);
  const promptTokens = estimateTokens(body.length);
  const maxTokens = checked.data.max_tokens ?? DEFAULT_MAX_TOKENS;
  const findings = limitFindings(promptTokens, maxTokens, settings);
  if (findings.length > 0) {
    return err(findings);
  }
  return parseSchedulingParameters(message, document, promptTokens).map((parameters) => ({
    style,
    isStreamed: checked.data.stream ?? false,
    request: {
      ...parameters,
      requestId: message.requestId,
      kind: RequestKind.Model,
      target: checked.data.model,
      account: message.account.name,
      weight: message.account.weight,
      body,
      promptTokens,
      maxTokens,
      prefix: prefixHashes(body),
    },
  }));
}

const SERVICE_PATH = /^\/services\/([^/?]+)(\/.*)?$/;

/**
 * Parses a call of a plain service.
 *
 * @param message - the caller's HTTP request
 * @param document - the configuration in force
 * @returns the call, or the validation errors
 */
export function parseCall(
  message: CallerMessage,
  document: ConfigurationDocument,
): Result<CallRequest, Finding[]> {
  const match = SERVICE_PATH.exec(message.path);
  const target = match?.[1] ?? '';
  const path = match?.[2] ?? '/';
  const idempotencyKey = headerOf(message, 'idempotency-key');
  if (idempotencyKey !== undefined && (idempotencyKey.length === 0 || idempotencyKey.length > 255)) {
    return err([{ place: 'header idempotency-key', message: 'must have 1 to 255 characters' }]);
  }
  const service = document.services.find((item) => item.name === target);
  return parseSchedulingParameters(message, document, 0).map((parameters) => ({
    ...parameters,
    requestId: message.requestId,
    kind: RequestKind.Service,
    target,
    account: message.account.name,
    weight: message.account.weight,
    body: message.body,
    call: {
      method: message.method,
      path,
      contentType: headerOf(message, 'content-type') ?? 'application/octet-stream',
    },
    isIdempotent: !isNonIdempotentCall(service, message.method, path),
    idempotencyKey,
  }));
}
