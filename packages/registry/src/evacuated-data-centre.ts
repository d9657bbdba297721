/** Records of data centres that operators have evacuated. */

/** The evacuation of a data centre, which lasts until its record is removed. The name is the id of the record. */
export interface Evacuation {
  readonly dataCentre: string;
}
