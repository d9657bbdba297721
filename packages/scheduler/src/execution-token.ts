/**
 * Execution tokens: each permits one execution of a call that must not be repeated.
 *
 * A token is valid only in the table of the side process that minted it. Each process starts with an empty table, so
 * a token minted by an earlier process is rejected.
 */

/** State of a token. */
export enum ExecutionState {
  Minted = 'minted',
  Running = 'running',
  Finished = 'finished',
  Voided = 'voided',
}

/** Token table of one side process. */
export interface ExecutionTable {
  readonly incarnation: string;
  readonly nextSerial: number;
  readonly entries: ReadonlyMap<string, ExecutionEntry>;
}

/** Table entry of one token. */
export interface ExecutionEntry {
  readonly state: ExecutionState;
  /** Time at which a minted token is voided, or a finished or voided one is removed. */
  readonly expiresAtMs: number;
}

/** Verdict on a submitted token. */
export enum SubmitVerdict {
  /** The call may be dispatched now; no later submission gets this verdict. */
  Run = 'run',
  /** The call is running or has finished; the submitter may wait for its answer. */
  Join = 'join',
  /** The call has not run under this token and never will. */
  Void = 'void',
  /** The token belongs to another process or was removed from the table; the call may have run. */
  Unknown = 'unknown',
}

/** Result of an operation together with the updated table. */
export interface TableResult<Value> {
  readonly table: ExecutionTable;
  readonly value: Value;
}

const VOID_RETENTION_MS = 600_000;

/**
 * Creates an empty table.
 *
 * @param incarnation - identifier of the side process, which prefixes its tokens
 * @returns the table
 */
export function createExecutionTable(incarnation: string): ExecutionTable {
  return { incarnation, nextSerial: 1, entries: new Map() };
}

function withEntry(table: ExecutionTable, token: string, entry: ExecutionEntry): ExecutionTable {
  return { ...table, entries: new Map(table.entries).set(token, entry) };
}

/**
 * Mints a token.
 *
 * @param table - the table
 * @param expiresAtMs - time at which the token is voided if it has not been submitted
 * @returns the token and the updated table
 */
export function mintToken(table: ExecutionTable, expiresAtMs: number): TableResult<string> {
  const token = `${table.incarnation}/${String(table.nextSerial)}`;
  const next = withEntry(table, token, { state: ExecutionState.Minted, expiresAtMs });
  return { value: token, table: { ...next, nextSerial: table.nextSerial + 1 } };
}

/**
 * Checks a submitted token; a minted one that has not expired becomes running.
 *
 * @param table - the table
 * @param token - the token
 * @param nowMs - current time, in milliseconds
 * @returns the verdict and the updated table
 */
export function submitToken(table: ExecutionTable, token: string, nowMs: number): TableResult<SubmitVerdict> {
  const entry = table.entries.get(token);
  if (entry === undefined) {
    return { table, value: SubmitVerdict.Unknown };
  }
  switch (entry.state) {
    case ExecutionState.Minted:
      return nowMs >= entry.expiresAtMs
        ? { table: voidToken(table, token, nowMs), value: SubmitVerdict.Void }
        : {
            table: withEntry(table, token, { ...entry, state: ExecutionState.Running }),
            value: SubmitVerdict.Run,
          };
    case ExecutionState.Running:
    case ExecutionState.Finished:
      return { table, value: SubmitVerdict.Join };
    case ExecutionState.Voided:
      return { table, value: SubmitVerdict.Void };
  }
}

/**
 * Voids a token that has not been submitted; a token in any other state is unchanged.
 *
 * @param table - the table
 * @param token - the token
 * @param nowMs - current time, in milliseconds
 * @returns the updated table
 */
export function voidToken(table: ExecutionTable, token: string, nowMs: number): ExecutionTable {
  const entry = table.entries.get(token);
  if (entry?.state !== ExecutionState.Minted) {
    return table;
  }
  return withEntry(table, token, { state: ExecutionState.Voided, expiresAtMs: nowMs + VOID_RETENTION_MS });
}

/**
 * Voids a running token whose call is known not to have reached the backend server; a token in any other state is
 * unchanged.
 *
 * @param table - the table
 * @param token - the token
 * @param nowMs - current time, in milliseconds
 * @returns the updated table
 */
export function retractToken(table: ExecutionTable, token: string, nowMs: number): ExecutionTable {
  const entry = table.entries.get(token);
  if (entry?.state !== ExecutionState.Running) {
    return table;
  }
  return withEntry(table, token, { state: ExecutionState.Voided, expiresAtMs: nowMs + VOID_RETENTION_MS });
}

/**
 * Records that the call of a token has ended. Unknown tokens are ignored.
 *
 * @param table - the table
 * @param token - the token
 * @param retainUntilMs - time until which the call's answer is retained
 * @returns the updated table
 */
export function finishToken(table: ExecutionTable, token: string, retainUntilMs: number): ExecutionTable {
  if (!table.entries.has(token)) {
    return table;
  }
  return withEntry(table, token, { state: ExecutionState.Finished, expiresAtMs: retainUntilMs });
}

/**
 * Voids expired minted tokens and removes finished and voided tokens whose retention has expired.
 *
 * @param table - the table
 * @param nowMs - current time, in milliseconds
 * @returns the updated table and the tokens that were removed
 */
export function expireTokens(table: ExecutionTable, nowMs: number): TableResult<string[]> {
  const entries = new Map<string, ExecutionEntry>();
  const removed: string[] = [];
  for (const [token, entry] of table.entries) {
    const isExpired = nowMs >= entry.expiresAtMs && entry.state !== ExecutionState.Running;
    if (isExpired && entry.state === ExecutionState.Minted) {
      entries.set(token, { state: ExecutionState.Voided, expiresAtMs: nowMs + VOID_RETENTION_MS });
    } else if (isExpired) {
      removed.push(token);
    } else {
      entries.set(token, entry);
    }
  }
  return { table: { ...table, entries }, value: removed };
}
