/** The quarantine as one request uses it: whether its prompt is quarantined, and what its attempts show. */
import { type Quarantine } from '@toucanbend/quarantine';
import { type BackendServer } from '@toucanbend/registry';
import { type AttemptFault } from './attempt.js';
import { type CallerRequest } from './caller-request.js';
import { type ForwardingContext } from './context.js';

/** The quarantine as one request uses it. */
export interface RequestQuarantine {
  /** Returns the first quarantined part of the prompt; undefined if there is none. */
  find(): ReturnType<Quarantine['find']>;
  /**
   * Records a failed attempt.
   *
   * @param server - the server that got the request
   * @param fault - why the attempt failed
   * @param events - number of events of the attempt
   */
  recordFailure(server: BackendServer, fault: AttemptFault, events: number): void;
  /**
   * Records further events of an attempt.
   *
   * @param before - number of events of the attempt before
   * @param events - number of events of the attempt now
   */
  recordEvents(before: number, events: number): void;
  /** Records that a successful answer is complete. */
  recordAnswer(): void;
}

/** Number of events up to which an answer counts as just begun; a prompt that crashes its server gets no further. */
const MAX_EVENTS_OF_BEGINNING = 1;

/**
 * Creates the quarantine of one request.
 *
 * @param context - the quarantine of the entry and the clock
 * @param request - the request
 * @returns the quarantine; it does nothing for a request whose prompt has no part that other prompts may have
 */
export function createRequestQuarantine(
  { quarantine, clock }: Pick<ForwardingContext, 'quarantine' | 'clock'>,
  request: CallerRequest,
): RequestQuarantine {
  const parts = request.head.prompt?.sharedParts ?? [];
  const service = request.service.name;
  const recordServed = (): void => {
    if (parts.length > 0) {
      quarantine.served(service, parts);
    }
  };
  return {
    find: () => quarantine.find(service, parts),
    recordFailure: (server, fault, events) => {
      if (fault.isConnectionLost === true && events <= MAX_EVENTS_OF_BEGINNING) {
        const { requestId } = request.head;
        quarantine.lost({ service, server: server.id, request: requestId, parts, atMs: clock.now() });
      }
    },
    recordEvents: (before, events) => {
      if (before <= MAX_EVENTS_OF_BEGINNING && events > MAX_EVENTS_OF_BEGINNING) {
        recordServed();
      }
    },
    recordAnswer: recordServed,
  };
}
