/** Describes the composition of a fleet and derives its configuration. */
import { hashKey } from '@toucanbend/core';
import { type EngineOptions } from './engine.js';

/** A model engine or plain service of a fleet. */
export interface BackendPlan {
  readonly name: string;
  readonly dataCentre: string;
  /** Speed of an engine; absent for a plain service. */
  readonly engine?: Omit<EngineOptions, 'port' | 'models'>;
  /** Duration of a call to a plain service, in milliseconds. */
  readonly serviceDelayMs?: number;
  readonly scheduler?: Readonly<Record<string, number>>;
}

/** A client account of a fleet; its key is derived from its name. */
export interface AccountPlan {
  readonly name: string;
  readonly weight?: number;
  readonly defaultRank?: string;
  readonly maxConcurrent?: number;
  readonly closed?: boolean;
}

/** The composition of a fleet. */
export interface FleetPlan {
  readonly dataCentres: readonly { readonly name: string; readonly region: string }[];
  readonly entries: readonly { readonly name: string; readonly dataCentre: string }[];
  readonly backends: readonly BackendPlan[];
  readonly accounts: readonly AccountPlan[];
  readonly ranks?: readonly object[];
  readonly entrySettings?: Readonly<Record<string, number>>;
  readonly sideSettings?: Readonly<Record<string, number>>;
  readonly linkSettings?: Readonly<Record<string, number>>;
  readonly logLevel?: string;
  /** Program that the nodes run, relative to the distribution folder. */
  readonly binary?: string;
  /** One-way delay to the sides of each data centre, in milliseconds, by name; without it there are no relays. */
  readonly relayDelaysMs?: Readonly<Record<string, number>>;
  readonly relayJitterMs?: number;
}

/** Name of the model that every engine of a fleet serves. */
export const MODEL = 'model-a';
/** Name of the plain service that every service of a fleet serves. */
export const SERVICE = 'orders';
/** Path of the non-idempotent call. */
export const CONFIRM_PATH = `/services/${SERVICE}/confirm`;

/** Key of an operator who may change the configuration. */
export const OPERATOR_KEY = 'key-of-the-keeper';
/** Key of an operator with read-only access. */
export const READER_KEY = 'key-of-the-reader';

const defaultRanks = [
  { name: 'urgent', firstTokenTargetMs: 5_000, deadlineMs: 30_000, floor: 0.5 },
  { name: 'standard', firstTokenTargetMs: 10_000, deadlineMs: 60_000, floor: 0.2 },
  { name: 'batch', firstTokenTargetMs: 30_000, deadlineMs: 120_000, floor: 0.1 },
];

/** Properties of a side that the configuration contains. */
interface PlannedSide {
  readonly name: string;
  readonly peerPort: number;
}

function serverOf(backend: BackendPlan, side: PlannedSide, port: number): object {
  return {
    name: backend.name,
    host: side.name,
    dataCentre: backend.dataCentre,
    address: `127.0.0.1:${String(port)}`,
    kind: backend.engine === undefined ? 'service' : 'model',
    serves: [backend.engine === undefined ? SERVICE : MODEL],
    checksFencing: false,
  };
}

/**
 * Returns the bearer key of an account.
 *
 * @param account - name of the account
 * @returns the key that its callers authenticate with
 */
export const keyOf = (account: string): string => `key-of-${account}`;

/**
 * Builds the configuration of a fleet.
 *
 * @param plan - composition and settings of the fleet
 * @param sides - its sides, in the order of their backend servers
 * @param ports - ports of the relays in front of them; empty without relays
 * @returns the configuration
 */
export function documentOf(
  plan: FleetPlan,
  sides: readonly PlannedSide[],
  ports: readonly number[],
): Record<string, unknown> {
  return {
    revision: 1,
    accounts: plan.accounts.map((account) => ({
      weight: 1,
      defaultRank: 'standard',
      maxConcurrent: 10_000,
      ...account,
      keyHashes: [hashKey(keyOf(account.name))],
    })),
    ranks: plan.ranks ?? defaultRanks,
    models: [{ name: MODEL }],
    services: [{ name: SERVICE, nonIdempotent: ['POST /confirm'] }],
    dataCentres: plan.dataCentres,
    operators: [
      { name: 'keeper', keyHashes: [hashKey(OPERATOR_KEY)], write: true },
      { name: 'reader', keyHashes: [hashKey(READER_KEY)], write: false },
    ],
    servers: plan.backends.flatMap((backend, index) => {
      const side = sides[index];
      return side === undefined ? [] : [serverOf(backend, side, ports[index] ?? side.peerPort)];
    }),
  };
}
