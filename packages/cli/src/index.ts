/** The command-line program: its commands, and running a role. */
export * from './program.js';
export * from './run.js';
