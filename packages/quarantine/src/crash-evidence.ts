/**
 * Decides which part of the prompts crashes backend servers, from the attempts that crashes interrupted and the answers
 * that were served.
 *
 * Load pattern: requests that share one part of their prompts arrive at all entries. Each crashes the server that begins
 * its answer, and the crash interrupts sound requests as well, some of which share other parts. Servers also crash for
 * other reasons.
 */

/** An attempt whose connection was lost while its answer began, as it happens to a request that crashes its server. */
export interface LostAttempt {
  readonly service: string;
  /** Id of the run of the server. */
  readonly server: string;
  readonly request: string;
  /** Parts of the prompt that other prompts may have too, in order. */
  readonly parts: readonly string[];
  readonly atMs: number;
}

interface Loss {
  readonly server: string;
  readonly request: string;
  readonly atMs: number;
  /** Index of the part in the prompt. */
  readonly position: number;
}

interface PartEvidence {
  readonly service: string;
  readonly part: string;
  /** Losses since the part was last served, oldest first. */
  losses: readonly Loss[];
  servedAtMs: number | undefined;
}

/** The number of separate crashes and of requests that identify a part. */
interface Threshold {
  readonly crashes: number;
  readonly requests: number;
}

/** For parts that no answer is known to have been served with: a retried request alone does not suffice. */
const UNSERVED_THRESHOLD: Threshold = { crashes: 3, requests: 2 };
/** For parts that were served before, which are likely to be sound. */
const SERVED_THRESHOLD: Threshold = { crashes: 8, requests: 5 };
/** For parts that were quarantined before, at this or another service. */
const KNOWN_THRESHOLD: Threshold = { crashes: 1, requests: 1 };
/** Crashes within this time count as one, in milliseconds: servers that fail together have a common cause of their own. */
const SIMULTANEOUS_MS = 100;
/** Time within which a loss is due to the same crash of a server as another one, in milliseconds. */
const SAME_CRASH_MS = 2_000;
/** Time after which evidence is dropped, in milliseconds. */
const EVIDENCE_LIFETIME_MS = 600_000;
/** Limits of the number of parts and of losses for each part, which bound the memory of this record. */
const MAX_PARTS = 4_096;
const MAX_LOSSES = 64;

/** A part that has crashed servers, and the evidence against it. */
export interface Culprit {
  readonly service: string;
  readonly part: string;
  readonly crashes: number;
  readonly requests: number;
  /** Whether answers to prompts with the part were served earlier. */
  readonly wasServed: boolean;
}

/** The record of interrupted attempts and served answers. */
export interface CrashEvidence {
  /** Records an interrupted attempt. */
  lost(attempt: LostAttempt): void;
  /** Records that servers have written answers to prompts with these parts, and that they survived it. */
  served(service: string, parts: readonly string[], atMs: number): void;
  /** Returns when a part was last served; undefined if that is not known. */
  servedAtMs(service: string, part: string): number | undefined;
  /** Returns whether attempts with a part were lost since it was last served. */
  isSuspected(service: string, part: string): boolean;
  /**
   * Selects a part that has crashed servers.
   *
   * @returns the part, or undefined if the evidence suffices for none
   */
  findCulprit(): Culprit | undefined;
  /**
   * Records that a part crashes servers. The crashes that it explains no longer count against other parts; later evidence
   * against the part itself suffices sooner.
   */
  explain(service: string, part: string): void;
  /** Drops old evidence. */
  prune(nowMs: number): void;
}

const keyOf = (service: string, part: string): string => `${service}/${part}`;

/** Counts the crashes that are apart in time and concern different servers. */
function countCrashes(losses: readonly Loss[]): number {
  const servers = new Set<string>();
  let crashes = 0;
  let lastAtMs = Number.NEGATIVE_INFINITY;
  for (const { server, atMs } of losses) {
    if (!servers.has(server) && atMs - lastAtMs >= SIMULTANEOUS_MS) {
      crashes += 1;
      lastAtMs = atMs;
    }
    servers.add(server);
  }
  return crashes;
}

function countRequests(losses: readonly Loss[]): number {
  return new Set(losses.map(({ request }) => request)).size;
}

function meetsThreshold({ losses }: PartEvidence, threshold: Threshold): boolean {
  return (
    losses.length >= threshold.crashes &&
    countRequests(losses) >= threshold.requests &&
    countCrashes(losses) >= threshold.crashes
  );
}

/**
 * Orders identified parts: first those that were never served, then those that come last in their prompts, since the first
 * parts are shared by more prompts, sound ones among them.
 */
function compareCulprits(left: PartEvidence, right: PartEvidence): number {
  const served = Number(left.servedAtMs !== undefined) - Number(right.servedAtMs !== undefined);
  const position = (right.losses[0]?.position ?? 0) - (left.losses[0]?.position ?? 0);
  return served !== 0 ? served : position;
}

/**
 * Creates an empty record.
 *
 * @returns the record
 */
export function createCrashEvidence(): CrashEvidence {
  const byPart = new Map<string, PartEvidence>();
  /** Times of the crashes that a quarantined part explains, by server. */
  const explained = new Map<string, number>();
  /** Parts that were quarantined. */
  const known = new Set<string>();

  const evidenceOf = (service: string, part: string): PartEvidence => {
    const key = keyOf(service, part);
    const evidence = byPart.get(key) ?? { service, part, losses: [], servedAtMs: undefined };
    // Insertion order is the order of use, so that the part that was not seen for longest is dropped first.
    byPart.delete(key);
    byPart.set(key, evidence);
    const [oldest] = byPart.keys();
    if (byPart.size > MAX_PARTS && oldest !== undefined) {
      byPart.delete(oldest);
    }
    return evidence;
  };

  const isExplained = ({ server, atMs }: Pick<Loss, 'server' | 'atMs'>): boolean =>
    Math.abs((explained.get(server) ?? Number.NEGATIVE_INFINITY) - atMs) < SAME_CRASH_MS;

  const explainCrashes = (evidence: PartEvidence): void => {
    evidence.losses.forEach(({ server, atMs }) => explained.set(server, atMs));
    for (const other of byPart.values()) {
      if (!known.has(other.part)) {
        other.losses = other.losses.filter((loss) => !isExplained(loss));
      }
    }
    evidence.losses = [];
  };

  const isIdentified = (evidence: PartEvidence): boolean => {
    const unknownThreshold = evidence.servedAtMs === undefined ? UNSERVED_THRESHOLD : SERVED_THRESHOLD;
    return meetsThreshold(evidence, known.has(evidence.part) ? KNOWN_THRESHOLD : unknownThreshold);
  };

  return {
    lost: ({ service, server, request, parts, atMs }) => {
      const knownParts = parts.filter((part) => known.has(part));
      const suspects = knownParts.length > 0 ? knownParts : parts;
      if (knownParts.length === 0 && isExplained({ server, atMs })) {
        return;
      }
      suspects.forEach((part) => {
        const evidence = evidenceOf(service, part);
        const position = parts.indexOf(part);
        evidence.losses = [...evidence.losses, { server, request, atMs, position }].slice(-MAX_LOSSES);
        if (known.has(part)) {
          explained.set(server, atMs);
        }
      });
    },
    served: (service, parts, atMs) => {
      parts.forEach((part) => {
        const evidence = evidenceOf(service, part);
        known.delete(part);
        evidence.servedAtMs = Math.max(atMs, evidence.servedAtMs ?? atMs);
        evidence.losses = evidence.losses.filter((loss) => loss.atMs > atMs);
      });
    },
    servedAtMs: (service, part) => byPart.get(keyOf(service, part))?.servedAtMs,
    isSuspected: (service, part) => (byPart.get(keyOf(service, part))?.losses.length ?? 0) > 0,
    findCulprit: () => {
      const [culprit] = [...byPart.values()].filter(isIdentified).sort(compareCulprits);
      return culprit === undefined
        ? undefined
        : {
            service: culprit.service,
            part: culprit.part,
            crashes: countCrashes(culprit.losses),
            requests: countRequests(culprit.losses),
            wasServed: culprit.servedAtMs !== undefined,
          };
    },
    explain: (service, part) => {
      known.add(part);
      explainCrashes(evidenceOf(service, part));
    },
    prune: (nowMs) => {
      for (const [key, evidence] of byPart) {
        evidence.losses = evidence.losses.filter(({ atMs }) => nowMs - atMs < EVIDENCE_LIFETIME_MS);
        const isServedLately =
          nowMs - (evidence.servedAtMs ?? Number.NEGATIVE_INFINITY) < EVIDENCE_LIFETIME_MS;
        if (!isServedLately && evidence.losses.length === 0) {
          byPart.delete(key);
        }
      }
      for (const [server, atMs] of explained) {
        if (nowMs - atMs >= SAME_CRASH_MS) {
          explained.delete(server);
        }
      }
    },
  };
}
