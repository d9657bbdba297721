/** The quarantine as one request uses it: whether the request is quarantined, and what its attempts show. */
import { causesOf, type FoundCause, type RequestSuspects } from '@toucanbend/quarantine';
import { type CallerRequest, digestOf } from './caller-request.js';
import { type ForwardingContext } from './context.js';

/** Records what an attempt shows about its request and its server. */
export interface AttemptWatch {
  /** Records that a part of the answer has arrived. */
  progressed(): void;
  /**
   * Records that an answer is complete. Only a successful one that no earlier attempt has begun shows that the server has
   * survived the request: a part that crashes servers after some time lets the rest of a resumed answer through.
   */
  answered(isSuccess: boolean): void;
  /** Records that the connection was lost after it was established. */
  lost(): void;
  /** Records that nobody waits for the answer any more; the attempt is lost if its server ends soon. */
  abandoned(): void;
  /** Records that the attempt has ended in a way that tells nothing about its server, or was not sent. */
  ended(): void;
}

/** The quarantine as one request uses it. */
export interface RequestQuarantine {
  /** Returns the first quarantined cause of the request; undefined if there is none. */
  find(): FoundCause | undefined;
  /** Returns whether it will be decided shortly whether a cause of the request is quarantined. */
  isUnderDecision(): boolean;
  /**
   * Watches an attempt that is sent now.
   *
   * @param server - id of the run of the server
   * @param isResumed - whether the answer goes on after events that the caller has
   * @returns records what the attempt shows; an attempt of which nothing is recorded is lost if its server ends
   */
  watch(server: string, isResumed: boolean): AttemptWatch;
}

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
  return {
    find: () => quarantine.find(service, suspects),
    isUnderDecision: () => quarantine.isUnderDecision(service, suspects),
    watch: (server, isResumed) => {
      const { digest, parts } = suspects;
      const attempt = {
        service,
        server,
        request: request.head.requestId,
        digest,
        parts,
        sentAtMs: clock.now(),
      };
      quarantine.sent(attempt);
      return {
        progressed: () => {
          quarantine.progressed(attempt);
        },
        answered: (isSuccess) => {
          quarantine.progressed(attempt);
          quarantine.ended(attempt);
          if (isSuccess && !isResumed) {
            quarantine.served(service, causesOf(attempt));
          }
        },
        lost: () => {
          quarantine.lost(attempt);
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
