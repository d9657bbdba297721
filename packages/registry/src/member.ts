/** Backend servers and entries, as they register themselves. */

/** Whether a server takes new work. */
export enum ServerState {
  Ready = 'ready',
  Leaving = 'leaving',
}

/** A backend server. */
export interface BackendServer {
  /** Name of one run of the server; a restarted server mostly has a new one. */
  readonly id: string;
  readonly service: string;
  readonly host: string;
  readonly port: number;
  readonly dataCentre: string;
  readonly slots: number;
  readonly state: ServerState;
  /** Start of this run, in milliseconds since 1970; 0 where it is not known. */
  readonly bornAtMs: number;
}

/** An entry, as other entries find it. */
export interface EntryMember {
  readonly name: string;
  readonly address: string;
  readonly dataCentre: string;
}
