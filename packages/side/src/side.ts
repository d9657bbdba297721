/** Side process: connects the server controller to links, backend server, configuration and host list. */
import { type Clock, RequestKind } from '@toucanbend/core';
import { createChannel, serveChannel } from '@toucanbend/channel';
import { HttpModelEngine } from '@toucanbend/engine';
import { HostState } from '@toucanbend/hosts';
import { createNode, type Node } from '@toucanbend/node';
import { DecisionKind } from '@toucanbend/observability';
import { defaultSchedulerSettings, type SchedulerSettings } from '@toucanbend/scheduler';
import { HttpPlainService } from '@toucanbend/service';
import { type Settings, type SideSettings } from '@toucanbend/settings';
import { FrameType, type Link, NodeRole } from '@toucanbend/wire';
import { createServerController } from './server-controller.js';
import { type BackendServer, ModelBackend, ServiceBackend } from './backend.js';
import { type SideEvent, SideEventType } from './event.js';

/** A running side process. */
export interface Side {
  /** Drains the side: rejects new work and resolves once all requests in flight have ended. */
  leave(): Promise<void>;
  /** Stops the side immediately, without waiting for requests in flight. */
  close(): void;
}

const DRAIN_CHECK_MS = 500;

function createBackend(settings: SideSettings): BackendServer {
  return settings.kind === RequestKind.Model
    ? new ModelBackend(new HttpModelEngine(settings.backend))
    : new ServiceBackend(new HttpPlainService(settings.backend));
}

function schedulerSettings(settings: Settings, side: SideSettings): SchedulerSettings {
  const isService = side.kind === RequestKind.Service;
  return {
    ...defaultSchedulerSettings,
    ...settings.scheduler,
    ...(isService ? { memoryTokens: Number.MAX_SAFE_INTEGER, prefillWindowMs: Number.MAX_SAFE_INTEGER } : {}),
  };
}

/**
 * Starts a side process.
 *
 * @param settings - settings of the process, including the table `side`
 * @param sideSettings - the table `side` of those settings
 * @param clock - clock of the process
 * @returns the side, once it accepts links
 */
export async function startSide(settings: Settings, sideSettings: SideSettings, clock: Clock): Promise<Side> {
  const events = createChannel<SideEvent>();
  const links = new Set<Link>();
  let resolveDrain: () => void = () => undefined;
  let isDraining = false;
  let isStopping = false;
  const node: Node = createNode({ settings, role: NodeRole.Side, clock });

  const controller = createServerController({
    incarnation: node.incarnation,
    settings: sideSettings,
    scheduler: schedulerSettings(settings, sideSettings),
    clock,
    logger: node.logger,
    backend: createBackend(sideSettings),
    raise: (event) => {
      events.send(event);
    },
    onFirstToken: node.metrics.observePrediction,
    onIdle: () => {
      resolveDrain();
    },
  });
  serveChannel(events, controller.handle);
  node.holder.onChange((document) => {
    events.send({ type: SideEventType.Configured, document });
  });

  await node.listen({
    status: () => ({ server: sideSettings.server, ...controller.status() }),
    onFrame: (link, frame) => {
      events.send({ type: SideEventType.Frame, link, frame });
    },
    onLink: (link) => {
      links.add(link);
      if (isDraining) {
        link.send({ type: FrameType.Draining, node: settings.node.name, leaving: true });
      }
      link.onEnd(() => {
        links.delete(link);
        events.send({ type: SideEventType.LinkEnded, link });
      });
    },
  });

  const setDraining = (leaving: boolean, reason: string): void => {
    if (isDraining === leaving) {
      return;
    }
    isDraining = leaving;
    node.logger.decision({ decision: DecisionKind.Leave, request: '', fields: { leaving, reason } });
    links.forEach((link) => {
      link.send({ type: FrameType.Draining, node: settings.node.name, leaving });
    });
    events.send({ type: SideEventType.DrainingSet, leaving });
  };

  /** Follows the host list, which can mark this host as leaving before any signal arrives, and can revert that. */
  const checkHostList = (): void => {
    const host = node.hosts.find(settings.node.name);
    if (host !== undefined && !isStopping) {
      setDraining(host.state === HostState.Leaving, 'host list');
    }
    cancelCheck = clock.after(DRAIN_CHECK_MS, checkHostList);
  };
  let cancelCheck = clock.after(DRAIN_CHECK_MS, checkHostList);

  return {
    leave: () =>
      new Promise((resolve) => {
        resolveDrain = resolve;
        isStopping = true;
        setDraining(true, 'signal');
        events.send({ type: SideEventType.DrainingSet, leaving: true });
      }),
    close: () => {
      cancelCheck();
      events.close();
      node.close();
    },
  };
}
