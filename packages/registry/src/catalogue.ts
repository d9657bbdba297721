/** The configuration that operators declare for forwarding: routes, services, client accounts and limits. */
import { type EngineParameters } from '@toucanbend/engine-model';

/** Whether a request may be sent again while its earlier attempt is in doubt. */
export enum RepeatPolicy {
  /** The request may run more than once. */
  Repeatable = 'repeatable',
  /** Its stream may resume at another server, after the last event that was delivered. */
  Resumable = 'resumable',
  /** The request may run at most once. */
  Once = 'once',
}

/** How a route's answers are delivered: as one body or as a stream of events. */
export enum AnswerForm {
  Whole = 'whole',
  EventStream = 'event_stream',
}

/** A service that receives a share of a route's requests, in proportion to its weight. */
export interface RouteTarget {
  readonly service: string;
  readonly weight: number;
}

/** Maps requests to a host and path prefix to services, and sets their limits and rank. */
export interface Route {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  readonly targets: readonly RouteTarget[];
  readonly repeat: RepeatPolicy;
  readonly form: AnswerForm;
  /** Maximum time that a caller waits, in milliseconds. */
  readonly timeoutMs: number;
  /** Target for the time to the answer, or to the first event of a stream, in milliseconds. */
  readonly targetMs: number;
  /** Target for the pause between events of a stream, in milliseconds. */
  readonly targetPauseMs: number;
  /** Rank of the route's requests; 0 is the most urgent. */
  readonly rank: number;
  /** Maximum number of servers that one request may be sent to. */
  readonly attempts: number;
  /** Whether requests are accepted without a key. */
  readonly isPublic: boolean;
}

/** A service and the parameters of its servers. */
export interface Service {
  readonly name: string;
  readonly maxConnections: number;
  readonly engine: EngineParameters | undefined;
  /** Time for which a server is cold after its start, in milliseconds; 0 or undefined if its servers are never cold. */
  readonly coldMs?: number;
  /** Requests per second that a cold server gets from all entries together; 0 or undefined if there is no such limit. */
  readonly coldPerSecond?: number;
}

/** A client account and the keys that its callers authenticate with. */
export interface ClientAccount {
  readonly name: string;
  readonly keys: readonly string[];
  /** Overrides the route's rank if defined. */
  readonly rank: number | undefined;
}

/** Limits of the size of requests and of the time to receive them. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of the complete declared configuration. */
export interface Catalogue {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  readonly accounts: readonly ClientAccount[];
  readonly limits: CallerLimits;
}

/**
 * Finds the route of a request: among the routes of its host, the one with the longest matching path prefix.
 *
 * @param catalogue - the catalogue in force
 * @param host - host that the request names, in lower case
 * @param path - path without a query
 * @returns the route, or undefined if none matches
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
 * @param key - the key of the request
 * @returns the account, or undefined if no account holds the key
 */
export function findAccount(catalogue: Catalogue, key: string): ClientAccount | undefined {
  return catalogue.accounts.find((account) => account.keys.includes(key));
}
