/** Sends a request to the server that placement selected. */
import { type Helper } from '@toucanbend/placement';
import { type BackendServer } from '@toucanbend/registry';
import { type Attempt, type AttemptEvent, startAttempt } from './attempt.js';
import { type CallerRequest } from './caller-request.js';
import { type ForwardingContext } from './context.js';

/** The parameters of one attempt. */
export interface DispatchOptions {
  readonly server: BackendServer;
  readonly helpers: readonly Helper[];
  /** Name of the memory reservation at the helpers that keep a part of the prompt. */
  readonly reservation: string;
  /** Id of the last event that was sent to the caller; undefined at the start of a stream. */
  readonly lastEventId: number | undefined;
  readonly timeLeftMs: number;
  readonly report: (event: AttemptEvent) => void;
}

/** Connect timeout, in milliseconds: several round trips, but far below the retransmission timeout of TCP. */
const CONNECT_TIMEOUT_MS = 300;

/**
 * Starts an attempt.
 *
 * @param context - the clock, the dialect and the restrictions of the servers
 * @param request - the caller's request
 * @param dispatch - the server, and the parameters of this attempt
 * @returns the running attempt
 */
export function dispatchAttempt(
  context: Pick<ForwardingContext, 'clock' | 'dialect' | 'restrictions'>,
  request: CallerRequest,
  dispatch: DispatchOptions,
): Attempt {
  const { clock, dialect, restrictions } = context;
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
  const sentAtMs = clock.now();
  if (helpers.some(({ keepsPart }) => keepsPart)) {
    // The request was counted before memory was reserved, and is sent only now.
    restrictions.countOwnRequest(server.id, sentAtMs);
  }
  return startAttempt({
    host: server.host,
    port: server.port,
    method,
    path,
    headers,
    body,
    requestId: head.requestId,
    form: request.route.form,
    connectTimeoutMs: Math.min(CONNECT_TIMEOUT_MS, timeLeftMs),
    clock,
    dialect,
    report,
    onNotice: (notice) => {
      restrictions.stated(server, notice, { requestId: head.requestId, sentAtMs });
    },
  });
}
