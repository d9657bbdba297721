/** Updates about restrictions of servers that entries send one another, and their encoding as flat arrays. */
import { clamp, MAX_RELATIVE_MS } from '@toucanbend/core';
import { type StorePosition } from '@toucanbend/registry';
import { z } from 'zod';

/** The kinds of updates; their values differ from those of the other updates, which travel in the same frames. */
export enum RestrictionUpdateKind {
  /** A server has stated a rate limit, or no longer states one. */
  Limit = 20,
  /** A server has stated that it leaves. */
  Leaving = 21,
  /** A server is cold for some time, or no longer. */
  Cold = 22,
}

/** The rate limit of a server. */
export interface LimitUpdate {
  readonly kind: RestrictionUpdateKind.Limit;
  readonly server: string;
  /** Start of the run of the server, in milliseconds since 1970; 0 if unknown. */
  readonly bornAtMs: number;
  /** Requests per second; undefined if the server states no limit any more. */
  readonly perSecond: number | undefined;
  /** Time of the statement, in milliseconds. */
  readonly statedAtMs: number;
  /** Time up to which the limit is used, in milliseconds. */
  readonly usedUntilMs: number;
}

/** A server that leaves. */
export interface LeavingUpdate {
  readonly kind: RestrictionUpdateKind.Leaving;
  readonly server: string;
  /** Start of the run of the server, in milliseconds since 1970; 0 if unknown. */
  readonly bornAtMs: number;
}

/** What the record of a server states about its cold period. */
export interface ColdUpdate {
  readonly kind: RestrictionUpdateKind.Cold;
  readonly server: string;
  /** Start of the run of the server, in milliseconds since 1970; 0 if unknown. */
  readonly bornAtMs: number;
  readonly service: string;
  /** Position of the record in the store. */
  readonly position: StorePosition;
  /** Time until which the server is cold, in milliseconds. */
  readonly untilMs: number;
  /** Whether no entry can have sent requests to this run of the server before it knew of the period. */
  readonly isUnused: boolean;
}

/** An update. Its encoded times are relative to the time of encoding, since the clocks of hosts differ. */
export type RestrictionUpdate = LimitUpdate | LeavingUpdate | ColdUpdate;

const MAX_ID_LENGTH = 256;
/** Encoded rate of a server without a limit. */
const NO_LIMIT = -1;
/** Highest rate, in requests per second; servers state none above it. */
const MAX_PER_SECOND = 1e12;
/** Longest time for which a limit counts as used in advance, in milliseconds. */
const MAX_USED_MS = 60_000;
/** Longest cold period that is taken over from a record or from another entry, in milliseconds. */
export const MAX_COLD_MS = 600_000;
const bornAt = z.number().int().nonnegative();
const limitSchema = z.tuple([
  z.literal(RestrictionUpdateKind.Limit),
  z.string().max(MAX_ID_LENGTH),
  bornAt,
  z.number().min(NO_LIMIT).max(MAX_PER_SECOND),
  z.number(),
  z.number(),
]);

const leavingSchema = z.tuple([
  z.literal(RestrictionUpdateKind.Leaving),
  z.string().max(MAX_ID_LENGTH),
  bornAt,
]);
const revision = z.number().int().nonnegative();
const coldSchema = z.tuple([
  z.literal(RestrictionUpdateKind.Cold),
  z.string().max(MAX_ID_LENGTH),
  bornAt,
  z.string().max(MAX_ID_LENGTH),
  revision,
  revision,
  z.number(),
  z.boolean(),
]);
const updateSchema = z.union([limitSchema, leavingSchema, coldSchema]);

/**
 * Encodes an update as a flat array.
 *
 * @param update - the update
 * @param nowMs - the current time, in milliseconds, to which encoded times are relative
 * @returns an array whose first element is the kind of update
 */
export function encodeRestrictionUpdate(update: RestrictionUpdate, nowMs: number): unknown[] {
  const { kind, server, bornAtMs } = update;
  if (kind === RestrictionUpdateKind.Leaving) {
    return [kind, server, bornAtMs];
  }
  if (kind === RestrictionUpdateKind.Cold) {
    const { service, position, untilMs, isUnused } = update;
    const { era, revision } = position;
    return [kind, server, bornAtMs, service, era, revision, Math.ceil(untilMs - nowMs), isUnused];
  }
  const { perSecond, statedAtMs, usedUntilMs } = update;
  const relative = [Math.round(nowMs - statedAtMs), Math.round(usedUntilMs - nowMs)];
  return [kind, server, bornAtMs, perSecond ?? NO_LIMIT, ...relative];
}

/**
 * Decodes an update.
 *
 * @param value - a value received from another entry
 * @param nowMs - the current time, in milliseconds, to which encoded times are relative
 * @returns the update, or undefined if the value is not a valid update
 */
export function decodeRestrictionUpdate(value: unknown, nowMs: number): RestrictionUpdate | undefined {
  const parsed = updateSchema.safeParse(value);
  if (!parsed.success) {
    return undefined;
  }
  const fields = parsed.data;
  if (fields[0] === RestrictionUpdateKind.Leaving) {
    const [kind, server, bornAtMs] = fields;
    return { kind, server, bornAtMs };
  }
  if (fields[0] === RestrictionUpdateKind.Cold) {
    const [kind, server, bornAtMs, service, era, revision, leftMs, isUnused] = fields;
    const untilMs = nowMs + clamp(leftMs, -MAX_RELATIVE_MS, MAX_COLD_MS);
    return { kind, server, bornAtMs, service, position: { era, revision }, untilMs, isUnused };
  }
  const [kind, server, bornAtMs, perSecond, statedAgoMs, usedForMs] = fields;
  return {
    kind,
    server,
    bornAtMs,
    perSecond: perSecond < 0 ? undefined : perSecond,
    statedAtMs: nowMs - clamp(statedAgoMs, 0, MAX_RELATIVE_MS),
    usedUntilMs: nowMs + clamp(usedForMs, -MAX_RELATIVE_MS, MAX_USED_MS),
  };
}
