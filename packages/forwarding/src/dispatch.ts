/** Sends a request to the server that was chosen for it. */
import { type Helper } from '@toucanbend/placement';
import { type BackendServer } from '@toucanbend/registry';
import { type Attempt, type AttemptEvent, startAttempt } from './attempt.js';
import { type CallerRequest } from './caller-request.js';
import { type ForwardingContext } from './context.js';

/** One attempt at a request. */
export interface Dispatch {
  readonly server: BackendServer;
  readonly helpers: readonly Helper[];
  /** Name of the memory that is set aside at the helpers that keep a part. */
  readonly reservation: string;
  /** Id of the last event that the caller has; undefined at the start of a stream. */
  readonly lastEventId: number | undefined;
  readonly timeLeftMs: number;
  readonly report: (event: AttemptEvent) => void;
}

/** Longest time for a connection to a server: several round trips, far below a packet's retransmission. */
const CONNECT_TIMEOUT_MS = 300;
/**
 * Starts an attempt.
 *
 * @param context - clock and dialect
 * @param request - the caller's request
 * @param dispatch - where it goes, and what this attempt says besides
 * @returns the attempt
 */
export function dispatchAttempt(
  context: Pick<ForwardingContext, 'clock' | 'dialect'>,
  request: CallerRequest,
  dispatch: Dispatch,
): Attempt {
  const { clock, dialect } = context;
  const { head, method, path, body, account, rank } = request;
  const { server, helpers, reservation, lastEventId, timeLeftMs, report } = dispatch;
  const headers = dialect.writeAttempt(request.headers, {
    timeLeftMs,
    serverId: server.id,
    account,
    rank,
    lastEventId,
    helpers: helpers.map((helper) => ({
      host: helper.server.host,
      port: helper.server.port,
      reservation: helper.keepsPart ? reservation : undefined,
    })),
  });
  return startAttempt({
    host: server.host,
    port: server.port,
    method,
    path,
    headers,
    body,
    requestId: head.requestId,
    connectTimeoutMs: Math.min(CONNECT_TIMEOUT_MS, timeLeftMs),
    clock,
    dialect,
    report,
  });
}
