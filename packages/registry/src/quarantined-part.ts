/** Records of parts of prompts that must not be sent to the servers of a service. */

/** A part of prompts that crashes the servers of a service. */
export interface QuarantinedPart {
  readonly service: string;
  /** Id of the part, as callers state it. */
  readonly part: string;
  /** End of the quarantine, in milliseconds since 1970. */
  readonly untilMs: number;
}

/**
 * Returns the id of the record of a quarantined part.
 *
 * @param quarantined - the service and the part
 * @returns the id, which is unique among these records
 */
export function quarantineIdOf({ service, part }: Pick<QuarantinedPart, 'service' | 'part'>): string {
  return `${service}/${part}`;
}
