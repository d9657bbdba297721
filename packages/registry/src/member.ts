/** Registrations of backend servers and entries. */

/** Whether a server accepts new work. */
export enum ServerState {
  Ready = 'ready',
  Leaving = 'leaving',
}

/** Registration of a backend server. */
export interface BackendServer {
  /** Identifier of one run of the server; a restarted server usually has a new one. */
  readonly id: string;
  readonly service: string;
  readonly host: string;
  readonly port: number;
  readonly dataCentre: string;
  readonly slots: number;
  readonly state: ServerState;
  /** Start of this run, in milliseconds since 1970; 0 if unknown. */
  readonly bornAtMs: number;
}

/** Registration of an entry, by which other entries discover it. */
export interface EntryMember {
  readonly name: string;
  readonly address: string;
  readonly dataCentre: string;
}
