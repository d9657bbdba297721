/** What a backend server states in one answer about the requests that it accepts. */

/** Rate limit of a server that states none. */
export const UNLIMITED = Number.POSITIVE_INFINITY;

/** What a server states in one answer. */
export interface ServerNotice {
  /**
   * Requests per second that the server accepts from all entries together; `UNLIMITED` if the answer states no limit, and
   * undefined if it states an invalid one.
   */
  readonly limitPerSecond: number | undefined;
  /** Whether the server is about to stop. */
  readonly isLeaving: boolean;
  /** Time for which the server wants no more requests from this entry, in milliseconds; undefined if it states none. */
  readonly backOffMs: number | undefined;
  /** The invalid statements, as `name: value`; they have no effect. */
  readonly invalid: readonly string[];
}

/** The notice of an answer that states nothing. */
export const emptyNotice: ServerNotice = {
  limitPerSecond: UNLIMITED,
  isLeaving: false,
  backOffMs: undefined,
  invalid: [],
};
