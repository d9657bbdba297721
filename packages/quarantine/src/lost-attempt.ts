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
  /** Whether a quarantined request accounts for the crash; it may have been blamed in place of a part that it has. */
  readonly isAttributed: boolean;
}

/** The number of separate crashes and of different requests that identify a cause. */
export interface Threshold {
  readonly crashes: number;
  readonly requests: number;
}

/** Crashes within this time count as one, in milliseconds: servers that fail together may have a common cause of their own. */
export const SIMULTANEOUS_MS = 100;
/** Time between the last sign of an attempt and the notice of its loss that shows a silent connection, in milliseconds. */
const SILENT_MS = 400;

/** Crashes that no single request accounts for which show that a part of several requests is the cause. */
const MIN_CRASHES_BY_OTHERS = 2;

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

/** Returns whether the cause of a loss was at all servers that failed together with that of the loss. */
export type SharedByAll = (loss: Loss) => boolean;

const sharedByNone: SharedByAll = () => false;

/**
 * Groups losses by crash. Crashes are separate if they ended different servers, and apart in time or one after the other,
 * which an attempt shows that was sent after the crash before. After a first crash, those at the same time are separate
 * too if the cause was at all servers that failed then: it was at the servers of the crash before as well.
 *
 * Load pattern: several requests with one part arrive at a time, each at a server of its own; each crashes its server, and is repeated at
 * the next one.
 *
 * @param losses - the losses of one cause, oldest first
 * @param isSharedByAll - whether the cause was at all servers that failed together
 * @returns the losses of each crash, oldest first
 */
export function groupByCrash(losses: readonly Loss[], isSharedByAll = sharedByNone): Loss[][] {
  const crashOf = new Map<string, Loss[]>();
  const crashes: Loss[][] = [];
  let lastAtMs = Number.NEGATIVE_INFINITY;
  let lastNoticedAtMs = Number.NEGATIVE_INFINITY;
  for (const loss of losses) {
    const isSilent = loss.noticedAtMs - loss.atMs >= SILENT_MS;
    const isSeparate = isSilent
      ? loss.noticedAtMs - lastNoticedAtMs >= SIMULTANEOUS_MS || loss.sentAtMs >= lastNoticedAtMs
      : loss.atMs - lastAtMs >= SIMULTANEOUS_MS ||
        loss.sentAtMs >= lastAtMs ||
        (crashes.length > 1 && isSharedByAll(loss));
    const sameServer = crashOf.get(loss.server);
    const latest = crashes.at(-1);
    if (sameServer !== undefined) {
      sameServer.push(loss);
    } else if (isSeparate || latest === undefined) {
      const crash = [loss];
      crashes.push(crash);
      crashOf.set(loss.server, crash);
      lastAtMs = loss.atMs;
      lastNoticedAtMs = loss.noticedAtMs;
    } else {
      latest.push(loss);
      crashOf.set(loss.server, latest);
    }
  }
  return crashes;
}

/**
 * Selects the losses that stand for separate crashes.
 *
 * @param losses - the losses of one cause, oldest first
 * @param isSharedByAll - whether the cause was at all servers that failed together
 * @returns the first loss of each crash
 */
export function separateCrashes(losses: readonly Loss[], isSharedByAll = sharedByNone): Loss[] {
  return groupByCrash(losses, isSharedByAll).flatMap(([first]) => (first === undefined ? [] : [first]));
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

/** How requests share the crashes of one cause. */
export interface RequestShares {
  /** Number of separate crashes. */
  readonly crashes: number;
  /** Largest number of them in which one and the same request was lost. */
  readonly byOne: number;
  /** Number of requests that it takes to account for all of them; one that was merely beside another is not counted. */
  readonly requests: number;
}

/**
 * Determines how requests share the crashes of one cause.
 *
 * @param losses - the losses, oldest first
 * @param isSharedByAll - whether the cause was at all servers that failed together
 * @returns the shares
 */
export function shareAmongRequests(losses: readonly Loss[], isSharedByAll = sharedByNone): RequestShares {
  let left = groupByCrash(losses, isSharedByAll).map((crash) => new Set(crash.map(({ digest }) => digest)));
  const crashes = left.length;
  let requests = 0;
  let byOne = 0;
  while (left.length > 0) {
    const counts = new Map<string, number>();
    for (const digest of left.flatMap((digests) => [...digests])) {
      counts.set(digest, (counts.get(digest) ?? 0) + 1);
    }
    const [most = '', count = 0] =
      [...counts].reduce<[string, number] | undefined>(
        (best, entry) => (best === undefined || entry[1] > best[1] ? entry : best),
        undefined,
      ) ?? [];
    byOne = Math.max(byOne, count);
    requests += 1;
    left = left.filter((digests) => !digests.has(most));
  }
  return { crashes, byOne, requests };
}

/**
 * Checks whether losses reach a threshold. Crashes in which one request was lost as often as identifies a request speak for
 * that request, and so do those that are attributed to one; then it takes two more to speak for a part.
 *
 * @param losses - the losses of one cause, oldest first
 * @param threshold - the numbers that are required
 * @param isSharedByAll - whether the cause was at all servers that failed together
 * @returns whether both numbers are reached
 */
export function meetsThreshold(
  losses: readonly Loss[],
  threshold: Threshold,
  isSharedByAll = sharedByNone,
): boolean {
  if (losses.length < threshold.crashes) {
    return false;
  }
  const { crashes, byOne, requests } = shareAmongRequests(losses, isSharedByAll);
  if (crashes < threshold.crashes || requests < threshold.requests) {
    return false;
  }
  const open = groupByCrash(losses, isSharedByAll).filter(
    (crash) => !crash.some(({ isAttributed }) => isAttributed),
  );
  const isOfOne = threshold.requests > 1 && byOne >= threshold.crashes;
  const byOthers = isOfOne ? Math.min(open.length, crashes - byOne) : open.length;
  return byOthers >= Math.min(threshold.crashes, MIN_CRASHES_BY_OTHERS);
}
