/** Encoding and decoding of the updates that linked entries send one another. */
import { decodePaceUpdate, encodePaceUpdate, type PaceUpdate } from '@toucanbend/pace';
import { decodeLoadUpdate, type LoadUpdate } from '@toucanbend/placement';
import {
  decodeQuarantineUpdate,
  encodeQuarantineUpdate,
  type QuarantineUpdate,
  QuarantineUpdateKind,
} from '@toucanbend/quarantine';
import { type QuarantinedCause } from '@toucanbend/registry';
import {
  decodeRestrictionUpdate,
  encodeRestrictionUpdate,
  type RestrictionUpdate,
} from '@toucanbend/restrictions';

/** Handlers of the updates of other entries. */
export interface UpdateHandlers {
  readonly onLoadUpdate: (from: string, update: LoadUpdate) => void;
  readonly onQuarantineUpdate: (update: QuarantineUpdate) => void;
  readonly onRestrictionUpdate: (update: RestrictionUpdate) => void;
  /** Undefined if all servers are used at full pace. */
  readonly onPaceUpdate?: ((update: PaceUpdate) => void) | undefined;
}

/**
 * Decodes an update and passes it to its handler; an invalid one has no effect.
 *
 * @param handlers - the handlers
 * @param from - name of the entry that sent the update
 * @param change - the received value
 * @param nowMs - the current time, in milliseconds, to which encoded times are relative
 */
export function applyUpdate(handlers: UpdateHandlers, from: string, change: unknown, nowMs: number): void {
  const { onLoadUpdate, onQuarantineUpdate, onRestrictionUpdate, onPaceUpdate } = handlers;
  const loadUpdate = decodeLoadUpdate(change, nowMs);
  if (loadUpdate !== undefined) {
    onLoadUpdate(from, loadUpdate);
    return;
  }
  const quarantineUpdate = decodeQuarantineUpdate(change, nowMs);
  if (quarantineUpdate !== undefined) {
    onQuarantineUpdate(quarantineUpdate);
    return;
  }
  const restrictionUpdate = decodeRestrictionUpdate(change, nowMs);
  if (restrictionUpdate !== undefined) {
    onRestrictionUpdate(restrictionUpdate);
    return;
  }
  const paceUpdate = decodePaceUpdate(change, nowMs);
  if (paceUpdate !== undefined) {
    onPaceUpdate?.(paceUpdate);
  }
}

/**
 * Encodes what an entry that has just started, or was cut off, needs to know besides the registry.
 *
 * @param quarantinedCauses - the quarantined causes in force
 * @param restrictions - what is known of the restrictions of servers
 * @param nowMs - the current time, in milliseconds, to which encoded times are relative
 * @param paces - the paces of servers
 * @returns the encoded updates
 */
export function encodeState(
  quarantinedCauses: readonly QuarantinedCause[],
  restrictions: readonly RestrictionUpdate[],
  nowMs: number,
  paces: readonly PaceUpdate[] = [],
): unknown[] {
  return [
    ...quarantinedCauses.map((quarantined) =>
      encodeQuarantineUpdate({ kind: QuarantineUpdateKind.Quarantined, quarantined }, nowMs),
    ),
    ...restrictions.map((update) => encodeRestrictionUpdate(update, nowMs)),
    ...paces.map((update) => encodePaceUpdate(update, nowMs)),
  ];
}
