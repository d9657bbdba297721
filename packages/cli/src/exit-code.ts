/** How the program ends. */

/** Exit codes of the program. */
export enum ExitCode {
  Success = 0,
  Failure = 1,
  /** The command line, or a file or store that it names, cannot be read, or a settings file is invalid. */
  Usage = 2,
  /** A second signal ended the process while requests were in flight. */
  Interrupted = 130,
}
