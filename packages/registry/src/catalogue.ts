/** What operators declare for the forwarding of requests: routes, services, client accounts, limits. */
import { type EngineParameters } from '@toucanbend/engine-model';

/** What may be done with a request whose fate is in doubt. */
export enum RepeatPolicy {
  /** It may run more than once. */
  Repeatable = 'repeatable',
  /** Its stream may go on at another server, after the last event that was delivered. */
  Resumable = 'resumable',
  /** It may run at most once. */
  Once = 'once',
}

/** The form of a route's answers. */
export enum AnswerForm {
  Whole = 'whole',
  EventStream = 'event_stream',
}

/** A service among those that share a route's requests. */
export interface RouteTarget {
  readonly service: string;
  readonly weight: number;
}

/** Where requests of a host and path go. */
export interface Route {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  readonly targets: readonly RouteTarget[];
  readonly repeat: RepeatPolicy;
  readonly form: AnswerForm;
  /** Longest time that a caller is kept waiting, in milliseconds. */
  readonly timeoutMs: number;
  /** Time within which an answer, or the first event of a stream, is on time, in milliseconds. */
  readonly targetMs: number;
  /** Longest pause between events of a stream that is on time, in milliseconds. */
  readonly targetPauseMs: number;
  /** Order of urgency: 0 is the most urgent. */
  readonly rank: number;
  /** Servers to which one request may be sent at most. */
  readonly attempts: number;
  /** Whether callers need no key. */
  readonly isPublic: boolean;
}

/** A service and what its servers are like. */
export interface Service {
  readonly name: string;
  readonly maxConnections: number;
  readonly engine: EngineParameters | undefined;
}

/** A client account. */
export interface ClientAccount {
  readonly name: string;
  readonly keys: readonly string[];
  /** Goes before the route's rank where it is given. */
  readonly rank: number | undefined;
}

/** What callers may send, and how long they may take. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** All that operators declare, at one version. */
export interface Catalogue {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  readonly accounts: readonly ClientAccount[];
  readonly limits: CallerLimits;
}

/**
 * Finds the route of a request: the longest prefix of its path among the routes of its host.
 *
 * @param catalogue - the catalogue in force
 * @param host - host that the caller named, in lower case
 * @param path - path without a query
 * @returns the route, or undefined where none fits
 */
export function findRoute(catalogue: Catalogue, host: string, path: string): Route | undefined {
  let found: Route | undefined;
  for (const route of catalogue.routes) {
    if (route.host !== host || !path.startsWith(route.pathPrefix)) {
      continue;
    }
    if (found === undefined || route.pathPrefix.length > found.pathPrefix.length) {
      found = route;
    }
  }
  return found;
}

/**
 * Finds the account that holds a key.
 *
 * @param catalogue - the catalogue in force
 * @param key - the key that the caller sent
 * @returns the account, or undefined where none holds the key
 */
export function findAccount(catalogue: Catalogue, key: string): ClientAccount | undefined {
  return catalogue.accounts.find((account) => account.keys.includes(key));
}
