/**
 * Holds removals back for a moment after an outage of the store: registrations that lapsed meanwhile come back.
 *
 * Answers the load pattern of a store that is away for longer than registrations live: without the guard every
 * server would seem gone at its return, and all requests would be refused until the servers have registered again.
 */
import { RecordKind, type Registry, type RegistryRecord } from '@toucanbend/registry';

/** Holds removals back. */
export interface LapseGuard {
  /** Notes that the store answers again after a time without an answer. */
  noteOutage(silentMs: number, nowMs: number): void;
  /**
   * Takes changes and holds back removals while an outage is recent.
   *
   * @returns the records that count at once
   */
  hold(records: readonly RegistryRecord[], nowMs: number): RegistryRecord[];
  /**
   * Holds back what a listing lacks while an outage is recent.
   *
   * @returns known records that count on for now
   */
  holdMissing(
    registry: Registry,
    kind: RecordKind,
    listed: readonly RegistryRecord[],
    nowMs: number,
  ): RegistryRecord[];
  /** Whether removals are held back. */
  isHolding(): boolean;
  /** Gives the removals whose time has come. */
  release(nowMs: number): RegistryRecord[];
}

/** Silence of the store from which on registrations may have lapsed: two heartbeats of a server. */
const LAPSE_SILENCE_MS = 2_000;
/** Time after the store's return in which living servers have registered again. */
const RETURN_MS = 2_200;

/**
 * Creates a guard that holds nothing.
 *
 * @returns the guard
 */
export function createLapseGuard(): LapseGuard {
  const held = new Map<string, RegistryRecord>();
  let holdsUntilMs = 0;
  return {
    noteOutage: (silentMs, nowMs) => {
      if (silentMs >= LAPSE_SILENCE_MS) {
        holdsUntilMs = nowMs + RETURN_MS;
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
