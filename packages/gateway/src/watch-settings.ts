/** How an entry reads each kind of record from the store. */
import { type WatchSettings } from '@toucanbend/membership';
import { RecordKind } from '@toucanbend/registry';

/**
 * Share of the time within which an evacuation must be in force that a watch for evacuations waits. All readers may lose the
 * answer to a watch, which they notice when it times out; the remaining time covers the next watch, the way to the other entries,
 * and requests that were placed before.
 */
const EVACUATION_WAIT_SHARE = 0.5;
/** Minimum time between two calls for evacuations, as a share of the same time. */
const EVACUATION_INTERVAL_SHARE = 0.1;

/**
 * Returns the watch settings by kind: servers change most often, and requests must be moved off a leaving server in time.
 *
 * @param maxEvacuationMs - time within which an evacuation must be in force, in milliseconds; undefined if the deployment has no
 *   evacuations, which are then not read
 * @returns the settings
 */
export function watchSettingsOf(
  maxEvacuationMs: number | undefined,
): Readonly<Partial<Record<RecordKind, WatchSettings>>> {
  return {
    [RecordKind.Catalogue]: { waitMs: 2_000, intervalMs: 200, isShared: false },
    [RecordKind.Server]: { waitMs: 2_000, intervalMs: 400, isShared: true },
    [RecordKind.Entry]: { waitMs: 5_000, intervalMs: 1_000, isShared: true },
    [RecordKind.Quarantine]: { waitMs: 10_000, intervalMs: 1_000, isShared: true },
    ...(maxEvacuationMs === undefined
      ? {}
      : {
          [RecordKind.Evacuation]: {
            waitMs: EVACUATION_WAIT_SHARE * maxEvacuationMs,
            intervalMs: EVACUATION_INTERVAL_SHARE * maxEvacuationMs,
            isShared: true,
          },
        }),
  };
}
