/** An address that the process listens on. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}
