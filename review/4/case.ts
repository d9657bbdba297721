/** Sends prompts with a part that crashes each server that begins to write an answer on it, after two events. */
import { runCrashingPart } from '../support/crashing-part.js';

const code = await runCrashingPart({
  recordPath: process.argv[2] ?? 'record.txt',
  isTrouble: process.env.TROUBLE !== '0',
  route: { resumable: false, attempts: 2 },
  // Two events of 44 ms are sent by then. With CRASH_MS=60, one event is, and the rule holds.
  crashMs: Number(process.env.CRASH_MS ?? 100),
  poisonedEvery: 20,
  retries: false,
});
process.exit(code);
