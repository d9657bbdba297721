/** Entry point of the command-line program. */
import { createProgram } from './program.js';

void createProgram()
  .parseAsync(process.argv)
  .catch((error: unknown) => {
    process.stderr.write(`${error instanceof Error ? error.message : String(error)}\n`);
    process.exitCode = 1;
  });
