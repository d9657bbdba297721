/** Gossip of the configuration: nodes announce their revision in digests, and nodes that are behind pull changes. */
import { type Clock } from '@toucanbend/core';
import { type ConfigurationHolder } from '@toucanbend/configuration';
import { type Frame, FrameType, type Link } from '@toucanbend/wire';

/** Time after which the same revision may be pulled again, from any peer, in milliseconds. */
const PULL_TIMEOUT_MS = 500;

/** Gossip of the configuration over the links of a node. */
export interface Gossip {
  /** Adds a link, announcing the revision in force now and on every change until the link ends. */
  addLink(link: Link): void;
  /** Announces the revision in force to the peer of a link. */
  announce(link: Link): void;
  /**
   * Handles a frame if it is a digest, a pull or changes of the configuration.
   *
   * @param link - link over which the frame was received
   * @param frame - the frame
   * @returns whether the frame was handled; other frames are left to the caller
   */
  handle(link: Link, frame: Frame): boolean;
  /** Returns the highest revision in any digest received. */
  highestAnnouncedRevision(): number;
  /** Returns the number of digests received. */
  digestsReceived(): number;
}

/** Options of {@link createGossip}. */
export interface GossipOptions {
  readonly holder: ConfigurationHolder;
  readonly clock: Clock;
  /** Called with the findings when changes received from a peer cannot be applied. */
  readonly onInvalidChanges: (message: string) => void;
}

/**
 * Creates the configuration gossip of a node.
 *
 * @param options - the configuration in force, a clock, and a handler for invalid changes
 * @returns the gossip, without links
 */
export function createGossip(options: GossipOptions): Gossip {
  const { holder, clock } = options;
  const links = new Set<Link>();
  let pulledRevision = 0;
  let pullTimesOutAtMs = 0;
  let highestRevision = 0;
  let digestCount = 0;

  const announce = (link: Link): void => {
    link.send({ type: FrameType.ConfigurationDigest, revision: holder.current().revision });
  };

  const announceToAll = (): void => {
    for (const link of links) {
      if (link.isOpen()) {
        announce(link);
      } else {
        links.delete(link);
      }
    }
  };

  /** Announces the own revision to a peer at an older one, and pulls from a peer at a newer one. */
  const handleDigest = (link: Link, revision: number): void => {
    const ownRevision = holder.current().revision;
    highestRevision = Math.max(highestRevision, revision);
    digestCount += 1;
    if (revision < ownRevision) {
      announce(link);
    } else if (revision > ownRevision && (revision > pulledRevision || clock.now() > pullTimesOutAtMs)) {
      pulledRevision = revision;
      pullTimesOutAtMs = clock.now() + PULL_TIMEOUT_MS;
      link.send({ type: FrameType.ConfigurationPull, revision: ownRevision });
    }
  };

  /** Applies changes from a peer; if a difference cannot be applied, pulls the whole document instead. */
  const applyChanges = (link: Link, from: number, payload: string): void => {
    const result = holder.receive(from, payload);
    if (result.isErr()) {
      options.onInvalidChanges(result.error.map((finding) => finding.message).join('; '));
      if (from !== 0) {
        link.send({ type: FrameType.ConfigurationPull, revision: 0 });
      }
    }
  };

  holder.onChange(announceToAll);

  return {
    addLink: (link) => {
      links.add(link);
      announce(link);
    },
    announce,
    highestAnnouncedRevision: () => highestRevision,
    digestsReceived: () => digestCount,
    handle: (link, frame) => {
      switch (frame.type) {
        case FrameType.ConfigurationDigest:
          handleDigest(link, frame.revision);
          return true;
        case FrameType.ConfigurationPull: {
          const changes = holder.changesSince(frame.revision);
          link.send({ type: FrameType.ConfigurationChanges, ...changes, to: holder.current().revision });
          return true;
        }
        case FrameType.ConfigurationChanges:
          applyChanges(link, frame.from, frame.payload);
          return true;
        default:
          return false;
      }
    },
  };
}
