/** Keeps the configuration in force up to date from the store, from neighbours and from random nodes. */
import { type CancelTimer, type Clock, formatFindings, type Random } from '@toucanbend/core';
import { checkDocument, CONFIGURATION_KEY, type ConfigurationHolder } from '@toucanbend/configuration';
import { createGossip, type Gossip, isWatcher, neighboursOf } from '@toucanbend/gossip';
import { type Host } from '@toucanbend/hosts';
import { type Logger } from '@toucanbend/observability';
import { type Settings } from '@toucanbend/settings';
import { type KeyValueStore, type StoredValue } from '@toucanbend/store';
import { dial, type EndpointOptions, type LinkPool, parseAddress } from '@toucanbend/wire';

const EXCHANGE_INTERVAL_MS = 3_000;
/** Time for which the connection of an exchange stays open, so that both nodes can pull changes. */
const EXCHANGE_DURATION_MS = 1_000;
const READ_RETRY_DELAY_MS = 500;
/** Digests that must have been received before a node is ready without an answer from the store. */
const MIN_DIGESTS = 2;

/** Synchronises the configuration in force with the store and with peers. */
export interface ConfigurationSync {
  readonly gossip: Gossip;
  /** Whether the configuration in force is as new as any announced one, and the store or enough peers answered. */
  readonly isReady: () => boolean;
  readonly start: () => void;
  readonly stop: () => void;
}

/** Options of {@link createConfigurationSync}. */
export interface ConfigurationSyncOptions {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly holder: ConfigurationHolder;
  readonly store: KeyValueStore;
  readonly hosts: () => readonly Host[];
  readonly pool: LinkPool;
  readonly endpoint: EndpointOptions;
}

/**
 * Creates the configuration synchronisation of a node. It is idle until `start` is called.
 *
 * @param options - store, hosts, links and the configuration in force
 * @returns the synchronisation, not started
 */
export function createConfigurationSync(options: ConfigurationSyncOptions): ConfigurationSync {
  const { settings, clock, holder, store, logger } = options;
  const gossip = createGossip({
    holder,
    clock,
    onInvalidChanges: (message) => {
      logger.warn('configuration from a peer refused', { message });
    },
  });
  let storeAnswered = false;
  let stopped = false;
  let stopWatch: (() => void) | undefined;
  const timers = new Map<string, CancelTimer>();

  const applyStored = (stored: StoredValue): void => {
    let value: unknown;
    try {
      value = JSON.parse(stored.value);
    } catch {
      value = undefined;
    }
    const document = checkDocument(value, 'store');
    if (document.isErr()) {
      logger.error('configuration in the store refused', {
        findings: formatFindings(document.error),
      });
      return;
    }
    if (holder.isReady() && document.value.revision < holder.current().revision) {
      const inForce = holder.current().revision;
      logger.error('the store holds an older configuration', { stored: document.value.revision, inForce });
      return;
    }
    holder.offer(document.value);
  };

  const readStore = async (): Promise<void> => {
    const answer = await store.read(CONFIGURATION_KEY, settings.platform.storeTimeoutMs);
    if (answer.isOk()) {
      storeAnswered = true;
      if (answer.value !== undefined) {
        applyStored(answer.value);
      }
    } else if (!stopped) {
      timers.set(
        'read',
        clock.after(READ_RETRY_DELAY_MS, () => void readStore()),
      );
    }
  };

  /** Starts or stops watching the store as this node becomes or ceases to be a watcher of its data centre. */
  const updateWatch = (): void => {
    const shouldWatch = isWatcher(options.hosts(), settings.node.name, settings.node.dataCentre);
    if (shouldWatch && stopWatch === undefined) {
      stopWatch = store.watch(CONFIGURATION_KEY, applyStored);
    } else if (!shouldWatch && stopWatch !== undefined) {
      stopWatch();
      stopWatch = undefined;
    }
  };

  const connectNeighbours = async (): Promise<void> => {
    for (const host of neighboursOf(options.hosts(), settings.node.name, settings.node.dataCentre)) {
      await options.pool.get(host.address);
    }
  };

  /**
   * Exchanges digests with a random node over a new connection, which also finds newer revisions where the
   * links to neighbours are silently broken.
   */
  const exchangeDigests = async (): Promise<void> => {
    const others = options.hosts().filter((host) => host.name !== settings.node.name);
    const host = others[options.random.below(Math.max(1, others.length))];
    const link = host === undefined ? undefined : await dial(parseAddress(host.address), options.endpoint);
    if (link?.isOk() === true) {
      const openLink = link.value;
      openLink.onFrame((frame) => gossip.handle(openLink, frame));
      gossip.announce(openLink);
      clock.after(EXCHANGE_DURATION_MS, () => {
        openLink.close();
      });
    }
  };

  const runCycle = (): void => {
    updateWatch();
    void connectNeighbours();
    void exchangeDigests();
    timers.set('cycle', clock.after(EXCHANGE_INTERVAL_MS * (0.5 + options.random.fraction()), runCycle));
  };

  return {
    gossip,
    start: () => {
      void readStore();
      timers.set('cycle', clock.after(READ_RETRY_DELAY_MS * options.random.fraction(), runCycle));
    },
    isReady: () => {
      const members = Math.max(1, options.hosts().length - 1);
      const hasEnoughDigests = gossip.digestsReceived() >= Math.min(MIN_DIGESTS, members);
      const isNewest = holder.current().revision >= gossip.highestAnnouncedRevision();
      return holder.isReady() && isNewest && (storeAnswered || hasEnoughDigests);
    },
    stop: () => {
      stopped = true;
      timers.forEach((cancel) => {
        cancel();
      });
      stopWatch?.();
    },
  };
}
