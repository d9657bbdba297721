/**
 * Exchange of registry records with linked entries: each announces its newest records, and pulls what it lacks from those that
 * have announced it.
 *
 * An entry that has just started knows the servers that are registered, but not which ones have left before. What it sends makes
 * the records of another entry complete only if it sends all of them.
 */
import { type Clock, type Random } from '@toucanbend/core';
import { type Logger } from '@toucanbend/observability';
import {
  decodeRecords,
  hasAllChanges,
  initialPosition,
  isAfter,
  isBehind,
  newestPositions,
  type Positions,
  type RecordBatch,
  RecordKind,
  type RegistryDigest,
  type RegistryTransfer,
  transferOf,
} from '@toucanbend/registry';
import { type FrameOf, FrameType, type Link } from '@toucanbend/wire';
import { type RegistryHolder } from './registry-holder.js';

/**
 * Applies all records of a kind that another entry has sent.
 *
 * @param kind - the kind of the records
 * @param listing - the records, tombstones included, and the position up to which they are complete
 * @param peer - name of the entry that sent them
 */
export type ListingHandler = (kind: RecordKind, listing: RecordBatch, peer: string) => void;

/** Dependencies of the exchange. */
export interface RegistryExchangeOptions {
  readonly holder: RegistryHolder;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  /** Whether the store is reachable from this entry. */
  readonly isStoreReachable: () => boolean;
  readonly applyListing: ListingHandler;
}

/** Announces, pulls and sends registry records. */
export interface RegistryExchange {
  /** Returns the digest of this entry's newest records. */
  digest(): FrameOf<FrameType.RegistryDigest>;
  /** Pulls announced records from a peer, unless they have arrived from elsewhere by then. */
  receiveDigest(link: Link, digest: FrameOf<FrameType.RegistryDigest>): void;
  /** Sends a peer the records that it lacks. */
  receivePull(link: Link, pull: FrameOf<FrameType.RegistryPull>): void;
  receiveRecords(link: Link, frame: FrameOf<FrameType.RegistryRecords>): void;
}

/** What a linked entry has announced. */
interface Announcement extends RegistryDigest {
  readonly link: Link;
}

/**
 * Delay before records that a peer has announced are pulled from it, in milliseconds. A reachable store delivers the
 * records itself within this time, which spares the peer the transfer.
 */
const PULL_DELAY_MS = 500;
/** Pull delay for records that this entry does not read from the store, or cannot read, in milliseconds. */
const SHORT_PULL_DELAY_MS = 30;
/** Pull delay until the first catalogue is received, while the store is reachable, in milliseconds. */
const INITIAL_PULL_DELAY_MS = 150;
/**
 * Delay before all records of a kind are pulled from a peer that does not know all removals, in milliseconds: the entries that read
 * the store usually announce the same changes sooner, and send far fewer records.
 */
const LISTING_DELAY_MS = 400;
/** Upper bound of the random addition to that delay, in milliseconds: an entry that starts announces itself to all others at once. */
const LISTING_SPREAD_MS = 400;

/**
 * Applies the records that another entry has sent.
 *
 * @param holder - the registry of this entry
 * @param applyListing - applies the kinds of which all records were sent
 * @param transfer - the records
 * @param peer - name of the entry that sent them
 */
export function applyTransfer(
  holder: RegistryHolder,
  applyListing: ListingHandler,
  { records, positions, listed }: RegistryTransfer,
  peer: string,
): void {
  const isListed = new Set(listed);
  const positionsOfChanges = new Map(
    Object.values(RecordKind).flatMap((kind) => {
      const position = positions[kind];
      return position === undefined || isListed.has(kind) ? [] : [[kind, position]];
    }),
  );
  const changes = records.filter(({ kind }) => !isListed.has(kind));
  holder.merge(changes, Object.fromEntries(positionsOfChanges), peer);
  for (const kind of isListed) {
    const position = positions[kind];
    if (position !== undefined) {
      applyListing(kind, { records: records.filter((record) => record.kind === kind), position }, peer);
    }
  }
}

/** The exchange of one entry; of each kind of pull, one is pending at a time. */
class LinkedExchange implements RegistryExchange {
  readonly #options: RegistryExchangeOptions;
  #pull: Announcement | undefined;
  #listingPull: Announcement | undefined;

  constructor(options: RegistryExchangeOptions) {
    this.#options = options;
  }

  digest(): FrameOf<FrameType.RegistryDigest> {
    const registry = this.#options.holder.current();
    return {
      type: FrameType.RegistryDigest,
      positions: newestPositions(registry),
      isStoreReachable: this.#options.isStoreReachable(),
      removalsSince: { ...registry.removalsSince },
    };
  }

  receiveDigest(link: Link, { positions, removalsSince }: FrameOf<FrameType.RegistryDigest>): void {
    const announced: Announcement = { link, positions, removalsSince };
    const { clock, random } = this.#options;
    if (!this.#isBehind(announced)) {
      return;
    }
    if (this.#pull === undefined) {
      this.#pull = announced;
      clock.after(this.#pullDelayMs(positions), () => {
        const pull = this.#pull;
        this.#pull = undefined;
        this.#send(pull, false);
      });
    } else if (this.#hasAllChanges(announced) || !this.#pull.link.isOpen()) {
      this.#pull = announced;
    }
    if (this.#hasAllChanges(announced) || this.#listingPull !== undefined) {
      return;
    }
    this.#listingPull = announced;
    clock.after(LISTING_DELAY_MS + LISTING_SPREAD_MS * random.fraction(), () => {
      const pull = this.#listingPull;
      this.#listingPull = undefined;
      this.#send(pull, true);
    });
  }

  receivePull(link: Link, { positions, mayList = false }: FrameOf<FrameType.RegistryPull>): void {
    const registry = this.#options.holder.current();
    const transfer = transferOf(registry, positions as Partial<Positions>, mayList);
    if (transfer.records.length > 0) {
      const { records, listed } = transfer;
      const complete = { ...transfer.positions };
      link.send({
        type: FrameType.RegistryRecords,
        positions: complete,
        records: [...records],
        listed: [...listed],
      });
    }
  }

  receiveRecords(
    link: Link,
    { records: values, positions, listed }: FrameOf<FrameType.RegistryRecords>,
  ): void {
    const { holder, logger, applyListing } = this.#options;
    const { node } = link.peer;
    const { records, unreadable, firstError } = decodeRecords(values);
    if (unreadable > 0) {
      logger.warn('registry records of a peer cannot be read', {
        peer: node,
        unreadable,
        received: values.length,
        firstError,
      });
    }
    // Without the dropped records, the others are not complete up to the peer's positions; nor are those of an earlier version.
    if (unreadable > 0 || listed === undefined) {
      holder.merge(records, {}, node);
      return;
    }
    const listedKinds = Object.values(RecordKind).filter((kind) => listed.includes(kind));
    const transfer = { records, positions: positions as Partial<Positions>, listed: listedKinds };
    applyTransfer(holder, applyListing, transfer, node);
    for (const kind of listedKinds) {
      const { era, revision } = transfer.positions[kind] ?? initialPosition;
      const count = records.filter((record) => record.kind === kind).length;
      logger.info('registry list received', { kind, peer: node, era, revision, records: count });
    }
  }

  #isBehind({ positions }: Announcement): boolean {
    return isBehind(this.#options.holder.current().positions, positions);
  }

  #hasAllChanges(announced: Announcement): boolean {
    return hasAllChanges(this.#options.holder.current().positions, announced);
  }

  #send(announced: Announcement | undefined, mayList: boolean): void {
    if (announced !== undefined && this.#isBehind(announced) && announced.link.isOpen()) {
      const { positions } = this.#options.holder.current();
      announced.link.send({ type: FrameType.RegistryPull, positions: { ...positions }, mayList });
    }
  }

  #pullDelayMs(announced: Partial<Positions>): number {
    const { holder, isStoreReachable } = this.#options;
    const { catalogue, positions } = holder.current();
    if (catalogue === undefined) {
      return isStoreReachable() ? INITIAL_PULL_DELAY_MS : SHORT_PULL_DELAY_MS;
    }
    const announcedCatalogue = announced[RecordKind.Catalogue] ?? initialPosition;
    const lacksCatalogue = isAfter(announcedCatalogue, positions[RecordKind.Catalogue]);
    return lacksCatalogue && isStoreReachable() ? PULL_DELAY_MS : SHORT_PULL_DELAY_MS;
  }
}

/**
 * Creates the exchange.
 *
 * @param options - its dependencies
 * @returns the exchange
 */
export function createRegistryExchange(options: RegistryExchangeOptions): RegistryExchange {
  return new LinkedExchange(options);
}
