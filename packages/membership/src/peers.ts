/** Links between entries: each entry dials all others, tells them what it has placed, and asks them for news. */
import { type Server } from 'node:net';
import { type Clock, type Random } from '@toucanbend/core';
import { type Logger } from '@toucanbend/observability';
import { decodeNews, encodeNews, type LoadNews } from '@toucanbend/placement';
import {
  type EntryMember,
  isBehind,
  listEntries,
  newestRecords,
  RecordKind,
  recordsSince,
  type RegistryRecord,
  type Revisions,
} from '@toucanbend/registry';
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
import { type RegistryHolder } from './registry-holder.js';

/** Links between entries. */
export interface Peers {
  start(): Promise<void>;
  stop(): void;
  /** Tells all other entries; what is told within a moment travels together. */
  tell(news: LoadNews): void;
  /** Tells all other entries which records are known here, soon after the store brought some. */
  announce(): void;
  /** Tells some other entries which records are known here, and learns from them what is missing here. */
  compare(): void;
  linkCount(): number;
  /** Names of the linked entries that reach the store, as far as they have told. */
  readingPeers(): string[];
}

/** What links between entries need. */
export interface PeersOptions {
  readonly member: EntryMember;
  readonly incarnation: string;
  readonly peerKeys: readonly string[];
  /** Addresses of entries that are known from the start; they may be out of date. */
  readonly seeds: readonly string[];
  readonly holder: RegistryHolder;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  /** Whether the store answers this entry. */
  readonly isStoreWell: () => boolean;
  readonly onNews: (from: string, news: LoadNews) => void;
  /** Learns that an entry's process is gone. */
  readonly onGone: (name: string) => void;
  /** Learns that an entry is not heard any more, whose process may live. */
  readonly onUnheard: (name: string) => void;
}

/** Links to some dozens of hosts a few milliseconds apart; a silent link is replaced within two seconds. */
const linkSettings: LinkSettings = {
  handshakeTimeoutMs: 800,
  pingIntervalMs: 600,
  dialledSilenceMs: 1_800,
  acceptedSilenceMs: 4_000,
  maxQueuedBytes: 4 * 1024 * 1024,
  maxAcceptedLinks: 1_024,
};
/** Time between looks at who should be linked, in milliseconds. */
const DIAL_INTERVAL_MS = 500;
/** Time in which news is gathered, so that several pieces share a frame: far below a pass of an engine. */
const GATHER_MS = 4;
/** Entries that are told at once which records are known here. */
const COMPARED_PEERS = 2;
/**
 * Time after which records that another entry has are asked for, in milliseconds: the store's own answer, which is
 * cheaper for the other entry, has come by then if it comes.
 */
const PULL_GRACE_MS = 500;
/** The same for what this entry does not read itself, or cannot. */
const SHORT_PULL_GRACE_MS = 30;
/** The same while nothing was read from a store that has not failed yet. */
const FIRST_PULL_GRACE_MS = 150;
/** Longest delay of an announcement, in milliseconds: most entries learn of a change from their own watch meanwhile. */
const ANNOUNCE_DELAY_MS = 120;

/** Links between entries. */
class LinkedPeers implements Peers {
  readonly #options: PeersOptions;
  readonly #pool;
  readonly #endpoint: EndpointOptions;
  #waiting: LoadNews[] = [];
  #dialled = new Map<string, Link>();
  /** Entries that said that the store does not answer them. */
  readonly #cutOff = new Set<string>();
  readonly #incarnations = new Map<string, string>();
  #server: Server | undefined;
  readonly #accepted = new Set<Link>();
  #isStopped = false;
  #announces = false;
  #pulls = false;
  #cancelDial = (): void => undefined;

  constructor(options: PeersOptions) {
    this.#options = options;
    const { member, incarnation, peerKeys, clock } = options;
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
      this.#adoptDialled(link);
    });
  }

  async start(): Promise<void> {
    this.#server = await listenForLinks(
      parseAddress(this.#options.member.address),
      this.#endpoint,
      (link) => {
        this.#adoptAccepted(link);
      },
    );
    this.#dialAll();
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

  tell(news: LoadNews): void {
    this.#waiting.push(news);
    if (this.#waiting.length === 1) {
      this.#options.clock.after(GATHER_MS, () => {
        this.#flush();
      });
    }
  }

  announce(): void {
    if (this.#announces) {
      return;
    }
    const { clock, random } = this.#options;
    this.#announces = true;
    clock.after(ANNOUNCE_DELAY_MS * random.fraction(), () => {
      this.#announces = false;
      this.#sendDigest([...this.#dialled.values()]);
    });
  }

  compare(): void {
    const open = [...this.#dialled.values()].filter((link) => link.isOpen());
    const { random } = this.#options;
    const chosen: Link[] = [];
    while (chosen.length < COMPARED_PEERS && open.length > 0) {
      chosen.push(...open.splice(random.below(open.length), 1));
    }
    this.#sendDigest(chosen);
  }

  linkCount(): number {
    return this.#dialled.size;
  }

  readingPeers(): string[] {
    return [...this.#dialled.keys()].filter((name) => !this.#cutOff.has(name));
  }

  #flush(): void {
    const nowMs = this.#options.clock.now();
    const changes = this.#waiting.map((news) => encodeNews(news, nowMs));
    this.#waiting = [];
    for (const link of this.#dialled.values()) {
      link.send({ type: FrameType.LoadNews, changes });
    }
  }

  /** What an earlier process of an entry placed is gone with it, even where nobody saw that process end. */
  #noteIncarnation(node: string, incarnation: string): void {
    const known = this.#incarnations.get(node);
    this.#incarnations.set(node, incarnation);
    if (known !== undefined && known !== incarnation) {
      this.#options.onGone(node);
    }
  }

  #noteStore(node: string, isStoreWell: boolean): void {
    if (isStoreWell) {
      this.#cutOff.delete(node);
    } else {
      this.#cutOff.add(node);
    }
  }

  #sendDigest(links: readonly Link[]): void {
    const revisions = newestRecords(this.#options.holder.current());
    const isStoreWell = this.#options.isStoreWell();
    for (const link of links) {
      link.send({ type: FrameType.RegistryDigest, revisions, isStoreWell });
    }
  }

  /** Asks another entry for records, once, if they are still missing here after a moment. */
  #pullLater(link: Link, announced: Readonly<Record<string, number>>): void {
    const { holder, clock } = this.#options;
    if (this.#pulls || !isBehind(holder.current().revisions, announced)) {
      return;
    }
    this.#pulls = true;
    clock.after(this.#pullGraceMs(announced), () => {
      this.#pulls = false;
      const { revisions } = holder.current();
      if (isBehind(revisions, announced)) {
        link.send({ type: FrameType.RegistryPull, revisions: { ...revisions } });
      }
    });
  }

  #pullGraceMs(announced: Readonly<Record<string, number>>): number {
    const { holder, isStoreWell } = this.#options;
    const { catalogue, revisions } = holder.current();
    if (catalogue === undefined) {
      return isStoreWell() ? FIRST_PULL_GRACE_MS : SHORT_PULL_GRACE_MS;
    }
    const lacksCatalogue = (announced[RecordKind.Catalogue] ?? 0) > revisions[RecordKind.Catalogue];
    return lacksCatalogue && isStoreWell() ? PULL_GRACE_MS : SHORT_PULL_GRACE_MS;
  }

  #dialAll(): void {
    this.#dialMissing();
    if (!this.#isStopped) {
      this.#cancelDial = this.#options.clock.after(DIAL_INTERVAL_MS, () => {
        this.#dialAll();
      });
    }
  }

  #dialMissing(): void {
    const { holder, member, seeds } = this.#options;
    const known = listEntries(holder.current()).map((entry) => entry.address);
    const addresses = new Set([...known, ...seeds]);
    addresses.delete(member.address);
    for (const address of addresses) {
      if (this.#pool.find(address) === undefined) {
        void this.#pool.get(address);
      }
    }
  }

  #adoptDialled(link: Link): void {
    const { logger } = this.#options;
    const { node, incarnation } = link.peer;
    this.#noteIncarnation(node, incarnation);
    this.#dialled.set(node, link);
    logger.info('peer linked', { peer: node, incarnation });
    link.setActive(true);
    this.#serve(link);
    link.onEnd((end) => {
      if (this.#dialled.get(node) === link) {
        this.#dialled.delete(node);
      }
      logger.warn('peer lost', { peer: node, end });
      if (end === LinkEnd.Closed) {
        this.#options.onGone(node);
      } else {
        this.#options.onUnheard(node);
      }
    });
    this.#sendDigest([link]);
  }

  #adoptAccepted(link: Link): void {
    this.#accepted.add(link);
    link.onEnd(() => {
      this.#accepted.delete(link);
    });
    link.setActive(true);
    this.#serve(link);
    // An entry that is not registered yet has no other way to learn what is known here.
    this.#sendDigest([link]);
    // A peer that has just come up is dialled at once, not at the next look.
    this.#dialMissing();
  }

  #serve(link: Link): void {
    link.onFrame((frame) => {
      this.#handle(link, frame);
    });
  }

  #handle(link: Link, frame: Frame): void {
    const { holder, clock, onNews } = this.#options;
    switch (frame.type) {
      case FrameType.LoadNews: {
        const nowMs = clock.now();
        for (const change of frame.changes) {
          const news = decodeNews(change, nowMs);
          if (news !== undefined) {
            onNews(link.peer.node, news);
          }
        }
        break;
      }
      case FrameType.RegistryPull: {
        const registry = holder.current();
        const records = recordsSince(registry, frame.revisions as Revisions);
        if (records.length > 0) {
          link.send({ type: FrameType.RegistryNews, revisions: { ...registry.revisions }, records });
        }
        break;
      }
      case FrameType.RegistryDigest:
        this.#noteStore(link.peer.node, frame.isStoreWell);
        this.#pullLater(link, frame.revisions);
        break;
      case FrameType.RegistryNews:
        holder.merge(
          frame.records as RegistryRecord[],
          frame.revisions as Partial<Record<RecordKind, number>>,
        );
        break;
      default:
        break;
    }
  }
}

/**
 * Creates the links between entries.
 *
 * @param options - who this entry is, and who learns of news
 * @returns the links, none of which is open yet
 */
export function createPeers(options: PeersOptions): Peers {
  return new LinkedPeers(options);
}
