/** The command-line program: its commands, the check of a configuration, and running a role. */
export * from './configuration-check.js';
export * from './exit-code.js';
export * from './program.js';
export * from './run.js';
