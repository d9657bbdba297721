/** The records of the store that every entry keeps a replica of. */
import { type Catalogue } from './catalogue.js';
import { type Evacuation } from './evacuated-data-centre.js';
import { type BackendServer, type EntryMember } from './member.js';
import { type QuarantinedCause } from './quarantined-cause.js';
import { initialPosition, type StorePosition } from './store-position.js';

/** Kinds of records. */
export enum RecordKind {
  Catalogue = 'catalogue',
  Server = 'server',
  Entry = 'entry',
  Quarantine = 'quarantine',
  Evacuation = 'evacuation',
}

/** One object as of a position of the store; a record without a value is a tombstone of a removed object. */
export type RegistryRecord =
  | {
      readonly kind: RecordKind.Catalogue;
      readonly id: string;
      readonly position: StorePosition;
      readonly value?: Catalogue;
    }
  | {
      readonly kind: RecordKind.Server;
      readonly id: string;
      readonly position: StorePosition;
      readonly value?: BackendServer;
    }
  | {
      readonly kind: RecordKind.Entry;
      readonly id: string;
      readonly position: StorePosition;
      readonly value?: EntryMember;
    }
  | {
      readonly kind: RecordKind.Quarantine;
      readonly id: string;
      readonly position: StorePosition;
      readonly value?: QuarantinedCause;
    }
  | {
      readonly kind: RecordKind.Evacuation;
      readonly id: string;
      readonly position: StorePosition;
      readonly value?: Evacuation;
    };

/** A position of the store for each kind of record. */
export type Positions = Readonly<Record<RecordKind, StorePosition>>;

/** Positions of an empty registry, which are before any position of the store. */
export const initialPositions: Positions = {
  [RecordKind.Catalogue]: initialPosition,
  [RecordKind.Server]: initialPosition,
  [RecordKind.Entry]: initialPosition,
  [RecordKind.Quarantine]: initialPosition,
  [RecordKind.Evacuation]: initialPosition,
};

/**
 * Returns the position that orders the records of one object. Catalogues are ordered by the version that the operator gives
 * them, which goes on rising when the store returns with an older copy.
 *
 * @param record - the record
 * @returns its position; for a catalogue, its version as a revision of era 0
 */
export function orderOf(record: RegistryRecord): StorePosition {
  if (record.kind !== RecordKind.Catalogue) {
    return record.position;
  }
  return { era: 0, revision: record.value?.version ?? 0 };
}
