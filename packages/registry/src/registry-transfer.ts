/**
 * What a node sends another node whose records of some kinds are older: the changes since its positions, or, where that would lack
 * removals, all records.
 *
 * Guards against a node that takes records for complete although removals are missing among them: it would never ask for these
 * removals again, and keep using servers that have left.
 */
import {
  initialPositions,
  orderOf,
  type Positions,
  RecordKind,
  type RegistryRecord,
} from './registry-record.js';
import { type Registry } from './registry.js';
import { initialPosition, isAfter, laterPosition, type StorePosition } from './store-position.js';

/** Records for a node that lacks them. */
export interface RegistryTransfer {
  readonly records: readonly RegistryRecord[];
  /** For each kind whose records make those of the other node complete, the position up to which they do. */
  readonly positions: Partial<Positions>;
  /** The kinds of which all records are included; what the other node has beyond them was removed before the position. */
  readonly listed: readonly RecordKind[];
}

/** What a node announces of its registry. */
export interface RegistryDigest {
  /** Position of its newest record of each kind. */
  readonly positions: Partial<Positions>;
  /** For each kind, the position after which it knows all removals; undefined for a node of an earlier version. */
  readonly removalsSince?: Partial<Positions> | undefined;
}

/**
 * Returns the position of the newest record of each kind.
 *
 * @param registry - the registry
 * @returns the positions; the initial one for a kind without records
 */
export function newestPositions(registry: Registry): Positions {
  const newest = { ...initialPositions };
  for (const record of registry.records.values()) {
    newest[record.kind] = laterPosition(newest[record.kind], orderOf(record));
  }
  return newest;
}

/**
 * Returns whether another node has announced records that are newer than this node's positions.
 *
 * @param ownPositions - positions up to which this node's records are complete
 * @param announced - position of the newest record of each kind at the other node
 * @returns whether to pull records from that node
 */
export function isBehind(ownPositions: Positions, announced: Partial<Positions>): boolean {
  return kindsBehind(ownPositions, announced).length > 0;
}

/** Returns the kinds of which another node has announced records that are newer than this node's positions. */
function kindsBehind(ownPositions: Positions, announced: Partial<Positions>): RecordKind[] {
  return Object.values(RecordKind).filter((kind) =>
    isAfter(announced[kind] ?? initialPosition, ownPositions[kind]),
  );
}

/** Returns whether a node knows all removals after a position; a catalogue is replaced and never removed. */
function knowsRemovals(
  kind: RecordKind,
  removalsSince: Partial<Positions> | undefined,
  position: StorePosition,
): boolean {
  const since = removalsSince?.[kind];
  return kind === RecordKind.Catalogue || (since !== undefined && !isAfter(since, position));
}

/**
 * Returns whether the changes since this node's positions, pulled from another node, would make its records complete.
 *
 * @param ownPositions - positions up to which this node's records are complete
 * @param announced - what the other node has announced
 * @returns false if the other node may not know some removals since then
 */
export function hasAllChanges(ownPositions: Positions, announced: RegistryDigest): boolean {
  return kindsBehind(ownPositions, announced.positions).every((kind) =>
    knowsRemovals(kind, announced.removalsSince, ownPositions[kind]),
  );
}

/**
 * Selects the records for a node that has asked for them. A kind without a position is left out: the node runs an older version,
 * which could not read its records, and would drop the positions of the others with them.
 *
 * @param registry - the registry of this node
 * @param peerPositions - for each kind, the position up to which the other node's records are complete
 * @param mayList - whether all records of a kind are sent if the changes would lack removals; those of a kind of which the other
 *   node has read none are always sent
 * @returns the records
 */
export function transferOf(
  registry: Registry,
  peerPositions: Partial<Positions>,
  mayList: boolean,
): RegistryTransfer {
  const positions: Partial<Record<RecordKind, StorePosition>> = {};
  const listed = new Set<RecordKind>();
  for (const kind of Object.values(RecordKind)) {
    const peerPosition = peerPositions[kind];
    if (peerPosition === undefined) {
      continue;
    }
    const position = registry.positions[kind];
    if (knowsRemovals(kind, registry.removalsSince, peerPosition)) {
      positions[kind] = position;
    } else if (isAfter(position, peerPosition) && (mayList || !isAfter(peerPosition, initialPosition))) {
      positions[kind] = position;
      listed.add(kind);
    }
  }
  const records = [...registry.records.values()].filter((record) => {
    const position = peerPositions[record.kind];
    const isListed = listed.has(record.kind) && record.value !== undefined;
    return isListed || (position !== undefined && isAfter(orderOf(record), position));
  });
  return { records, positions, listed: [...listed] };
}
