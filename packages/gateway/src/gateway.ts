/** The entry that sends to backend servers directly. */
import { randomUUID } from 'node:crypto';
import { type Clock, createRandom } from '@toucanbend/core';
import {
  createCallerPort,
  createForwardingMetrics,
  type Dialect,
  type EngineMemory,
  type ForwardingContext,
  type MemoryBounds,
} from '@toucanbend/forwarding';
import { type EngineParameters } from '@toucanbend/engine-model';
import {
  createFollower,
  createPeers,
  createRegistrar,
  createRegistryHolder,
  createStoreContact,
  isReader,
  type FollowPace,
} from '@toucanbend/membership';
import { type Logger } from '@toucanbend/observability';
import { applyNews, createLoadBook, createRetryWindow, type RetryBound } from '@toucanbend/placement';
import {
  type EntryMember,
  listEntries,
  listServers,
  RecordKind,
  type RegistrySource,
} from '@toucanbend/registry';
import { Registry as MetricsRegistry } from 'prom-client';
import { logChanges, readyServers, statusOf } from './changes.js';
import { finishRequests } from './departure.js';
import { registerGatewayMetrics } from './gateway-metrics.js';
import { type ListenAddress } from './listen-address.js';
import { openOperators } from './operators.js';
import { openReadyPort } from './ready-port.js';

/** What a gateway needs from its surroundings. */
export interface GatewayOptions {
  readonly member: EntryMember;
  readonly seed: number;
  readonly callers: ListenAddress;
  readonly ready: ListenAddress;
  readonly readyPath: string;
  /** Where metrics and state are shown to operators; nowhere if absent. */
  readonly operators: ListenAddress | undefined;
  readonly retryBound: RetryBound;
  /** Time from the signal to stop until the process is ended from outside, in milliseconds. */
  readonly graceMs: number;
  readonly dialect: Dialect;
  readonly memory: EngineMemory;
  readonly memoryBounds: MemoryBounds;
  readonly source: RegistrySource;
  /** Keys by which entries know one another. */
  readonly peerKeys: readonly string[];
  /** Addresses of other entries that are known from the start. */
  readonly seeds: readonly string[];
  readonly clock: Clock;
  readonly logger: Logger;
}

/** A running gateway. */
export interface Gateway {
  /** Takes no more connections, finishes what is in flight, and resolves when the process may end. */
  leave(): Promise<void>;
}

/** Paces of following the store: servers change most, and requests must leave a leaving server in time. */
const paces: Readonly<Record<RecordKind, FollowPace>> = {
  [RecordKind.Catalogue]: { waitMs: 2_000, intervalMs: 200, isShared: false },
  [RecordKind.Server]: { waitMs: 2_000, intervalMs: 400, isShared: true },
  [RecordKind.Entry]: { waitMs: 5_000, intervalMs: 1_000, isShared: true },
};
/** Time to a server in another data centre and back; replaced by measured times once there are some. */
const CROSS_ROUND_TRIP_MS = 8;
/** Time between two comparisons with some other entries of what is known, in milliseconds. */
const COMPARE_INTERVAL_MS = 1_000;
/** Share of the other entries from which on what they tell is enough to place work by. */
const HEARD_SHARE = 0.5;
const PRUNE_INTERVAL_MS = 1_000;
/**
 * Starts a gateway.
 *
 * @param options - addresses, store and dialect
 * @returns the gateway, once it listens
 */
export async function startGateway(options: GatewayOptions): Promise<Gateway> {
  const { clock, logger, member, source } = options;
  const holder = createRegistryHolder();
  const book = createLoadBook();
  const random = createRandom(options.seed);
  let isLeaving = false;
  let isClosed = false;
  const engineOf = (name: string): EngineParameters | undefined =>
    holder.current().catalogue?.services.find((service) => service.name === name)?.engine;
  const contact = createStoreContact(clock, logger);
  const peers = createPeers({
    member,
    incarnation: randomUUID(),
    peerKeys: options.peerKeys,
    seeds: options.seeds,
    holder,
    clock,
    random,
    logger,
    isStoreWell: contact.isWell,
    onNews: (from, news) => {
      applyNews(book, from, news, engineOf, clock.now());
    },
    onGone: book.dropOwner,
    onUnheard: book.unheard,
  });
  let announceConfigured = (): void => undefined;
  const configured = new Promise<void>((resolve) => {
    announceConfigured = resolve;
  });
  const metricsRegistry = new MetricsRegistry();
  const context: ForwardingContext = {
    clock,
    random,
    logger,
    metrics: createForwardingMetrics(metricsRegistry),
    dialect: options.dialect,
    memory: options.memory,
    memoryBounds: options.memoryBounds,
    planner: { entry: member.name, dataCentre: member.dataCentre, crossRoundTripMs: CROSS_ROUND_TRIP_MS },
    book,
    retries: createRetryWindow(options.retryBound),
    registry: holder.current,
    configured: (waitMs) =>
      holder.current().catalogue === undefined
        ? Promise.race([configured, new Promise<void>((resolve) => clock.after(waitMs, resolve))])
        : Promise.resolve(),
    entryCount: () => Math.max(1, listEntries(holder.current()).length),
    isLeaving: () => isLeaving,
    takesRequests: () => !isClosed,
    isBlind: () => peers.linkCount() < HEARD_SHARE * (listEntries(holder.current()).length - 1),
    tell: peers.tell.bind(peers),
  };
  const port = createCallerPort(context);
  holder.onChange((after, before) => {
    logChanges(logger, after, before);
    if (after.catalogue !== undefined && after.catalogue !== before.catalogue) {
      port.applyLimits(after.catalogue);
      announceConfigured();
    }
  });
  const isReady = (): boolean => {
    const registry = holder.current();
    return !isLeaving && registry.catalogue !== undefined && readyServers(registry).length > 0;
  };
  const follower = createFollower({
    source,
    holder,
    clock,
    random,
    logger,
    paces,
    contact,
    linkedEntries: peers.linkCount.bind(peers),
    isReader: () => isReader(member.name, peers.readingPeers()),
    onNews: peers.announce.bind(peers),
  });
  const registrar = createRegistrar(member, source, clock, logger, contact);
  contact.onLost(peers.announce.bind(peers));
  contact.onRegained(peers.announce.bind(peers));
  // The store's answers come while the ports are opened.
  follower.start();
  registerGatewayMetrics(metricsRegistry, {
    requestsInFlight: port.inFlight,
    linkedEntries: peers.linkCount.bind(peers),
    knownEntries: () => listEntries(holder.current()).length,
    readyServers: () => readyServers(holder.current()).length,
    catalogueVersion: () => holder.current().catalogue?.version ?? 0,
    storeAnswers: () => (contact.isWell() ? 1 : 0),
    storeCalls: () => contact.counts().calls,
    failedStoreCalls: () => contact.counts().failures,
  });
  await openReadyPort(options.ready.host, options.ready.port, options.readyPath, isReady);
  await port.listen(options.callers.host, options.callers.port);
  await peers.start();
  registrar.start();
  const prune = (): void => {
    book.prune(new Set(listServers(holder.current()).map((server) => server.id)), clock.now());
    clock.after(PRUNE_INTERVAL_MS, prune);
  };
  prune();
  const compare = (): void => {
    peers.compare();
    clock.after(COMPARE_INTERVAL_MS, compare);
  };
  compare();
  if (options.operators !== undefined) {
    await openOperators(options.operators, {
      metricsRegistry,
      logger,
      isReady,
      status: () => statusOf(holder.current()),
    });
  }
  logger.info('started', { name: member.name, dataCentre: member.dataCentre, address: member.address });

  return {
    leave: async () => {
      isLeaving = true;
      registrar.stop();
      const close = (): void => {
        isClosed = true;
        port.stopListening();
      };
      await finishRequests({ clock, logger, graceMs: options.graceMs, inFlight: port.inFlight, close });
      follower.stop();
    },
  };
}
