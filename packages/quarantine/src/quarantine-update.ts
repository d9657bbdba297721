/** Updates about crashes and quarantined parts that entries send one another, and their encoding as flat arrays. */
import { clamp, MAX_RELATIVE_MS } from '@toucanbend/core';
import { type QuarantinedPart } from '@toucanbend/registry';
import { z } from 'zod';
import { type LostAttempt } from './crash-evidence.js';

/** The kinds of updates; their values differ from those of load updates, which travel in the same frames. */
export enum QuarantineUpdateKind {
  /** An attempt was interrupted while its answer began. */
  Lost = 10,
  /** Servers have survived answers to prompts with these parts. */
  Served = 11,
  Quarantined = 12,
}

/** An update; its encoded times are relative to the time of encoding, except the end of a quarantine. */
export type QuarantineUpdate =
  | { readonly kind: QuarantineUpdateKind.Lost; readonly attempt: LostAttempt }
  | {
      readonly kind: QuarantineUpdateKind.Served;
      readonly service: string;
      readonly parts: readonly string[];
      readonly atMs: number;
    }
  | { readonly kind: QuarantineUpdateKind.Quarantined; readonly quarantined: QuarantinedPart };

const MAX_PART_LENGTH = 256;
const MAX_PARTS = 64;
/** Time since the event, in milliseconds. */
const ago = z.number();
const partsSchema = z.array(z.string().max(MAX_PART_LENGTH)).max(MAX_PARTS);
const lostSchema = z.tuple([
  z.literal(QuarantineUpdateKind.Lost),
  z.string(),
  z.string(),
  z.string(),
  partsSchema,
  ago,
]);
const servedSchema = z.tuple([z.literal(QuarantineUpdateKind.Served), z.string(), partsSchema, ago]);
const quarantinedSchema = z.tuple([
  z.literal(QuarantineUpdateKind.Quarantined),
  z.string(),
  z.string().max(MAX_PART_LENGTH),
  z.number().nonnegative().max(Number.MAX_SAFE_INTEGER),
]);
const updateSchema = z.union([lostSchema, servedSchema, quarantinedSchema]);

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
      const { service, server, request, parts, atMs } = update.attempt;
      return [update.kind, service, server, request, parts.slice(0, MAX_PARTS), Math.round(nowMs - atMs)];
    }
    case QuarantineUpdateKind.Served:
      return [update.kind, update.service, update.parts.slice(0, MAX_PARTS), Math.round(nowMs - update.atMs)];
    case QuarantineUpdateKind.Quarantined: {
      const { service, part, untilMs } = update.quarantined;
      return [update.kind, service, part, untilMs];
    }
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
  const fields = parsed.data;
  switch (fields[0]) {
    case QuarantineUpdateKind.Lost: {
      const [kind, service, server, request, parts, agoMs] = fields;
      return {
        kind,
        attempt: { service, server, request, parts, atMs: nowMs - clamp(agoMs, 0, MAX_RELATIVE_MS) },
      };
    }
    case QuarantineUpdateKind.Served: {
      const [kind, service, parts, agoMs] = fields;
      return { kind, service, parts, atMs: nowMs - clamp(agoMs, 0, MAX_RELATIVE_MS) };
    }
    case QuarantineUpdateKind.Quarantined: {
      const [kind, service, part, untilMs] = fields;
      return { kind, quarantined: { service, part, untilMs } };
    }
  }
}
