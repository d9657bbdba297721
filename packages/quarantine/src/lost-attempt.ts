/** Attempts whose servers were lost, and which of their losses stand for separate crashes. */
import { type CrashCause, CrashCauseKind } from '@toucanbend/registry';

/** What in a request can crash a server. */
export interface RequestSuspects {
  /** Digest of the request, the same each time that its caller sends it. */
  readonly digest: string;
  /** Parts of the prompt that other prompts may have too, in order. */
  readonly parts: readonly string[];
}

/** An attempt whose server was lost before it had answered, as it happens to a request that crashes its server. */
export interface LostAttempt extends RequestSuspects {
  readonly service: string;
  /** Id of the run of the server. */
  readonly server: string;
  /** Id of the caller's attempt, for the log. */
  readonly request: string;
  /** When the attempt was sent, in milliseconds. */
  readonly sentAtMs: number;
  /** When the server was lost, in milliseconds. */
  readonly atMs: number;
}

/** A loss that counts against one cause. */
export interface Loss extends Omit<LostAttempt, 'parts'> {
  /** Index of the part in the prompt; 0 for a whole request. */
  readonly position: number;
  /** When this entry was told of the loss, in milliseconds; for a silent connection seconds after it. */
  readonly noticedAtMs: number;
}

/** The number of separate crashes and of different requests that identify a cause. */
export interface Threshold {
  readonly crashes: number;
  readonly requests: number;
}

/** Crashes within this time count as one, in milliseconds: servers that fail together have a common cause of their own. */
const SIMULTANEOUS_MS = 100;
/** Time between the last sign of an attempt and the notice of its loss that shows a silent connection, in milliseconds. */
const SILENT_MS = 400;

/**
 * Returns what in a request can crash a server.
 *
 * @param suspects - the digest of the request, and the parts of its prompt
 * @returns the request itself, and the parts
 */
export function causesOf({ digest, parts }: RequestSuspects): CrashCause[] {
  return [
    { kind: CrashCauseKind.Request, id: digest },
    ...parts.map((part) => ({ kind: CrashCauseKind.PromptPart, id: part })),
  ];
}

/**
 * Selects the losses that stand for separate crashes: of different servers, and apart in time or one after the other,
 * which an attempt shows that was sent after the crash before.
 *
 * @param losses - the losses of one cause, oldest first
 * @returns the first loss of each crash
 */
export function separateCrashes(losses: readonly Loss[]): Loss[] {
  const servers = new Set<string>();
  const crashes: Loss[] = [];
  let lastAtMs = Number.NEGATIVE_INFINITY;
  let lastNoticedAtMs = Number.NEGATIVE_INFINITY;
  for (const loss of losses) {
    const isSilent = loss.noticedAtMs - loss.atMs >= SILENT_MS;
    const isSeparate = isSilent
      ? loss.noticedAtMs - lastNoticedAtMs >= SIMULTANEOUS_MS || loss.sentAtMs >= lastNoticedAtMs
      : loss.atMs - lastAtMs >= SIMULTANEOUS_MS || loss.sentAtMs >= lastAtMs;
    if (!servers.has(loss.server) && isSeparate) {
      crashes.push(loss);
      lastAtMs = loss.atMs;
      lastNoticedAtMs = loss.noticedAtMs;
    }
    servers.add(loss.server);
  }
  return crashes;
}

/**
 * Returns how long the attempts ran before their servers crashed, in milliseconds. Of requests that were lost in the same
 * crashes, those that ran longest are the least likely causes.
 *
 * @param losses - the losses of one request, oldest first
 * @returns the sum over separate crashes
 */
export function totalRunMs(losses: readonly Loss[]): number {
  return separateCrashes(losses).reduce((total, { sentAtMs, atMs }) => total + atMs - sentAtMs, 0);
}

/**
 * Counts the different requests among losses.
 *
 * @param losses - the losses
 * @returns the number of digests
 */
export function countRequests(losses: readonly Loss[]): number {
  return new Set(losses.map(({ digest }) => digest)).size;
}

/**
 * Checks whether losses reach a threshold.
 *
 * @param losses - the losses of one cause, oldest first
 * @param threshold - the numbers that are required
 * @returns whether both numbers are reached
 */
export function meetsThreshold(losses: readonly Loss[], threshold: Threshold): boolean {
  return (
    losses.length >= threshold.crashes &&
    countRequests(losses) >= threshold.requests &&
    separateCrashes(losses).length >= threshold.crashes
  );
}
