/** Sends few prompts with a part that crashes servers, on a route whose streams are resumed, from clients that retry once. */
import { runCrashingPart } from '../support/crashing-part.js';

const common = { recordPath: process.argv[2] ?? 'record.txt', isTrouble: process.env.TROUBLE !== '0' };
const code =
  process.env.VARIANT === 'two-events'
    ? // Not the case, see REPORT.md: no client retries, and two events of 44 ms are sent before the crash.
      await runCrashingPart({
        ...common,
        route: { resumable: false, attempts: 2 },
        crashMs: Number(process.env.CRASH_MS ?? 100),
        poisonedEvery: 20,
        retries: false,
      })
    : await runCrashingPart({
        ...common,
        route: { resumable: true, attempts: 2 },
        // Before the first event of 44 ms is sent, so that the entry answers 502 and the client may send the prompt again.
        crashMs: 30,
        // At 30 prompts a second, one every four seconds. With EVERY=20, 1.5 a second, the rule holds.
        poisonedEvery: Number(process.env.EVERY ?? 120),
        retries: true,
      });
process.exit(code);
