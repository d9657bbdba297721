/**
 * Decides what in requests crashes backend servers, from the attempts that crashes interrupted and the answers that were
 * served.
 *
 * Load patterns: requests that share one part of their prompts arrive at all entries, no two alike, or one request arrives
 * again and again. Each crashes the server that begins to run it, and the crash interrupts sound requests as well, some of
 * which share other parts, or are sent often themselves. Servers also crash for other reasons.
 */
import { type CrashCause, CrashCauseKind } from '@toucanbend/registry';
import { createBoundedMap } from './bounded-map.js';
import {
  causesOf,
  type Loss,
  type LostAttempt,
  meetsThreshold,
  separateCrashes,
  shareAmongRequests,
  type SharedByAll,
  SIMULTANEOUS_MS,
  type Threshold,
  totalRunMs,
} from './lost-attempt.js';

interface Evidence {
  readonly cause: CrashCause;
  /** Losses since the cause was last served, oldest first. */
  losses: readonly Loss[];
}

/** For causes that no answer is known to have been served with: of a part, one request that is retried does not suffice. */
const UNSERVED_THRESHOLDS: Readonly<Record<CrashCauseKind, Threshold>> = {
  [CrashCauseKind.PromptPart]: { crashes: 3, requests: 2 },
  [CrashCauseKind.Request]: { crashes: 3, requests: 1 },
};
/** For causes that were served before, which are likely to be sound. */
const SERVED_THRESHOLDS: Readonly<Record<CrashCauseKind, Threshold>> = {
  [CrashCauseKind.PromptPart]: { crashes: 8, requests: 5 },
  [CrashCauseKind.Request]: { crashes: 5, requests: 1 },
};
/** For causes that were quarantined before, at this or another service. */
const KNOWN_THRESHOLD: Threshold = { crashes: 1, requests: 1 };
/** Time within which a loss is due to the same crash of a server as another one, in milliseconds. */
const SAME_CRASH_MS = 10_000;
/** Time after which evidence is dropped, in milliseconds. */
const EVIDENCE_LIFETIME_MS = 600_000;
/** Limits of the numbers of causes, of losses for each, and of servers, which bound the memory of this record. */
const MAX_CAUSES = 4_096;
const MAX_LOSSES = 64;
/** Limit on the losses of one cause at one server, so that copies there do not displace those of earlier crashes. */
const MAX_LOSSES_PER_SERVER = 4;
const MAX_SERVERS = 1_024;

/** A cause that has crashed servers, and the evidence against it. */
export interface Culprit {
  readonly service: string;
  readonly cause: CrashCause;
  readonly crashes: number;
  readonly requests: number;
  /** Whether answers to requests with the cause were served earlier. */
  readonly wasServed: boolean;
  /** The last crashes, each as the id of the server and that of the interrupted attempt. */
  readonly evidence: readonly string[];
}

/** The record of interrupted attempts and served answers. */
export interface CrashEvidence {
  /**
   * Records an interrupted attempt.
   *
   * @param attempt - the attempt
   * @param noticedAtMs - when this entry was told of the loss, in milliseconds; at once if absent
   * @returns whether the evidence now suffices for one of its causes
   */
  lost(attempt: LostAttempt, noticedAtMs?: number): boolean;
  /** Records that servers have answered requests with a cause, and that they survived it. */
  served(service: string, cause: CrashCause, atMs: number): void;
  /**
   * Records that a run of a server was alive at a time, so that what was lost there before was lost in no crash.
   *
   * @returns whether attempts had been lost there before
   */
  survived(server: string, aliveAtMs: number): boolean;
  /** Returns when an attempt was lost last at a run of a server that has not survived it; undefined if none was. */
  lastLostAtMs(server: string): number | undefined;
  /** Returns when a cause was last served; undefined if that is not known. */
  servedAtMs(service: string, cause: CrashCause): number | undefined;
  /** Returns whether attempts with a cause were lost since it was last served. */
  isSuspected(service: string, cause: CrashCause): boolean;
  /** Returns whether the evidence suffices for a cause. */
  suffices(service: string, cause: CrashCause): boolean;
  /**
   * Selects a cause that has crashed servers.
   *
   * @returns the cause, or undefined if the evidence suffices for none
   */
  findCulprit(): Culprit | undefined;
  /**
   * Records that a cause crashes servers. The crashes that it explains no longer count against other causes; later
   * evidence against the cause itself suffices sooner.
   */
  explain(service: string, cause: CrashCause): void;
  /** Drops old evidence. */
  prune(nowMs: number): void;
}

const keyOf = ({ kind, id }: CrashCause): string => `${kind}/${id}`;
const servedKeyOf = (service: string, cause: CrashCause): string => `${service}/${keyOf(cause)}`;

/**
 * Returns the key of the evidence against a cause. That against a request is pooled over the services, among which a route
 * may divide the copies of one request.
 */
function evidenceKeyOf(service: string, cause: CrashCause): string {
  return cause.kind === CrashCauseKind.Request ? keyOf(cause) : servedKeyOf(service, cause);
}

/**
 * Creates an empty record.
 *
 * @returns the record
 */
export function createCrashEvidence(): CrashEvidence {
  const byCause = createBoundedMap<string, Evidence>(MAX_CAUSES);
  /** When causes were last served. Requests are many, and do not displace parts. */
  const served: Readonly<Record<CrashCauseKind, ReturnType<typeof createBoundedMap<string, number>>>> = {
    [CrashCauseKind.PromptPart]: createBoundedMap(MAX_CAUSES),
    [CrashCauseKind.Request]: createBoundedMap(MAX_CAUSES),
  };
  /** Times of the crashes that a quarantined cause explains, by server. */
  const explained = createBoundedMap<string, number>(MAX_SERVERS);
  /** Times of the last losses, by server. */
  const lostAtMs = createBoundedMap<string, number>(MAX_SERVERS);
  /** Causes that were quarantined, with the time of their last crash. */
  const known = createBoundedMap<string, number>(MAX_CAUSES);
  /** Causes whose sufficient evidence was explained by another one: their next crash suffices. */
  const rivals = createBoundedMap<string, true>(MAX_CAUSES);

  const servedAtMs = (service: string, cause: CrashCause): number | undefined =>
    served[cause.kind].get(servedKeyOf(service, cause));

  const wasServed = ({ cause, losses }: Evidence): boolean =>
    losses.some(({ service }) => servedAtMs(service, cause) !== undefined);

  /**
   * Returns how to tell whether a cause was at all servers that failed together. A cause that was served before may be at many
   * servers, so that it says nothing of why they failed.
   */
  const sharedByAllOf = (evidence: Evidence): SharedByAll | undefined => {
    if (wasServed(evidence)) {
      return undefined;
    }
    const servers = new Set(evidence.losses.map(({ server }) => server));
    return ({ atMs }) =>
      [...lostAtMs.entries()].every(
        ([server, otherAtMs]) => servers.has(server) || Math.abs(otherAtMs - atMs) >= SIMULTANEOUS_MS,
      );
  };

  const crashesOf = (evidence: Evidence): Loss[] => separateCrashes(evidence.losses, sharedByAllOf(evidence));

  const isExplained = ({ server, atMs }: Pick<Loss, 'server' | 'atMs'>): boolean =>
    Math.abs((explained.get(server) ?? Number.NEGATIVE_INFINITY) - atMs) < SAME_CRASH_MS;

  const isIdentified = (evidence: Evidence): boolean => {
    const { cause, losses } = evidence;
    const unknown = wasServed(evidence) ? SERVED_THRESHOLDS : UNSERVED_THRESHOLDS;
    const isNear = known.has(keyOf(cause)) || rivals.has(keyOf(cause));
    return meetsThreshold(losses, isNear ? KNOWN_THRESHOLD : unknown[cause.kind], sharedByAllOf(evidence));
  };

  /**
   * Orders identified causes of one kind: first those that were never served, then the parts that come last in their prompts,
   * since the first parts are shared by more prompts, sound ones among them.
   */
  const compareCulprits = (left: Evidence, right: Evidence): number => {
    const servedOrder = Number(wasServed(left)) - Number(wasServed(right));
    const position = (right.losses[0]?.position ?? 0) - (left.losses[0]?.position ?? 0);
    const crashOrder = crashesOf(right).length - crashesOf(left).length;
    const runOrder = totalRunMs(left.losses) - totalRunMs(right.losses);
    return servedOrder || position || crashOrder || runOrder;
  };

  /** Selects a part rather than a request, which concerns one caller only, if it accounts for more crashes. */
  const selectCulprit = (identified: readonly Evidence[]): Evidence | undefined => {
    const [request] = identified
      .filter(({ cause }) => cause.kind === CrashCauseKind.Request)
      .sort(compareCulprits);
    const [part] = identified
      .filter(({ cause }) => cause.kind === CrashCauseKind.PromptPart)
      .sort(compareCulprits);
    if (request === undefined || part === undefined) {
      return request ?? part;
    }
    const [isRequestServed, isPartServed] = [wasServed(request), wasServed(part)];
    const isPart =
      isRequestServed === isPartServed ? crashesOf(part).length > crashesOf(request).length : isRequestServed;
    return isPart ? part : request;
  };

  /**
   * Drops the losses that a cause explains, or attributes them to it if it is a request: a part of several requests may be
   * what crashes servers, although one of them has been lost often enough to be blamed.
   */
  const explainLosses = (other: Evidence, cause: CrashCause): readonly Loss[] => {
    if (cause.kind === CrashCauseKind.Request && other.cause.kind === CrashCauseKind.PromptPart) {
      return other.losses.map((loss) => (isExplained(loss) ? { ...loss, isAttributed: true } : loss));
    }
    return other.losses.filter((loss) => !isExplained(loss));
  };

  return {
    lost: (attempt, noticedAtMs = attempt.atMs) => {
      const { service, server, request, digest, parts, sentAtMs, atMs } = attempt;
      lostAtMs.set(server, Math.max(atMs, lostAtMs.get(server) ?? atMs));
      const causes = causesOf(attempt).filter(
        (cause) => (servedAtMs(service, cause) ?? Number.NEGATIVE_INFINITY) < atMs,
      );
      const knownCauses = causes.filter((cause) => known.has(keyOf(cause)));
      if (knownCauses.length > 0) {
        explained.set(server, atMs);
      } else if (isExplained({ server, atMs })) {
        return false;
      }
      const suspected = (knownCauses.length > 0 ? knownCauses : causes).map((cause): Evidence => {
        const key = evidenceKeyOf(service, cause);
        const position = Math.max(0, parts.indexOf(cause.id));
        const loss: Loss = {
          service,
          server,
          request,
          digest,
          sentAtMs,
          atMs,
          position,
          noticedAtMs,
          isAttributed: false,
        };
        const before = byCause.get(key)?.losses ?? [];
        const here = before.filter((other) => other.server === server);
        const dropped =
          here.find((other) => other.digest === digest) ??
          (here.length < MAX_LOSSES_PER_SERVER ? undefined : here[0]);
        const losses = [...before.filter((other) => other !== dropped), loss];
        losses.sort((left, right) => left.atMs - right.atMs);
        const evidence = { cause, losses: losses.slice(-MAX_LOSSES) };
        byCause.set(key, evidence);
        return evidence;
      });
      return suspected.some(isIdentified);
    },
    served: (service, cause, atMs) => {
      if (atMs > (known.get(keyOf(cause)) ?? Number.NEGATIVE_INFINITY)) {
        known.delete(keyOf(cause));
        rivals.delete(keyOf(cause));
      }
      served[cause.kind].set(servedKeyOf(service, cause), Math.max(atMs, servedAtMs(service, cause) ?? atMs));
      const evidence = byCause.get(evidenceKeyOf(service, cause));
      if (evidence !== undefined) {
        evidence.losses = evidence.losses.filter((loss) => loss.service !== service || loss.atMs > atMs);
      }
    },
    survived: (server, aliveAtMs) => {
      if ((lostAtMs.get(server) ?? Number.POSITIVE_INFINITY) >= aliveAtMs) {
        return false;
      }
      lostAtMs.delete(server);
      for (const evidence of byCause.values()) {
        evidence.losses = evidence.losses.filter((loss) => loss.server !== server || loss.atMs >= aliveAtMs);
      }
      return true;
    },
    lastLostAtMs: (server) => lostAtMs.get(server),
    servedAtMs,
    isSuspected: (service, cause) =>
      byCause.get(evidenceKeyOf(service, cause))?.losses.some((loss) => loss.service === service) === true,
    suffices: (service, cause) => {
      const evidence = byCause.get(evidenceKeyOf(service, cause));
      return evidence !== undefined && isIdentified(evidence);
    },
    findCulprit: () => {
      const culprit = selectCulprit([...byCause.values()].filter(isIdentified));
      const newest = culprit?.losses.at(-1);
      if (culprit === undefined || newest === undefined) {
        return undefined;
      }
      const crashes = crashesOf(culprit);
      return {
        service: newest.service,
        cause: culprit.cause,
        crashes: crashes.length,
        requests: shareAmongRequests(culprit.losses, sharedByAllOf(culprit)).requests,
        wasServed: wasServed(culprit),
        evidence: crashes.map(({ server, request }) => `${server} ${request}`),
      };
    },
    explain: (service, cause) => {
      const evidence = byCause.get(evidenceKeyOf(service, cause));
      const own = evidence?.losses.filter((loss) => loss.service === service) ?? [];
      known.set(keyOf(cause), Math.max(known.get(keyOf(cause)) ?? 0, ...own.map(({ atMs }) => atMs)));
      const identified = [...byCause.values()].filter(
        (other) =>
          other !== evidence &&
          isIdentified(other) &&
          !other.losses.some(({ digest }) => digest === cause.id),
      );
      own.forEach(({ server, atMs }) => {
        explained.set(server, atMs);
      });
      if (evidence !== undefined) {
        evidence.losses = evidence.losses.filter((loss) => loss.service !== service);
      }
      identified.forEach((other) => {
        rivals.set(keyOf(other.cause), true);
      });
      for (const other of byCause.values()) {
        if (!known.has(keyOf(other.cause))) {
          other.losses = explainLosses(other, cause);
        }
      }
    },
    prune: (nowMs) => {
      for (const [key, evidence] of byCause.entries()) {
        evidence.losses = evidence.losses.filter(({ atMs }) => nowMs - atMs < EVIDENCE_LIFETIME_MS);
        if (evidence.losses.length === 0) {
          byCause.delete(key);
        }
      }
      for (const times of Object.values(served)) {
        for (const [key, atMs] of times.entries()) {
          if (nowMs - atMs >= EVIDENCE_LIFETIME_MS) {
            times.delete(key);
          }
        }
      }
      for (const [server, atMs] of explained.entries()) {
        if (nowMs - atMs >= SAME_CRASH_MS) {
          explained.delete(server);
        }
      }
    },
  };
}
