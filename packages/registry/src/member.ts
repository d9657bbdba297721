/** Registrations of backend servers and entries. */

/** Whether a server accepts new work. */
export enum ServerState {
  Ready = 'ready',
  Leaving = 'leaving',
}

/** Registration of a backend server. */
export interface BackendServer {
  /** Identifier of the server; a restarted one usually has a new one, but not always. */
  readonly id: string;
  readonly service: string;
  readonly host: string;
  readonly port: number;
  readonly dataCentre: string;
  readonly slots: number;
  readonly state: ServerState;
  /** Start of this run, in milliseconds since 1970; 0 if unknown. */
  readonly bornAtMs: number;
  /** Time for which the server was still cold when it wrote its record, in milliseconds; undefined if it was not. */
  readonly coldMs?: number;
}

/**
 * Identifies one run of a server: a server may start again under the id that it had.
 *
 * @param server - the id and the start of the run
 * @returns an id that no other run has
 */
export function runIdOf({ id, bornAtMs }: Pick<BackendServer, 'id' | 'bornAtMs'>): string {
  return `${id}@${String(bornAtMs)}`;
}

/** Registration of an entry, by which other entries discover it. */
export interface EntryMember {
  readonly name: string;
  readonly address: string;
  readonly dataCentre: string;
}
