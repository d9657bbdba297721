/** Records of what crashes servers and must not be sent to them. */

/** The kinds of what can crash a server. */
export enum CrashCauseKind {
  /** A part of prompts, whatever else they hold. */
  PromptPart = 'part',
  /** One request, each time that its caller sends it. */
  Request = 'request',
}

/** Something in requests that can crash servers. */
export interface CrashCause {
  readonly kind: CrashCauseKind;
  /** Id of the part, as callers state it, or digest of the request. */
  readonly id: string;
}

/** A cause that has crashed the servers of a service. */
export interface QuarantinedCause extends CrashCause {
  readonly service: string;
  /** End of the quarantine, in milliseconds since 1970. */
  readonly untilMs: number;
}

/**
 * Returns the id of the record of a quarantined cause.
 *
 * @param quarantined - the service and the cause
 * @returns the id, which is unique among these records
 */
export function quarantineIdOf({
  service,
  kind,
  id,
}: Pick<QuarantinedCause, 'service' | 'kind' | 'id'>): string {
  return `${service}/${kind}/${id}`;
}
