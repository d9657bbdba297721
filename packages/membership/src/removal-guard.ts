/**
 * Holds removals back for a short time after the store was away, because what expired meanwhile, or is missing in an older copy
 * with which the store returned, is written again by those that still run.
 *
 * Guards against an outage that is longer than the lifetime of registrations, and against an older copy: without the guard,
 * servers would appear to be removed once the store is reachable again, and requests would be rejected until the servers have
 * registered again.
 */
import {
  keyOf,
  RecordKind,
  type RecordBatch,
  type Registry,
  type RegistryRecord,
  type StorePosition,
  withTombstones,
} from '@toucanbend/registry';

/** Holds back removals of one kind of record after the store was away. */
export interface RemovalGuard {
  /**
   * Records that the store is reachable again.
   *
   * @param outageMs - time without an answer, in milliseconds
   * @param returnedAtMs - when it may have returned, or is known to have returned
   */
  recordOutage(outageMs: number, returnedAtMs: number): void;
  /** Records that registrations may have lapsed while the store was away, and are just written again. */
  recordLapses(nowMs: number): void;
  /** Records that the store has returned with an older copy, in a new era. */
  recordRestoration(era: number, nowMs: number): void;
  /** Records the era of a listing: a later one than before means that the store has returned with an older copy. */
  recordEra(era: number, nowMs: number): void;
  /**
   * Filters changes: holds back removals of servers after the store was away, and drops a removal that was held back when a
   * newer record of the same object arrives.
   *
   * @returns the records to apply now
   */
  hold(records: readonly RegistryRecord[], nowMs: number): RegistryRecord[];
  /**
   * Completes a listing by tombstones of what it lacks, and holds back those of objects that may be written again.
   *
   * @returns the records to apply now
   */
  holdMissing(registry: Registry, listing: RecordBatch, nowMs: number): RegistryRecord[];
  /** Number of removals that are held back. */
  heldCount(): number;
  /** Until when removals are held back, in milliseconds. */
  holdsUntilMs(): number;
  /** Returns the held removals and stops holding them, once their objects have had time to be written again; else none. */
  release(nowMs: number): RegistryRecord[];
}

/** Minimum outage after which registrations may have expired, in milliseconds: two heartbeats of a server. */
const MIN_OUTAGE_MS = 2_000;
/** Time after an outage within which running servers have registered again, in milliseconds. */
const RE_REGISTRATION_MS = 2_200;

/**
 * Time after a restoration within which operators have written their evacuations again, in milliseconds: removals of evacuations
 * that the copy lacks are held back this long. Meanwhile, a data centre is rather left unused that was taken back than used that
 * is still evacuated.
 */
const EVACUATION_REWRITE_MS = 5_000;

/** Returns whether an object of the registry is missing only in the copy with which the store began an era. */
function isLostInCopy(known: RegistryRecord | undefined, position: StorePosition): boolean {
  return known !== undefined && known.position.era < position.era;
}

/**
 * Creates a guard.
 *
 * @param kind - the kind of the records that it handles
 * @returns the guard, which holds back no removal before an outage or a restoration is recorded
 */
export function createRemovalGuard(kind: RecordKind): RemovalGuard {
  const held = new Map<string, RegistryRecord>();
  let holdsUntilMs = 0;
  /** The latest known era of the store; undefined before the first listing. */
  let era: number | undefined;
  const recordLapses = (nowMs: number): void => {
    holdsUntilMs = Math.max(holdsUntilMs, nowMs + RE_REGISTRATION_MS);
  };
  const recordRestoration = (latest: number, nowMs: number): void => {
    era = latest;
    held.clear();
    holdsUntilMs = nowMs + (kind === RecordKind.Evacuation ? EVACUATION_REWRITE_MS : RE_REGISTRATION_MS);
  };
  return {
    recordOutage: (outageMs, returnedAtMs) => {
      if (outageMs >= MIN_OUTAGE_MS) {
        recordLapses(returnedAtMs);
      }
    },
    recordLapses,
    recordRestoration,
    recordEra: (latest, nowMs) => {
      if (era !== undefined && latest > era) {
        recordRestoration(latest, nowMs);
      }
      era = Math.max(era ?? latest, latest);
    },
    hold: (records, nowMs) => {
      const present: RegistryRecord[] = [];
      for (const record of records) {
        if (kind === RecordKind.Server && record.value === undefined && nowMs < holdsUntilMs) {
          held.set(record.id, record);
        } else {
          held.delete(record.id);
          present.push(record);
        }
      }
      return present;
    },
    holdMissing: (registry, { records, position }, nowMs) => {
      const present = new Set(records.map((record) => record.id));
      return withTombstones(registry, kind, records, position).filter((record) => {
        if (present.has(record.id)) {
          held.delete(record.id);
          return true;
        }
        const isLost = isLostInCopy(registry.records.get(keyOf(record)), position);
        // Quarantined parts are in force until they expire, and the entries write them again.
        if (isLost && kind === RecordKind.Quarantine) {
          return false;
        }
        const isHeld = nowMs < holdsUntilMs && (isLost || kind === RecordKind.Server);
        if (!isHeld) {
          return true;
        }
        held.set(record.id, record);
        return false;
      });
    },
    heldCount: () => held.size,
    holdsUntilMs: () => holdsUntilMs,
    release: (nowMs) => {
      if (nowMs < holdsUntilMs || held.size === 0) {
        return [];
      }
      const released = [...held.values()];
      held.clear();
      return released;
    },
  };
}
