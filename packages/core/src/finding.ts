/** Findings: the problems that a validation reports. */

/** A problem found by a validation. */
export interface Finding {
  /** The location of the problem: a file, a line or a key path. */
  readonly place: string;
  /** A human-readable description of the problem. */
  readonly message: string;
}

/**
 * Formats findings as lines of text.
 *
 * @param findings - the findings
 * @returns one line per finding, `PLACE: MESSAGE`, joined by line feeds
 */
export function formatFindings(findings: readonly Finding[]): string {
  return findings.map((finding) => `${finding.place}: ${finding.message}`).join('\n');
}

/** An issue reported by a schema validation, with the key path of the invalid value. */
export interface CheckIssue {
  readonly path: readonly PropertyKey[];
  readonly message: string;
}

/**
 * Converts the issues of a schema validation to findings.
 *
 * @param issues - the issues
 * @param source - the name of the validated input, such as a file name
 * @returns one finding per issue
 */
export function findingsOf(issues: readonly CheckIssue[], source: string): Finding[] {
  return issues.map((issue) => ({
    place: issue.path.length === 0 ? source : `${source}: ${issue.path.map(String).join('.')}`,
    message: issue.message,
  }));
}
