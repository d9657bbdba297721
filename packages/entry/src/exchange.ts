/** Exchanges frames with sides over pooled links: probes, attempts and voided tokens. */
import { type Clock, type WorkDescription } from '@toucanbend/core';
import { FailureKind } from '@toucanbend/routing';
import {
  type Frame,
  type FrameOf,
  FrameType,
  type Link,
  type LinkError,
  type LinkPool,
  TokenState,
} from '@toucanbend/wire';
import { type Result } from 'neverthrow';
import { type Directory, type KnownServer } from './directory.js';
import { type AttemptFrame, type Inbox, InboxMessageType } from './inbox.js';

/** A side's bid in answer to a probe. */
export interface ProbeAnswer {
  readonly bid: FrameOf<FrameType.Bid>;
  /** Link over which the bid was received. */
  readonly link: Link;
  readonly roundTripMs: number;
}

/** Exchanges frames with sides. */
export interface Exchange {
  /**
   * Probes a side for a bid and records success or failure in the directory.
   *
   * @returns the answer, or undefined if the side could not be reached or did not answer in time
   */
  probe(
    server: KnownServer,
    work: WorkDescription,
    timeLeftMs: number,
    mint: boolean,
  ): Promise<ProbeAnswer | undefined>;
  /** Returns a pooled link to the side beside a server, dialling if there is none. */
  connect(server: KnownServer): Promise<Result<Link, LinkError>>;
  /** Delivers the frames of an attempt that arrive over a link, and the loss of that link, to an inbox. */
  bind(requestId: string, attempt: number, link: Link, inbox: Inbox): void;
  /** Stops delivering the frames of an attempt; later ones are dropped. */
  unbind(requestId: string, attempt: number): void;
  /**
   * Requests that a side void a token.
   *
   * @returns the state of the token, or undefined if the side could not be reached or did not answer in time
   */
  voidToken(server: KnownServer, token: string, timeoutMs: number): Promise<TokenState | undefined>;
  /** Handles a frame received from a side. */
  handle(link: Link, frame: Frame): void;
  /** Registers a new link and clears the leaving mark of its host. */
  addLink(link: Link): void;
  /** Whether a probe or an attempt is pending on a link. */
  isBusy(link: Link): boolean;
}

interface BoundAttempt {
  readonly link: Link;
  readonly inbox: Inbox;
  readonly attempt: number;
}

interface PendingProbe {
  readonly link: Link;
  readonly sentAtMs: number;
  readonly resolve: (answer: ProbeAnswer | undefined) => void;
}

const attemptKey = (requestId: string, attempt: number): string => `${requestId}#${String(attempt)}`;

/**
 * Creates the exchange of an entry.
 *
 * @param pool - links to sides
 * @param directory - records which sides answer, fail and leave
 * @param clock - measures round trips and time-outs
 * @param probeTimeoutMs - longest wait for a bid, in milliseconds
 * @returns the exchange
 */
export function createExchange(
  pool: LinkPool,
  directory: Directory,
  clock: Clock,
  probeTimeoutMs: number,
): Exchange {
  const attempts = new Map<string, BoundAttempt>();
  const pendingProbes = new Map<number, PendingProbe>();
  const pendingVoids = new Map<string, (state: TokenState) => void>();
  const useCounts = new Map<Link, number>();
  let nextProbeId = 1;

  const adjustUseCount = (link: Link, delta: number): void => {
    const count = Math.max(0, (useCounts.get(link) ?? 0) + delta);
    useCounts.set(link, count);
    link.setActive(count > 0);
  };

  const unbind = (requestId: string, attempt: number): void => {
    const bound = attempts.get(attemptKey(requestId, attempt));
    if (bound !== undefined) {
      attempts.delete(attemptKey(requestId, attempt));
      adjustUseCount(bound.link, -1);
    }
  };

  const sendProbe = (
    link: Link,
    work: WorkDescription,
    timeLeftMs: number,
    mint: boolean,
  ): Promise<ProbeAnswer | undefined> =>
    new Promise((resolve) => {
      const probeId = nextProbeId;
      nextProbeId += 1;
      adjustUseCount(link, 1);
      const cancel = clock.after(probeTimeoutMs, () => {
        resolve(undefined);
      });
      pendingProbes.set(probeId, {
        link,
        sentAtMs: clock.now(),
        resolve: (answer) => {
          cancel();
          adjustUseCount(link, -1);
          resolve(answer);
        },
      });
      link.send({ type: FrameType.Probe, probeId, ...work, prefix: [...work.prefix], timeLeftMs, mint });
    });

  const handleBid = (link: Link, bid: FrameOf<FrameType.Bid>): void => {
    const pending = pendingProbes.get(bid.probeId);
    if (pending?.link === link) {
      pendingProbes.delete(bid.probeId);
      pending.resolve({ bid, link, roundTripMs: clock.now() - pending.sentAtMs });
    }
  };

  const deliverFrame = (link: Link, frame: AttemptFrame): void => {
    const bound = attempts.get(attemptKey(frame.requestId, frame.attempt));
    if (bound?.link === link) {
      bound.inbox.send({ type: InboxMessageType.Frame, frame });
    }
  };

  const handleLinkEnd = (link: Link): void => {
    useCounts.delete(link);
    for (const [probeId, pending] of pendingProbes) {
      if (pending.link === link) {
        pendingProbes.delete(probeId);
        pending.resolve(undefined);
      }
    }
    for (const [key, bound] of attempts) {
      if (bound.link === link) {
        attempts.delete(key);
        bound.inbox.send({ type: InboxMessageType.LinkLost, attempt: bound.attempt });
      }
    }
  };

  const connect = (server: KnownServer): Promise<Result<Link, LinkError>> =>
    pool.get(server.configuration.address);

  return {
    connect,
    unbind,
    isBusy: (link) => (useCounts.get(link) ?? 0) > 0,
    probe: async (server, work, timeLeftMs, mint) => {
      const link = await connect(server);
      const answer = link.isOk() ? await sendProbe(link.value, work, timeLeftMs, mint) : undefined;
      if (answer === undefined) {
        const isConnected = link.isOk() && link.value.isOpen();
        directory.recordFailure(server.name, isConnected ? FailureKind.Unanswered : FailureKind.Lost);
      } else {
        directory.recordSuccess(server.name);
      }
      return answer;
    },
    bind: (requestId, attempt, link, inbox) => {
      unbind(requestId, attempt);
      if (!link.isOpen()) {
        inbox.send({ type: InboxMessageType.LinkLost, attempt });
        return;
      }
      attempts.set(attemptKey(requestId, attempt), { link, inbox, attempt });
      adjustUseCount(link, 1);
    },
    voidToken: async (server, token, timeoutMs) => {
      const link = await connect(server);
      if (link.isErr()) {
        return undefined;
      }
      return new Promise((resolve) => {
        const cancel = clock.after(timeoutMs, () => {
          pendingVoids.delete(token);
          resolve(undefined);
        });
        pendingVoids.set(token, (state) => {
          cancel();
          resolve(state);
        });
        link.value.send({ type: FrameType.VoidToken, token });
      });
    },
    addLink: (link) => {
      directory.markLeaving(link.peer.node, false);
      link.onEnd(() => {
        directory.markLeaving(link.peer.node, false);
        handleLinkEnd(link);
      });
    },
    handle: (link, frame) => {
      switch (frame.type) {
        case FrameType.Bid:
          handleBid(link, frame);
          return;
        case FrameType.Draining:
          directory.markLeaving(link.peer.node, frame.leaving);
          return;
        case FrameType.TokenVoided:
          pendingVoids.get(frame.token)?.(frame.state);
          pendingVoids.delete(frame.token);
          return;
        case FrameType.Accepted:
        case FrameType.Output:
        case FrameType.Answer:
        case FrameType.Done:
        case FrameType.RequestNotFound:
          deliverFrame(link, frame);
          return;
        default:
      }
    },
  };
}
