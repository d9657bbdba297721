/** Updates about the pace of servers that entries send one another, and their encoding as flat arrays. */
import { clamp } from '@toucanbend/core';
import { z } from 'zod';
import { MAX_PACE_MS, MIN_SHARE, PaceCause } from './server-pace.js';

/** The kind of update; its value differs from those of the other updates, which travel in the same frames. */
export enum PaceUpdateKind {
  Pace = 30,
}

/** The pace of one run of a server. */
export interface PaceUpdate {
  readonly kind: PaceUpdateKind.Pace;
  readonly server: string;
  /** Start of the run of the server, in milliseconds since 1970; 0 if unknown. */
  readonly bornAtMs: number;
  readonly cause: PaceCause;
  /** Share of the server's slots, in (0, 1]; 1 ends the pace. */
  readonly share: number;
  readonly falls: number;
  /** Time of the last fall, in milliseconds; encoded as an age, since the clocks of hosts differ. */
  readonly fellAtMs: number;
}

const MAX_ID_LENGTH = 256;
const updateSchema = z.tuple([
  z.literal(PaceUpdateKind.Pace),
  z.string().max(MAX_ID_LENGTH),
  z.number().int().nonnegative(),
  z.enum(PaceCause),
  z.number().min(MIN_SHARE).max(1),
  z.number().int().positive(),
  z.number(),
]);

/**
 * Encodes an update as a flat array.
 *
 * @param update - the update
 * @param nowMs - the current time, in milliseconds, to which the age is relative
 * @returns an array whose first element is the kind of update
 */
export function encodePaceUpdate(update: PaceUpdate, nowMs: number): unknown[] {
  const { kind, server, bornAtMs, cause, share, falls, fellAtMs } = update;
  return [kind, server, bornAtMs, cause, share, falls, Math.round(nowMs - fellAtMs)];
}

/**
 * Decodes an update.
 *
 * @param value - a value received from another entry
 * @param nowMs - the current time, in milliseconds, to which the age is relative
 * @returns the update, or undefined if the value is not a valid update
 */
export function decodePaceUpdate(value: unknown, nowMs: number): PaceUpdate | undefined {
  const parsed = updateSchema.safeParse(value);
  if (!parsed.success) {
    return undefined;
  }
  const [kind, server, bornAtMs, cause, share, falls, ageMs] = parsed.data;
  return { kind, server, bornAtMs, cause, share, falls, fellAtMs: nowMs - clamp(ageMs, 0, MAX_PACE_MS) };
}
