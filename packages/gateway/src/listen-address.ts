/** An address of this process. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}
