/** Entry point of the command-line program. */
import { createProgram } from './program.js';

void createProgram()
  .parseAsync(process.argv)
  .catch((error: unknown) => {
    const message = error instanceof Error ? error.message : String(error);
    // A role that could not start may have opened ports, which would keep the process from ending.
    process.stderr.write(`${message}\n`, () => process.exit(1));
  });
