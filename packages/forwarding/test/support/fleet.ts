/** Several entries that send one another their updates. */
import { createManualClock, type ManualClock } from '@toucanbend/core';
import { startTestGateway, type TestGateway, type TestGatewayOptions } from './gateway.js';
import {
  callAs,
  type CallerResult,
  type Script,
  type ScriptedServer,
  startScriptedServer,
} from './scripted-server.js';

/**
 * Starts entries in front of the same backend servers.
 *
 * @param count - number of entries
 * @param ports - ports of the backend servers
 * @param options - deviations from the defaults, for all entries
 * @returns the entries, when they listen
 */
export async function startFleet(
  count: number,
  ports: readonly number[],
  options: TestGatewayOptions = {},
): Promise<readonly TestGateway[]> {
  const fleet: TestGateway[] = [];
  for (let index = 0; index < count; index += 1) {
    const entry = `entry-${String(index + 1)}`;
    const others = (): TestGateway[] => fleet.filter((_, other) => other !== index);
    const gateway = await startTestGateway(ports, {
      ...options,
      entry,
      entries: count,
      onRestriction: (update) => {
        others().forEach((other) => {
          other.receiveRestriction(update);
        });
      },
      onUpdate: (update) => {
        others().forEach((other) => {
          other.receive(entry, update);
        });
      },
    });
    fleet.push(gateway);
  }
  return fleet;
}

/** Entries on a manual clock in front of scripted servers. */
export interface FleetDeployment {
  readonly clock: ManualClock;
  readonly servers: readonly ScriptedServer[];
  /** Sends a request to an entry, which is given by its index. */
  call(entry: number, path: string): Promise<CallerResult>;
  close(): void;
}

/**
 * Starts scripted servers and entries in front of them.
 *
 * @param entries - number of entries
 * @param scripts - one for each server
 * @returns the deployment
 */
export async function startFleetDeployment(
  entries: number,
  ...scripts: readonly Script[]
): Promise<FleetDeployment> {
  const clock = createManualClock();
  const servers = await Promise.all(scripts.map(startScriptedServer));
  const fleet = await startFleet(
    entries,
    servers.map(({ port }) => port),
    { clock },
  );
  let calls = 0;
  return {
    clock,
    servers,
    call: (entry, path) => {
      calls += 1;
      const headers = { 'request-id': `r${String(calls)}` };
      return callAs({ port: fleet[entry]?.port ?? 0, path, headers }).result;
    },
    close: () => {
      [...fleet, ...servers].forEach((item) => {
        item.close();
      });
    },
  };
}
