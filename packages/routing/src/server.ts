/** Locations of backend servers relative to an entry. */

/** A backend server that is a candidate for a request. */
export interface CandidateServer {
  readonly name: string;
  readonly dataCentre: string;
  readonly region: string;
}

/** Network distance class between a server and an entry. */
export enum Distance {
  SameDataCentre = 0,
  SameRegion = 1,
  OtherRegion = 2,
}

/** Location of an entry. */
export interface Location {
  readonly dataCentre: string;
  readonly region: string;
}

/**
 * Returns the distance class of a server.
 *
 * @param server - the server
 * @param from - location of the entry
 * @returns the distance class
 */
export function distanceTo(server: CandidateServer, from: Location): Distance {
  if (server.dataCentre === from.dataCentre) {
    return Distance.SameDataCentre;
  }
  return server.region === from.region ? Distance.SameRegion : Distance.OtherRegion;
}
