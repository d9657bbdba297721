/** Links between entries: each entry dials all others, tells them what it has placed, and asks them for news. */
import { type Clock, type Random } from '@toucanbend/core';
import { type Logger } from '@toucanbend/observability';
import { decodeNews, encodeNews, type LoadNews } from '@toucanbend/placement';
import {
  type EntryMember,
  listEntries,
  type RecordKind,
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
  /** Asks some other entries for newer records of the registry. */
  pull(): void;
  linkCount(): number;
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
  readonly onNews: (from: string, news: LoadNews) => void;
  /** Learns that an entry's process is gone. */
  readonly onGone: (name: string) => void;
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
/** Entries that are asked for news at once. */
const PULLED_PEERS = 2;

/** Links between entries. */
class LinkedPeers implements Peers {
  readonly #options: PeersOptions;
  readonly #pool;
  readonly #endpoint: EndpointOptions;
  #waiting: LoadNews[] = [];
  #dialled = new Map<string, Link>();
  #isStopped = false;
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
    await listenForLinks(parseAddress(this.#options.member.address), this.#endpoint, (link) => {
      this.#adoptAccepted(link);
    });
    this.#dialAll();
  }

  stop(): void {
    this.#isStopped = true;
    this.#cancelDial();
    this.#pool.closeAll();
  }

  tell(news: LoadNews): void {
    this.#waiting.push(news);
    if (this.#waiting.length === 1) {
      this.#options.clock.after(GATHER_MS, () => {
        this.#flush();
      });
    }
  }

  pull(): void {
    const open = [...this.#dialled.values()].filter((link) => link.isOpen());
    const { random, holder } = this.#options;
    for (let asked = 0; asked < PULLED_PEERS && open.length > 0; asked += 1) {
      const [link] = open.splice(random.below(open.length), 1);
      link?.send({ type: FrameType.RegistryPull, revisions: { ...holder.current().revisions } });
    }
  }

  linkCount(): number {
    return this.#dialled.size;
  }

  #flush(): void {
    const nowMs = this.#options.clock.now();
    const changes = this.#waiting.map((news) => encodeNews(news, nowMs));
    this.#waiting = [];
    for (const link of this.#dialled.values()) {
      link.send({ type: FrameType.LoadNews, changes });
    }
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
    const { logger, holder } = this.#options;
    const { node, incarnation } = link.peer;
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
      }
    });
    link.send({ type: FrameType.RegistryPull, revisions: { ...holder.current().revisions } });
  }

  #adoptAccepted(link: Link): void {
    link.setActive(true);
    this.#serve(link);
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
