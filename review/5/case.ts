/** Sends few prompts with a part that crashes servers, on a route whose streams are resumed, from clients that retry once. */
import { runCrashingPart } from '../support/crashing-part.js';

const code = await runCrashingPart({
  recordPath: process.argv[2] ?? 'record.txt',
  isTrouble: process.env.TROUBLE !== '0',
  route: { resumable: true, attempts: 2 },
  // Before the first event of 44 ms is sent, so that the entry answers 502 and the client may send the prompt again.
  crashMs: 30,
  // At 30 prompts a second, one every four seconds. With EVERY=20, 1.5 a second, the rule holds.
  poisonedEvery: Number(process.env.EVERY ?? 120),
  retries: true,
});
process.exit(code);
