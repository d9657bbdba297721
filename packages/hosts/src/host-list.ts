/** Polls the platform's host list of live and leaving hosts; the list lags behind the hosts' actual state. */
import { get } from 'node:http';
import { type CancelTimer, type Clock, createByteBuffer } from '@toucanbend/core';
import { z } from 'zod';

/** State of a host in the list. */
export enum HostState {
  Live = 'live',
  Leaving = 'leaving',
}

const hostSchema = z.object({
  name: z.string(),
  dataCentre: z.string(),
  state: z.enum(HostState),
  /** `IP:PORT` on which the entry or side on the host listens for peers. */
  address: z.string(),
  role: z.enum(['entry', 'side']),
});
const hostListSchema = z.object({ hosts: z.array(hostSchema) });

/** A host in the list. */
export type Host = z.infer<typeof hostSchema>;

/** The host list as last received. */
export interface HostList {
  /** Returns the hosts; undefined until a poll has succeeded. */
  hosts(): readonly Host[] | undefined;
  /** Finds a host by name. */
  find(name: string): Host | undefined;
  /** Stops polling. */
  stop(): void;
}

/** Limit on the list in bytes: a thousand times the length of the record of one host. */
const MAX_LIST_BYTES = 1024 * 1024;

function fetchList(url: URL, timeoutMs: number): Promise<readonly Host[] | undefined> {
  return new Promise((resolve) => {
    const request = get(url, { timeout: timeoutMs }, (answer) => {
      const received = createByteBuffer();
      answer.on('data', (chunk: Buffer) => {
        if (received.length() + chunk.length > MAX_LIST_BYTES) {
          request.destroy();
        } else {
          received.add(chunk);
        }
      });
      answer.on('error', () => {
        resolve(undefined);
      });
      answer.on('end', () => {
        resolve(parseList(received.bytes().toString()));
      });
    });
    request.on('timeout', () => request.destroy());
    request.on('error', () => {
      resolve(undefined);
    });
  });
}

function parseList(text: string): readonly Host[] | undefined {
  try {
    return hostListSchema.safeParse(JSON.parse(text)).data?.hosts;
  } catch {
    return undefined;
  }
}

/**
 * Starts polling the host list. A failed poll leaves the hosts of the last successful one in place.
 *
 * @param address - `IP:PORT` of the service that serves the list
 * @param intervalMs - time between polls, and time-out of each poll, in milliseconds
 * @param clock - times the interval
 * @param onChange - called after each successful poll, also if no host changed
 * @returns the list
 */
export function createHostList(
  address: string,
  intervalMs: number,
  clock: Clock,
  onChange: () => void = () => undefined,
): HostList {
  const url = new URL(`http://${address}/hosts`);
  let hosts: readonly Host[] | undefined;
  let byName = new Map<string, Host>();
  let stopped = false;
  let cancel: CancelTimer = () => undefined;
  const poll = async (): Promise<void> => {
    const answer = await fetchList(url, intervalMs);
    if (answer !== undefined) {
      hosts = answer;
      byName = new Map(answer.map((host) => [host.name, host]));
      onChange();
    }
    if (!stopped) {
      cancel = clock.after(intervalMs, () => void poll());
    }
  };
  void poll();
  return {
    hosts: () => hosts,
    find: (name) => byName.get(name),
    stop: () => {
      stopped = true;
      cancel();
    },
  };
}
