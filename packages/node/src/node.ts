/** The base that entries and sides share: links, configuration, host list, store, logs, metrics. */
import { randomUUID } from 'node:crypto';
import { type IncomingMessage, type ServerResponse } from 'node:http';
import { type Clock, createRandom, type Random } from '@toucanbend/core';
import { type ConfigurationHolder, createConfigurationHolder } from '@toucanbend/configuration';
import { createHostList, type HostList } from '@toucanbend/hosts';
import {
  createLogger,
  createMetrics,
  DecisionKind,
  type Logger,
  type Metrics,
  openOperatorPort,
} from '@toucanbend/observability';
import { type Settings } from '@toucanbend/settings';
import { HttpKeyValueStore, type KeyValueStore } from '@toucanbend/store';
import {
  createLinkPool,
  createLinkTraffic,
  type EndpointOptions,
  type Frame,
  type Link,
  type LinkPool,
  type LinkTraffic,
  listenForLinks,
  NodeRole,
  parseAddress,
} from '@toucanbend/wire';
import { createConfigurationSync } from './configuration-sync.js';

/** Options of {@link createNode}. */
export interface NodeOptions {
  readonly settings: Settings;
  readonly role: NodeRole;
  readonly clock: Clock;
}

/** Handlers that a role (entry or side) supplies to its node. */
export interface RoleHandlers {
  /** Handles each frame that is not about the configuration. */
  readonly onFrame: (link: Link, frame: Frame) => void;
  /** Called for each new link, whichever peer dialled it. */
  readonly onLink: (link: Link) => void;
  /** Returns the state of the role, which is added to the answer to `/status`. */
  readonly status: () => object;
  /** Handles further paths on the operators' port; returns false for a path that it does not handle. */
  readonly administer?: (request: IncomingMessage, response: ServerResponse) => boolean;
}

/** The parts of a process that entries and sides share. */
export interface Node {
  /** Random identifier of this run of the process; it changes at every start. */
  readonly incarnation: string;
  readonly settings: Settings;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly holder: ConfigurationHolder;
  readonly hosts: HostList;
  readonly store: KeyValueStore;
  readonly pool: LinkPool;
  readonly traffic: LinkTraffic;
  /**
   * Whether a configuration is in force that is at least as new as any revision announced by peers, and the store or
   * enough peers have answered.
   */
  isReady(): boolean;
  /** Opens the ports for peers and operators and passes links to the role's handlers from now on. */
  listen(handlers: RoleHandlers): Promise<void>;
  /** Closes all ports and links and stops polling hosts and synchronising the configuration. */
  close(): void;
}

function addNodeMetrics(
  metrics: Metrics,
  holder: ConfigurationHolder,
  traffic: LinkTraffic,
  pool: LinkPool,
): void {
  metrics.gauge(
    'configuration_revision',
    'Revision of the configuration in force.',
    () => holder.current().revision,
  );
  metrics.gauge('control_bytes', 'Bytes of control frames sent over links.', () => traffic.controlBytes);
  metrics.gauge(
    'payload_bytes',
    'Bytes of request and answer frames sent over links.',
    () => traffic.payloadBytes,
  );
  metrics.gauge('links', 'Links that this process has dialled.', () => pool.size());
  metrics.gauge('private_memory_bytes', 'Heap and external memory in use.', () => {
    const memory = process.memoryUsage();
    return memory.heapUsed + memory.external;
  });
}

/**
 * Creates a node. It polls the host list at once, but accepts no links before {@link Node.listen}.
 *
 * @param options - settings, role and clock
 * @returns the node
 */
export function createNode(options: NodeOptions): Node {
  const { settings, role, clock } = options;
  const { name, dataCentre, peerKeys, peerAddress, operatorAddress } = settings.node;
  const incarnation = randomUUID();
  const logger = createLogger({ node: name, ...settings.log });
  const metrics = createMetrics();
  const holder = createConfigurationHolder();
  const store = new HttpKeyValueStore(settings.platform.store, clock);
  const hosts = createHostList(settings.platform.hosts, settings.platform.hostsIntervalMs, clock);
  const traffic = createLinkTraffic();
  const identity = { node: name, role, dataCentre, incarnation, peerKeys };
  const endpoint: EndpointOptions = { identity, clock, settings: settings.links, traffic };
  const random = createRandom(settings.node.seed);
  const accepted = new Set<Link>();
  const closers: (() => void)[] = [];
  let handlers: RoleHandlers | undefined;

  const addLink = (link: Link): void => {
    spread.gossip.addLink(link);
    link.onFrame((frame) => {
      if (!spread.gossip.handle(link, frame)) {
        handlers?.onFrame(link, frame);
      }
    });
    handlers?.onLink(link);
  };
  const pool = createLinkPool(endpoint, addLink);
  const spread = createConfigurationSync({
    settings,
    clock,
    random,
    logger,
    holder,
    store,
    hosts: () => hosts.hosts() ?? [],
    pool,
    endpoint,
  });
  holder.onChange((document) => {
    logger.decision({
      decision: DecisionKind.Configuration,
      request: '',
      fields: { revision: document.revision },
    });
  });
  addNodeMetrics(metrics, holder, traffic, pool);

  const status = (): object => {
    const { heapUsed, external, rss } = process.memoryUsage();
    return {
      node: name,
      role,
      dataCentre,
      incarnation,
      ready: spread.isReady(),
      revision: holder.current().revision,
      traffic,
      memory: { heapUsed, external, rss },
      processor: process.cpuUsage(),
      ...handlers?.status(),
    };
  };

  const accept = (link: Link): void => {
    accepted.add(link);
    link.onEnd(() => {
      accepted.delete(link);
    });
    addLink(link);
  };

  return {
    incarnation,
    settings,
    clock,
    random,
    logger,
    metrics,
    holder,
    hosts,
    store,
    pool,
    traffic,
    isReady: spread.isReady,
    listen: async (roleHandlers) => {
      handlers = roleHandlers;
      const peers = await listenForLinks(parseAddress(peerAddress), endpoint, accept);
      closers.push(() => peers.close());
      const port = {
        ...parseAddress(operatorAddress),
        metrics,
        logger,
        isReady: spread.isReady,
        status,
        administer: roleHandlers.administer,
      };
      const operators = await openOperatorPort(port);
      closers.push(() => {
        operators.close();
        operators.closeAllConnections();
      });
      spread.start();
    },
    close: () => {
      spread.stop();
      hosts.stop();
      closers.forEach((close) => {
        close();
      });
      pool.closeAll();
      accepted.forEach((link) => {
        link.close();
      });
    },
  };
}
