/**
 * Holds removals of servers back for a short time after an outage of the store, because servers whose registrations
 * expired during the outage register again.
 *
 * Guards against an outage that is longer than the lifetime of registrations: without the guard, every server would
 * appear to be removed once the store is reachable again, and all requests would be rejected until the servers have
 * registered again.
 */
import { RecordKind, type Registry, type RegistryRecord } from '@toucanbend/registry';

/** Holds back removals of servers after an outage. */
export interface ExpiryGuard {
  /**
   * Records that the store is reachable again.
   *
   * @param outageMs - time without an answer, in milliseconds
   * @param nowMs - current time
   */
  recordOutage(outageMs: number, nowMs: number): void;
  /**
   * Filters changes: holds back removals of servers after a recent outage, and drops a removal that was held back when
   * a newer record of the same server arrives.
   *
   * @returns the records to apply now
   */
  hold(records: readonly RegistryRecord[], nowMs: number): RegistryRecord[];
  /**
   * Holds back the removal of servers that a listing lacks after a recent outage.
   *
   * @returns the present records of those servers, to be kept for now
   */
  holdMissing(
    registry: Registry,
    kind: RecordKind,
    listed: readonly RegistryRecord[],
    nowMs: number,
  ): RegistryRecord[];
  /** Whether any removal is held back. */
  isHolding(): boolean;
  /** Returns the held removals and stops holding them, once servers have had time to register again; else none. */
  release(nowMs: number): RegistryRecord[];
}

/** Minimum outage after which registrations may have expired, in milliseconds: two heartbeats of a server. */
const MIN_OUTAGE_MS = 2_000;
/** Time after an outage within which running servers have registered again, in milliseconds. */
const RE_REGISTRATION_MS = 2_200;

/**
 * Creates an expiry guard.
 *
 * @returns the guard, which holds back no removal before an outage is recorded
 */
export function createExpiryGuard(): ExpiryGuard {
  const held = new Map<string, RegistryRecord>();
  let holdsUntilMs = 0;
  return {
    recordOutage: (outageMs, nowMs) => {
      if (outageMs >= MIN_OUTAGE_MS) {
        holdsUntilMs = nowMs + RE_REGISTRATION_MS;
      }
    },
    hold: (records, nowMs) => {
      const present: RegistryRecord[] = [];
      for (const record of records) {
        if (record.kind === RecordKind.Server && record.value === undefined && nowMs < holdsUntilMs) {
          held.set(record.id, record);
        } else {
          held.delete(record.id);
          present.push(record);
        }
      }
      return present;
    },
    holdMissing: (registry, kind, listed, nowMs) => {
      if (kind !== RecordKind.Server || nowMs >= holdsUntilMs) {
        return [];
      }
      const present = new Set(listed.map((record) => record.id));
      const missing = [...registry.records.values()].filter(
        (record) => record.kind === kind && record.value !== undefined && !present.has(record.id),
      );
      missing.forEach((record) => {
        held.set(record.id, { kind: RecordKind.Server, id: record.id, revision: record.revision + 1 });
      });
      return missing;
    },
    isHolding: () => held.size > 0,
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
