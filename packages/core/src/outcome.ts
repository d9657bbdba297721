/** The outcomes of requests, and the reasons for them. */

/** The final result of a request. */
export enum Outcome {
  /** The whole answer was delivered. */
  Complete = 'complete',
  /** The request did not run and will not run later. */
  NotRun = 'not_run',
  /** The request may have run, partly or completely. */
  Unknown = 'unknown',
}

/** The reason for which a request was rejected or ended. */
export enum Reason {
  None = 'none',
  DeadlineUnreachable = 'deadline_unreachable',
  DeadlinePassed = 'deadline_passed',
  QueueFull = 'queue_full',
  AccountLimit = 'account_limit',
  BeyondMemory = 'beyond_memory',
  Leaving = 'leaving',
  NotServed = 'not_served',
  NoServer = 'no_server',
  ServerFailed = 'server_failed',
  LinkLost = 'link_lost',
  TokenVoid = 'token_void',
  StoreUnavailable = 'store_unavailable',
  Cancelled = 'cancelled',
  NotReady = 'not_ready',
  KeyReused = 'key_reused',
}
