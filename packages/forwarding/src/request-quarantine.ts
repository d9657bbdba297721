/** The quarantine as one request uses it: whether the request is quarantined, and what its attempts show. */
import { causesOf, type FoundCause, type RequestSuspects } from '@toucanbend/quarantine';
import { type CrashCause, CrashCauseKind } from '@toucanbend/registry';
import { type CallerRequest, digestOf } from './caller-request.js';
import { type ForwardingContext } from './context.js';

/** Records what an attempt shows about its request and its server. */
export interface AttemptWatch {
  /**
   * Records that a part of the answer has arrived.
   *
   * @param events - number of events of the attempt so far
   */
  progressed(events: number): void;
  /** Records that an answer is complete; only a successful one shows that the server has survived the request. */
  answered(isSuccess: boolean): void;
  /**
   * Records that the connection was lost after it was established.
   *
   * @param events - number of events of the attempt until then
   */
  lost(events: number): void;
  /** Records that nobody waits for the answer any more; the attempt is lost if its server ends soon. */
  abandoned(): void;
  /** Records that the attempt has ended in a way that tells nothing about its server, or was not sent. */
  ended(): void;
}

/** The quarantine as one request uses it. */
export interface RequestQuarantine {
  /** Returns the first quarantined cause of the request; undefined if there is none. */
  find(): FoundCause | undefined;
  /**
   * Watches an attempt that is sent now.
   *
   * @param server - id of the run of the server
   * @returns records what the attempt shows; an attempt of which nothing is recorded is lost if its server ends
   */
  watch(server: string): AttemptWatch;
}

/** Number of events up to which an answer counts as just begun; a prompt that crashes its server gets no further. */
const MAX_EVENTS_OF_BEGINNING = 1;

/** Returns what in a request can crash a server. The digest is computed when it is needed first. */
function suspectsOf(request: CallerRequest): RequestSuspects {
  let digest: string | undefined;
  return {
    get digest() {
      digest ??= digestOf(request);
      return digest;
    },
    parts: request.head.prompt?.sharedParts ?? [],
  };
}

/**
 * Creates the quarantine of one request.
 *
 * @param context - the quarantine of the entry and the clock
 * @param request - the request
 * @returns the quarantine
 */
export function createRequestQuarantine(
  { quarantine, clock }: Pick<ForwardingContext, 'quarantine' | 'clock'>,
  request: CallerRequest,
): RequestQuarantine {
  const suspects = suspectsOf(request);
  const service = request.service.name;
  const isPart = ({ kind }: CrashCause): boolean => kind === CrashCauseKind.PromptPart;
  return {
    find: () => quarantine.find(service, suspects),
    watch: (server) => {
      const { digest, parts } = suspects;
      const attempt = {
        service,
        server,
        request: request.head.requestId,
        digest,
        parts,
        sentAtMs: clock.now(),
      };
      let hasOnlyBegun = true;
      quarantine.sent(attempt);
      return {
        progressed: (events) => {
          quarantine.progressed(attempt, events <= MAX_EVENTS_OF_BEGINNING);
          if (hasOnlyBegun && events > MAX_EVENTS_OF_BEGINNING) {
            hasOnlyBegun = false;
            quarantine.served(service, causesOf(attempt).filter(isPart));
          }
        },
        answered: (isSuccess) => {
          quarantine.progressed(attempt);
          quarantine.ended(attempt);
          if (isSuccess) {
            quarantine.served(service, causesOf(attempt));
          }
        },
        lost: (events) => {
          quarantine.lost(attempt, events <= MAX_EVENTS_OF_BEGINNING);
        },
        abandoned: () => {
          quarantine.abandoned(attempt);
        },
        ended: () => {
          quarantine.ended(attempt);
        },
      };
    },
  };
}
