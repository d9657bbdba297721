/**
 * Links between entries: each entry dials all others, broadcasts load updates to them, and exchanges registry records
 * with them.
 */
import { type Server } from 'node:net';
import { type Clock, type Random } from '@toucanbend/core';
import { type Logger } from '@toucanbend/observability';
import { encodePaceUpdate, type PaceUpdate } from '@toucanbend/pace';
import { encodeLoadUpdate, type LoadUpdate, type PlacedRunningJob } from '@toucanbend/placement';
import { encodeQuarantineUpdate, type QuarantineUpdate } from '@toucanbend/quarantine';
import { type EntryMember, listEntries, type QuarantinedCause } from '@toucanbend/registry';
import { encodeRestrictionUpdate, type RestrictionUpdate } from '@toucanbend/restrictions';
import {
  createLinkPool,
  createLinkTraffic,
  type EndpointOptions,
  type Frame,
  FrameType,
  type Link,
  LinkEnd,
  type LinkSettings,
  listenForLinks,
  NodeRole,
  parseAddress,
} from '@toucanbend/wire';
import { planDials } from './dial-plan.js';
import { createJobHandover } from './job-handover.js';
import { applyUpdate, encodeState, type UpdateHandlers } from './peer-updates.js';
import { createRegistryExchange, type ListingHandler } from './registry-exchange.js';
import { type RegistryHolder } from './registry-holder.js';

/** The links of one entry to all other entries. */
export interface Peers {
  start(): Promise<void>;
  stop(): void;
  /** Sends a load update to all other entries; updates within a short window share a frame. */
  broadcast(update: LoadUpdate): void;
  /** Sends an update about quarantined causes to all other entries, in the same frames. */
  broadcastQuarantine(update: QuarantineUpdate): void;
  /** Sends an update about restrictions of servers to all other entries, in the same frames. */
  broadcastRestriction(update: RestrictionUpdate): void;
  /** Sends an update about the pace of a server to all other entries, in the same frames. */
  broadcastPace(update: PaceUpdate): void;
  /**
   * Sends a digest of the positions of this entry's newest records to all other entries after a short random delay. Further
   * calls during the delay have no effect.
   */
  announceToAll(): void;
  /** Sends the same digest to a few random entries at once, so that they pull the records they lack. */
  announceToRandomPeers(): void;
  linkCount(): number;
  /** Returns the names of the linked entries. */
  linkedEntries(): string[];
  /** Returns the names of the linked entries that have not reported the store as unreachable. */
  peersReachingStore(): string[];
}

/** Identity, dependencies and callbacks of the links between entries. */
export interface PeersOptions extends UpdateHandlers {
  readonly member: EntryMember;
  readonly incarnation: string;
  readonly peerKeys: readonly string[];
  /** Configured addresses of entries, dialled besides the registered ones; they may be out of date. */
  readonly seeds: readonly string[];
  readonly holder: RegistryHolder;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  /** Whether the store is reachable from this entry. */
  readonly isStoreReachable: () => boolean;
  readonly applyListing: ListingHandler;
  /** Called when the store answers a linked entry again. */
  readonly onStoreReturned: () => void;
  /** Returns the quarantined causes in force, which are sent to each entry that is linked. */
  readonly quarantinedCauses: () => readonly QuarantinedCause[];
  /** Returns what is known of the restrictions of servers, which is sent to each entry that is linked. */
  readonly restrictions: () => readonly RestrictionUpdate[];
  /** Returns the jobs of this entry, which are sent to each entry that is linked. */
  readonly runningJobs: () => readonly PlacedRunningJob[];
  /** Returns the paces of servers, which are sent to each entry that is linked; undefined if all have full pace. */
  readonly paces?: (() => readonly PaceUpdate[]) | undefined;
  /** Called when the process of an entry has ended, or a new process has taken its place. */
  readonly onProcessEnded: (name: string) => void;
  /** Called when a link fails without being closed by the peer, whose process may still be running. */
  readonly onUnreachable: (name: string) => void;
}

/** Settings for links to some dozens of hosts a few milliseconds apart; a silent link is replaced within two seconds. */
const linkSettings: LinkSettings = {
  handshakeTimeoutMs: 800,
  pingIntervalMs: 600,
  dialledSilenceMs: 1_800,
  acceptedSilenceMs: 4_000,
  maxQueuedBytes: 4 * 1024 * 1024,
  maxAcceptedLinks: 1_024,
};
/** Interval between checks for entries that are not linked, in milliseconds. */
const DIAL_INTERVAL_MS = 500;
/** Time for which load updates are collected into one frame, in milliseconds: far shorter than one step of an engine. */
const BATCH_WINDOW_MS = 4;
/** Number of random entries that a digest is sent to. */
const DIGEST_FANOUT = 2;
/**
 * Upper bound of the random delay of an announcement, in milliseconds. Most entries receive a change from their own
 * watch in the meantime.
 */
const MAX_ANNOUNCE_DELAY_MS = 120;

class LinkedPeers implements Peers {
  readonly #options: PeersOptions;
  readonly #handover;
  readonly #exchange;
  readonly #pool;
  readonly #endpoint: EndpointOptions;
  #pendingUpdates: ((nowMs: number) => unknown[])[] = [];
  #dialled = new Map<string, Link>();
  /** Names of entries that have reported the store as unreachable. */
  readonly #withoutStore = new Set<string>();
  readonly #incarnations = new Map<string, string>();
  #server: Server | undefined;
  readonly #accepted = new Set<Link>();
  #isStopped = false;
  #isAnnouncePending = false;
  /** Addresses that are to be dialled soon. */
  readonly #plannedDials = new Set<string>();
  #cancelDial = (): void => undefined;

  constructor(options: PeersOptions) {
    this.#options = options;
    const { member, incarnation, peerKeys, clock, runningJobs } = options;
    this.#handover = createJobHandover(runningJobs);
    this.#exchange = createRegistryExchange(options);
    this.#endpoint = {
      identity: {
        node: member.name,
        role: NodeRole.Entry,
        dataCentre: member.dataCentre,
        incarnation,
        peerKeys,
      },
      clock,
      settings: linkSettings,
      traffic: createLinkTraffic(),
    };
    this.#pool = createLinkPool(this.#endpoint, (link) => {
      this.#addDialled(link);
    });
  }

  async start(): Promise<void> {
    this.#server = await listenForLinks(
      parseAddress(this.#options.member.address),
      this.#endpoint,
      (link) => {
        this.#addAccepted(link);
      },
    );
    this.#dialPeriodically();
  }

  stop(): void {
    this.#isStopped = true;
    this.#cancelDial();
    this.#pool.closeAll();
    this.#server?.close();
    this.#accepted.forEach((link) => {
      link.close();
    });
  }

  broadcast(update: LoadUpdate): void {
    this.#queue((nowMs) => encodeLoadUpdate(update, nowMs));
  }

  broadcastQuarantine(update: QuarantineUpdate): void {
    this.#queue((nowMs) => encodeQuarantineUpdate(update, nowMs));
  }

  broadcastRestriction(update: RestrictionUpdate): void {
    this.#queue((nowMs) => encodeRestrictionUpdate(update, nowMs));
  }

  broadcastPace(update: PaceUpdate): void {
    this.#queue((nowMs) => encodePaceUpdate(update, nowMs));
  }

  #queue(encode: (nowMs: number) => unknown[]): void {
    this.#pendingUpdates.push(encode);
    if (this.#pendingUpdates.length === 1) {
      this.#options.clock.after(BATCH_WINDOW_MS, () => {
        this.#flush();
      });
    }
  }

  announceToAll(): void {
    if (this.#isAnnouncePending) {
      return;
    }
    const { clock, random } = this.#options;
    this.#isAnnouncePending = true;
    clock.after(MAX_ANNOUNCE_DELAY_MS * random.fraction(), () => {
      this.#isAnnouncePending = false;
      this.#sendDigest(this.#openLinks());
    });
  }

  announceToRandomPeers(): void {
    const open = this.#openLinks();
    const { random } = this.#options;
    const chosen: Link[] = [];
    while (chosen.length < DIGEST_FANOUT && open.length > 0) {
      chosen.push(...open.splice(random.below(open.length), 1));
    }
    this.#sendDigest(chosen);
  }

  /** Returns a link to each linked entry; those that are not registered have dialled, but cannot be dialled themselves. */
  #openLinks(): Link[] {
    const notDialled = [...this.#accepted].filter((link) => !this.#dialled.has(link.peer.node));
    return [...this.#dialled.values(), ...notDialled].filter((link) => link.isOpen());
  }

  linkCount(): number {
    return this.#dialled.size;
  }

  linkedEntries(): string[] {
    return [...this.#dialled.keys()];
  }

  peersReachingStore(): string[] {
    return [...this.#dialled.keys()].filter((name) => !this.#withoutStore.has(name));
  }

  #flush(): void {
    const nowMs = this.#options.clock.now();
    const changes = this.#pendingUpdates.map((encode) => encode(nowMs));
    this.#pendingUpdates = [];
    for (const link of this.#dialled.values()) {
      link.send({ type: FrameType.LoadUpdates, changes });
    }
  }

  /**
   * Records the incarnation of an entry. A new incarnation means that the earlier process has ended and its jobs with
   * it, even if no link reported its end.
   */
  #recordIncarnation(node: string, incarnation: string): void {
    const previous = this.#incarnations.get(node);
    this.#incarnations.set(node, incarnation);
    if (previous !== undefined && previous !== incarnation) {
      this.#options.onProcessEnded(node);
    }
  }

  #recordStoreState(node: string, isReachable: boolean): void {
    if (isReachable) {
      if (this.#withoutStore.delete(node)) {
        this.#options.onStoreReturned();
      }
    } else {
      this.#withoutStore.add(node);
    }
  }

  #sendDigest(links: readonly Link[]): void {
    const digest = this.#exchange.digest();
    for (const link of links) {
      link.send(digest);
    }
  }

  #dialPeriodically(): void {
    this.#dialMissing();
    if (!this.#isStopped) {
      this.#cancelDial = this.#options.clock.after(DIAL_INTERVAL_MS, () => {
        this.#dialPeriodically();
      });
    }
  }

  #dialMissing(): void {
    const { holder, member, seeds, clock, random } = this.#options;
    const registered = listEntries(holder.current()).map((entry) => entry.address);
    const addresses = new Set([...registered, ...seeds]);
    addresses.delete(member.address);
    const missing = [...addresses].filter(
      (address) => !this.#plannedDials.has(address) && this.#pool.find(address) === undefined,
    );
    for (const { address, delayMs } of planDials(missing, DIAL_INTERVAL_MS, random)) {
      if (delayMs === 0) {
        void this.#pool.get(address);
      } else {
        this.#plannedDials.add(address);
        clock.after(delayMs, () => {
          this.#plannedDials.delete(address);
          if (!this.#isStopped) {
            void this.#pool.get(address);
          }
        });
      }
    }
  }

  #addDialled(link: Link): void {
    const { logger } = this.#options;
    const { node, incarnation } = link.peer;
    this.#recordIncarnation(node, incarnation);
    this.#dialled.set(node, link);
    logger.info('peer linked', { peer: node, incarnation });
    link.setActive(true);
    this.#receiveFrames(link);
    link.onEnd((end) => {
      if (this.#dialled.get(node) === link) {
        this.#dialled.delete(node);
        // The next process reports the store as reachable until a call fails.
        this.#withoutStore.delete(node);
      }
      logger.warn('peer lost', { peer: node, end });
      if (end === LinkEnd.Closed) {
        this.#options.onProcessEnded(node);
      } else {
        this.#options.onUnreachable(node);
      }
    });
    this.#sendDigest([link]);
    this.#sendState(link);
    this.#sendLoadUpdates(link, this.#handover.complete(node));
  }

  #addAccepted(link: Link): void {
    this.#accepted.add(link);
    link.onEnd(() => {
      this.#accepted.delete(link);
      if (![...this.#accepted].some(({ peer }) => peer.node === link.peer.node)) {
        this.#handover.forget(link.peer.node);
      }
    });
    link.setActive(true);
    this.#receiveFrames(link);
    // This entry may not dial a peer that is not registered yet, so the peer receives its digest on the accepted link.
    this.#sendDigest([link]);
    this.#sendState(link);
    if (!this.#isInformed(link.peer)) {
      this.#sendLoadUpdates(link, this.#handover.begin(link.peer.node));
    }
    // A peer that has just started is dialled now instead of at the next periodic check.
    this.#dialMissing();
  }

  #receiveFrames(link: Link): void {
    link.onFrame((frame) => {
      this.#handle(link, frame);
    });
  }

  /** Sends what an entry that has just started, or was cut off, needs to know besides the registry. */
  #sendState(link: Link): void {
    const { clock, quarantinedCauses, restrictions, paces } = this.#options;
    const changes = encodeState(quarantinedCauses(), restrictions(), clock.now(), paces?.());
    if (changes.length > 0) {
      link.send({ type: FrameType.LoadUpdates, changes });
    }
  }

  #sendLoadUpdates(link: Link, updates: readonly LoadUpdate[]): void {
    const nowMs = this.#options.clock.now();
    if (updates.length > 0) {
      const changes = updates.map((update) => encodeLoadUpdate(update, nowMs));
      link.send({ type: FrameType.LoadUpdates, changes });
    }
  }

  /** Returns whether the load updates of this entry are sent to the process that has dialled it. */
  #isInformed({ node, incarnation }: Link['peer']): boolean {
    const dialled = this.#dialled.get(node);
    return dialled?.peer.incarnation === incarnation && dialled.isOpen();
  }

  #handle(link: Link, frame: Frame): void {
    switch (frame.type) {
      case FrameType.LoadUpdates: {
        const nowMs = this.#options.clock.now();
        for (const change of frame.changes) {
          applyUpdate(this.#options, link.peer.node, change, nowMs);
        }
        break;
      }
      case FrameType.RegistryPull:
        this.#exchange.receivePull(link, frame);
        break;
      case FrameType.RegistryDigest:
        this.#recordStoreState(link.peer.node, frame.isStoreReachable);
        this.#exchange.receiveDigest(link, frame);
        break;
      case FrameType.RegistryRecords:
        this.#exchange.receiveRecords(link, frame);
        break;
      default:
        break;
    }
  }
}

/**
 * Creates the links between entries.
 *
 * @param options - identity, dependencies and callbacks
 * @returns the links, which are opened by `start`
 */
export function createPeers(options: PeersOptions): Peers {
  return new LinkedPeers(options);
}
