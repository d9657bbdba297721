/** Updates about crashes and quarantined causes that entries send one another, and their encoding as flat arrays. */
import { clamp, MAX_RELATIVE_MS } from '@toucanbend/core';
import { type CrashCause, CrashCauseKind, type QuarantinedCause } from '@toucanbend/registry';
import { z } from 'zod';
import { type LostAttempt } from './lost-attempt.js';

/** The kinds of updates; their values differ from those of load updates, which travel in the same frames. */
export enum QuarantineUpdateKind {
  /** The server of an attempt was lost before it had answered. */
  Lost = 10,
  /** Servers have survived answers to requests with these causes. */
  Served = 11,
  Quarantined = 12,
  /** A run of a server was alive after an attempt was lost there. */
  Survived = 13,
}

/** An update; its encoded times are relative to the time of encoding, except the end of a quarantine. */
export type QuarantineUpdate =
  | { readonly kind: QuarantineUpdateKind.Lost; readonly attempt: LostAttempt }
  | {
      readonly kind: QuarantineUpdateKind.Served;
      readonly service: string;
      readonly causes: readonly CrashCause[];
      readonly atMs: number;
    }
  | { readonly kind: QuarantineUpdateKind.Quarantined; readonly quarantined: QuarantinedCause }
  | { readonly kind: QuarantineUpdateKind.Survived; readonly server: string; readonly aliveAtMs: number };

/** Longest id of a part or digest of a request that is read, in characters. */
const MAX_ID_LENGTH = 256;
/** Limit on the parts of one request. */
const MAX_PARTS = 64;
/** Time since the event, in milliseconds. */
const ago = z.number();
const idSchema = z.string().max(MAX_ID_LENGTH);
const causeSchema = z.union([
  z.tuple([z.enum(CrashCauseKind), idSchema]),
  // Earlier versions report parts only.
  idSchema.transform((id): [CrashCauseKind, string] => [CrashCauseKind.PromptPart, id]),
]);
const lostSchema = z.tuple([
  z.literal(QuarantineUpdateKind.Lost),
  z.string(),
  z.string(),
  z.string(),
  idSchema,
  z.array(idSchema).max(MAX_PARTS),
  ago,
  ago,
]);
const servedSchema = z.tuple([
  z.literal(QuarantineUpdateKind.Served),
  z.string(),
  z.array(causeSchema).max(MAX_PARTS + 1),
  ago,
]);
const quarantinedSchema = z.tuple([
  z.literal(QuarantineUpdateKind.Quarantined),
  z.string(),
  z.enum(CrashCauseKind),
  idSchema,
  z.number().nonnegative().max(Number.MAX_SAFE_INTEGER),
]);
const survivedSchema = z.tuple([z.literal(QuarantineUpdateKind.Survived), z.string(), ago]);
const updateSchema = z.union([lostSchema, servedSchema, quarantinedSchema, survivedSchema]);

/**
 * Encodes an update as a flat array.
 *
 * @param update - the update
 * @param nowMs - the current time, in milliseconds, to which encoded times are relative
 * @returns an array whose first element is the kind of update
 */
export function encodeQuarantineUpdate(update: QuarantineUpdate, nowMs: number): unknown[] {
  switch (update.kind) {
    case QuarantineUpdateKind.Lost: {
      const { service, server, request, digest, parts, sentAtMs, atMs } = update.attempt;
      const [sentAgoMs, agoMs] = [Math.round(nowMs - sentAtMs), Math.round(nowMs - atMs)];
      return [update.kind, service, server, request, digest, parts.slice(0, MAX_PARTS), sentAgoMs, agoMs];
    }
    case QuarantineUpdateKind.Served: {
      const causes = update.causes.slice(0, MAX_PARTS + 1).map(({ kind, id }) => [kind, id]);
      return [update.kind, update.service, causes, Math.round(nowMs - update.atMs)];
    }
    case QuarantineUpdateKind.Quarantined: {
      const { service, kind, id, untilMs } = update.quarantined;
      return [update.kind, service, kind, id, untilMs];
    }
    case QuarantineUpdateKind.Survived:
      return [update.kind, update.server, Math.round(nowMs - update.aliveAtMs)];
  }
}

/**
 * Decodes an update.
 *
 * @param value - a value received from another entry
 * @param nowMs - the current time, in milliseconds, to which encoded times are relative
 * @returns the update, or undefined if the value is not a valid update
 */
export function decodeQuarantineUpdate(value: unknown, nowMs: number): QuarantineUpdate | undefined {
  const parsed = updateSchema.safeParse(value);
  if (!parsed.success) {
    return undefined;
  }
  const timeOf = (agoMs: number): number => nowMs - clamp(agoMs, 0, MAX_RELATIVE_MS);
  const fields = parsed.data;
  switch (fields[0]) {
    case QuarantineUpdateKind.Lost: {
      const [kind, service, server, request, digest, parts, sentAgoMs, agoMs] = fields;
      const [sentAtMs, atMs] = [timeOf(sentAgoMs), timeOf(agoMs)];
      return { kind, attempt: { service, server, request, digest, parts, sentAtMs, atMs } };
    }
    case QuarantineUpdateKind.Served: {
      const [kind, service, pairs, agoMs] = fields;
      const causes = pairs.map(([causeKind, id]): CrashCause => ({ kind: causeKind, id }));
      return { kind, service, causes, atMs: timeOf(agoMs) };
    }
    case QuarantineUpdateKind.Quarantined: {
      const [kind, service, causeKind, id, untilMs] = fields;
      return { kind, quarantined: { service, kind: causeKind, id, untilMs } };
    }
    case QuarantineUpdateKind.Survived: {
      const [kind, server, agoMs] = fields;
      return { kind, server, aliveAtMs: timeOf(agoMs) };
    }
  }
}
