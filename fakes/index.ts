/** Exports the demonstration, which runs the system end to end in one process with fakes. */
export { runDemonstration } from './demonstration.js';
