/** Type declarations for the part of js-csp that this package uses. */
declare module 'js-csp' {
  export interface Instruction {
    readonly instruction?: never;
  }
  export interface Chan {
    close(): void;
    isClosed(): boolean;
  }
  export interface AltsResult {
    readonly value: unknown;
    readonly channel: Chan;
  }
  interface Csp {
    readonly CLOSED: null;
    chan(buffer?: object): Chan;
    go(body: (...parameters: never[]) => Generator<unknown, unknown, unknown>): Chan;
    take(channel: Chan): Instruction;
    offer(channel: Chan, value: unknown): boolean;
    alts(operations: Chan[], options?: { priority: boolean }): Instruction;
  }
  const csp: Csp;
  export default csp;
}
