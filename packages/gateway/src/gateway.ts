/** An entry that forwards requests to backend servers directly, without a side beside each server. */
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
  createStoreHealth,
  isReader,
  limitShareOf,
} from '@toucanbend/membership';
import { createEngineSurvey, type EngineReports } from '@toucanbend/load-recovery';
import { type Logger } from '@toucanbend/observability';
import {
  applyLoadUpdate,
  createLoadTracker,
  createRetryBudget,
  type RetryBound,
  runningJobsOf,
} from '@toucanbend/placement';
import { createQuarantine, type Quarantine } from '@toucanbend/quarantine';
import {
  type EntryMember,
  evacuatedDataCentres,
  listEntries,
  listServers,
  RecordKind,
  type RegistrySource,
} from '@toucanbend/registry';
import { type ColdBound, createServerRestrictions, type ServerRestrictions } from '@toucanbend/restrictions';
import { Registry as MetricsRegistry } from 'prom-client';
import { describeRegistry, logRegistryChanges, readyServers, runsEnded } from './registry-report.js';
import { createConfigurationGate } from './configuration-gate.js';
import { answersUntil, drainRequests, outOfRotationAt } from './drain.js';
import { createEvacuationReport, describeEvacuations } from './evacuation-report.js';
import { registerGatewayMetrics } from './gateway-metrics.js';
import { isLinking, whenLinksOpen } from './link-start.js';
import { type ListenAddress } from './listen-address.js';
import { openOperatorsPort } from './operators.js';
import { coldOptions, coldStatements } from './cold-statements.js';
import { createGatewayPaces } from './gateway-paces.js';
import { type PaceMode } from './pace-beginnings.js';
import { applyQuarantineRecords } from './quarantine-records.js';
import { openReadyPort } from './ready-port.js';
import { createStoredQuarantine } from './stored-quarantine.js';
import { watchSettingsOf } from './watch-settings.js';

/** Addresses, settings and dependencies of a gateway. */
export interface GatewayOptions {
  readonly member: EntryMember;
  readonly seed: number;
  readonly callers: ListenAddress;
  readonly ready: ListenAddress;
  readonly readyPath: string;
  /** Address of the operators' port with metrics and status; the port is not opened if undefined. */
  readonly operators: ListenAddress | undefined;
  readonly retryBound: RetryBound;
  /** Most requests that a cold server may get in one second. */
  readonly coldBound: ColdBound;
  /** Whether short prompts wait at this entry and yield while free places of the engines are scarce. */
  readonly holdsPrompts: boolean;
  /** For which services servers are used at a reduced pace after they have started or recovered. */
  readonly pace: PaceMode;
  /** Grace period from the signal to stop until the process is killed, in milliseconds. */
  readonly graceMs: number;
  /** Time after which the store drops a record that its server no longer writes, in milliseconds. */
  readonly serverExpiryMs: number;
  /**
   * Time within which the evacuation of a data centre must be in force, in milliseconds; undefined if evacuations are not read
   * from the store.
   */
  readonly maxEvacuationMs: number | undefined;
  readonly dialect: Dialect;
  readonly memory: EngineMemory;
  readonly memoryBounds: MemoryBounds;
  /** Reads the load of engines after the start; undefined at the first start of a deployment, whose engines are idle. */
  readonly engineReports: EngineReports | undefined;
  readonly source: RegistrySource;
  /** Keys with which entries authenticate one another. */
  readonly peerKeys: readonly string[];
  /** Configured addresses of other entries, dialled besides the registered ones. */
  readonly seeds: readonly string[];
  readonly clock: Clock;
  /** Returns the time of day, in milliseconds since 1970. */
  readonly wallClock: () => number;
  readonly logger: Logger;
}

/** A running gateway. */
export interface Gateway {
  /**
   * Drains the gateway: accepts no more connections, completes requests in flight, and resolves when the process may end.
   *
   * @param elapsedMs - time since the signal to stop, in milliseconds; a signal that comes during the start waits for its end
   */
  leave(elapsedMs?: number): Promise<void>;
}

/** Assumed round-trip time to a server in another data centre, in milliseconds; used until times are measured. */
const CROSS_DATA_CENTRE_RTT_MS = 8;
/** Interval between digests of the registry to random entries, in milliseconds. */
const ANNOUNCE_INTERVAL_MS = 1_000;
/** Minimum share of the other entries that must be linked for their load updates to be a basis for placement. */
const MIN_LINKED_SHARE = 0.5;
const PRUNE_INTERVAL_MS = 1_000;
const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Starts a gateway.
 *
 * @param options - addresses, settings and dependencies
 * @returns the gateway, once it is listening
 */
export async function startGateway(options: GatewayOptions): Promise<Gateway> {
  const { clock, logger, member, source } = options;
  const holder = createRegistryHolder({
    clock,
    logger,
    expiryMs: options.serverExpiryMs,
    onDeferred: (record) => {
      if (record.kind === RecordKind.Quarantine && record.value !== undefined) {
        storedQuarantine.withdraw(record.value);
      }
    },
  });
  const loadTracker = createLoadTracker();
  const random = createRandom(options.seed);
  let isLeaving = false;
  let answersUntilMs = Number.POSITIVE_INFINITY;
  let outOfRotationAtMs = Number.POSITIVE_INFINITY;
  let isClosed = false;
  const engineOf = (name: string): EngineParameters | undefined =>
    holder.current().catalogue?.services.find((service) => service.name === name)?.engine;
  const storeHealth = createStoreHealth(clock, logger);
  const startedAtMs = clock.now();
  const isStoreReader = (): boolean =>
    !isLinking(clock.now() - startedAtMs, peers.linkCount(), listEntries(holder.current()).length - 1) &&
    isReader(member.name, peers.peersReachingStore());
  const storedQuarantine = createStoredQuarantine({ source, logger, isStoreReader });
  const quarantine: Quarantine = createQuarantine({
    clock,
    wallClock: options.wallClock,
    random,
    logger,
    broadcast: (update) => {
      peers.broadcastQuarantine(update);
    },
    ...storedQuarantine,
  });
  const endedEntries = new Set<string>();
  const restrictions: ServerRestrictions = createServerRestrictions({
    entry: member.name,
    clock,
    logger,
    share: () => {
      const registered = listEntries(holder.current())
        .map(({ name }) => name)
        .filter((name) => name !== member.name);
      return limitShareOf({ registered, linked: new Set(peers.linkedEntries()), ended: endedEntries });
    },
    broadcast: (update) => {
      peers.broadcastRestriction(update);
    },
    cold: coldOptions(options.coldBound, holder),
  });
  const paces = createGatewayPaces({
    mode: options.pace,
    holder,
    clock,
    logger,
    broadcast: (update) => {
      peers.broadcastPace(update);
    },
  });
  const peers = createPeers({
    member,
    incarnation: randomUUID(),
    peerKeys: options.peerKeys,
    seeds: options.seeds,
    holder,
    clock,
    random,
    logger,
    isStoreReachable: storeHealth.isReachable,
    applyListing: (kind, listing, peer) => {
      follower.applyListing(kind, listing, peer);
    },
    onStoreReturned: storeHealth.returned,
    onLoadUpdate: (from, update) => {
      applyLoadUpdate(loadTracker, restrictions, from, update, engineOf, clock.now());
    },
    onQuarantineUpdate: quarantine.receive.bind(quarantine),
    quarantinedCauses: quarantine.list.bind(quarantine),
    onRestrictionUpdate: restrictions.receive.bind(restrictions),
    restrictions: restrictions.list.bind(restrictions),
    runningJobs: () => runningJobsOf(loadTracker.loads(), member.name),
    onPaceUpdate: paces?.receive.bind(paces),
    paces: paces?.list.bind(paces),
    onProcessEnded: (name) => {
      endedEntries.add(name);
      loadTracker.dropOwner(name);
    },
    onUnreachable: loadTracker.markUnreachable,
  });
  const { maxEvacuationMs } = options;
  const gate = createConfigurationGate({ holder, clock, logger, maxEvacuationMs });
  const metricsRegistry = new MetricsRegistry();
  const context: ForwardingContext = {
    clock,
    random,
    logger,
    metrics: createForwardingMetrics(metricsRegistry),
    dialect: options.dialect,
    memory: options.memory,
    memoryBounds: options.memoryBounds,
    planner: {
      entry: member.name,
      dataCentre: member.dataCentre,
      crossRoundTripMs: CROSS_DATA_CENTRE_RTT_MS,
    },
    loadTracker,
    restrictions,
    paces,
    holdsPrompts: options.holdsPrompts,
    retries: createRetryBudget(options.retryBound),
    quarantine,
    registry: holder.current.bind(holder),
    waitForConfiguration: gate.wait.bind(gate),
    entryCount: () => Math.max(1, listEntries(holder.current()).length),
    isDraining: () => isLeaving,
    answersUntilMs: () => answersUntilMs,
    outOfRotationAtMs: () => outOfRotationAtMs,
    acceptsRequests: () => !isClosed,
    hasPartialLoadView: () =>
      peers.linkCount() < MIN_LINKED_SHARE * (listEntries(holder.current()).length - 1),
    broadcast: peers.broadcast.bind(peers),
  };
  const survey =
    options.engineReports === undefined
      ? undefined
      : createEngineSurvey({
          entry: member.name,
          clock,
          logger,
          registry: context.registry,
          loadTracker,
          reports: options.engineReports,
          broadcast: context.broadcast,
        });
  const port = createCallerPort(context);
  const evacuationReport = createEvacuationReport(logger);
  holder.onChange((after, before, peer) => {
    logRegistryChanges(logger, after, before);
    evacuationReport.changed(after, before, peer);
    survey?.begin();
    runsEnded(after, before).forEach(quarantine.serverEnded.bind(quarantine));
    applyQuarantineRecords(quarantine, after, before);
    coldStatements(after, before).forEach(restrictions.cold.stated.bind(restrictions.cold));
    if (after.catalogue !== undefined && after.catalogue !== before.catalogue) {
      port.applyLimits(after.catalogue);
    }
  });
  const isReady = (): boolean =>
    !isLeaving && gate.isConfigured() && readyServers(holder.current()).length > 0;
  const follower = createFollower({
    source,
    holder,
    clock,
    random,
    logger,
    watchSettings: watchSettingsOf(maxEvacuationMs),
    storeHealth,
    linkedEntryCount: peers.linkCount.bind(peers),
    isReader: isStoreReader,
    onChanges: peers.announceToAll.bind(peers),
  });
  let storeRestorations = 0;
  source.onRestored(() => {
    storeRestorations += 1;
    if (isStoreReader()) {
      quarantine.republish();
    }
  });
  const registrar = createRegistrar({ member, source, clock, random, logger, storeHealth });
  storeHealth.onUnreachable(peers.announceToAll.bind(peers));
  storeHealth.onReachable(peers.announceToAll.bind(peers));
  const linksOpen = whenLinksOpen({
    waitForConfiguration: context.waitForConfiguration,
    onStoreUnreachable: storeHealth.onUnreachable,
  });
  // Callers whose connections are reset have few retries, so that their port is opened first; requests wait for the first
  // configuration.
  await port.listen(options.callers.host, options.callers.port);
  logger.info('listening', { processAgeMs: Math.round(process.uptime() * MILLISECONDS_PER_SECOND) });
  follower.start();
  registerGatewayMetrics(metricsRegistry, {
    requestsInFlight: port.inFlight,
    linkedEntries: peers.linkCount.bind(peers),
    knownEntries: () => listEntries(holder.current()).length,
    readyServers: () => readyServers(holder.current()).length,
    evacuatedDataCentres: () => evacuatedDataCentres(holder.current()).size,
    quarantinedCauses: () => quarantine.list().length,
    limitedServers: restrictions.limitedCount.bind(restrictions),
    leavingServers: restrictions.leavingCount.bind(restrictions),
    pacedServers: () => paces?.pacedCount() ?? 0,
    coldServers: restrictions.cold.coldCount.bind(restrictions.cold),
    catalogueVersion: () => holder.current().catalogue?.version ?? 0,
    unattributedRequests: () => survey?.unattributedCount() ?? 0,
    storeAnswers: () => (storeHealth.isReachable() ? 1 : 0),
    storeCalls: () => storeHealth.counts().calls,
    failedStoreCalls: () => storeHealth.counts().failures,
    storeRestorations: () => storeRestorations,
  });
  await openReadyPort(options.ready.host, options.ready.port, options.readyPath, isReady);
  await linksOpen;
  await peers.start();
  registrar.start();
  const prune = (): void => {
    const registered = new Set(listServers(holder.current()).map((server) => server.id));
    loadTracker.prune(registered, clock.now());
    restrictions.prune(registered);
    paces?.prune(listServers(holder.current()));
    quarantine.prune();
    clock.after(PRUNE_INTERVAL_MS, prune);
  };
  prune();
  const announce = (): void => {
    peers.announceToRandomPeers();
    clock.after(ANNOUNCE_INTERVAL_MS, announce);
  };
  announce();
  if (options.operators !== undefined) {
    await openOperatorsPort(options.operators, {
      metricsRegistry,
      logger,
      isReady,
      status: () => ({
        ...describeRegistry(holder.current()),
        evacuated: describeEvacuations(holder.current()),
        quarantined: quarantine.list(),
        restrictions: restrictions.list(),
      }),
    });
  }
  logger.info('started', { name: member.name, dataCentre: member.dataCentre, address: member.address });

  return {
    leave: async (elapsedMs = 0) => {
      const graceMs = Math.max(0, options.graceMs - elapsedMs);
      isLeaving = true;
      answersUntilMs = answersUntil(clock.now(), graceMs);
      outOfRotationAtMs = outOfRotationAt(clock.now());
      port.startDraining();
      registrar.stop();
      const close = (): Promise<void> => {
        isClosed = true;
        return port.stopListening();
      };
      const { busyConnections, acceptedConnections } = port;
      await drainRequests({ clock, logger, graceMs, busyConnections, acceptedConnections, close });
      follower.stop();
    },
  };
}
