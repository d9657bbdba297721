// Plants one mistake at a time in a copy of the tree and checks that the tests named for it fail.
import { spawnSync } from 'node:child_process';
import {
  cpSync,
  mkdirSync,
  mkdtempSync,
  readdirSync,
  readFileSync,
  rmSync,
  symlinkSync,
  writeFileSync,
} from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

/** Each mistake: the promise it breaks, where it is planted, and the tests that must see it. */
const mutants = [
  {
    promise: 'at most once',
    mistake: 'a token that is running is run again',
    file: 'packages/scheduler/src/execution-token.ts',
    from: 'return { table, value: SubmitVerdict.Join };',
    to: 'return { table, value: SubmitVerdict.Run };',
    tests: 'execution-token',
  },
  {
    promise: 'at most once',
    mistake: 'a token of a dead process is run',
    file: 'packages/entry/src/call.ts',
    from: 'if (!grant.token.startsWith(`${link.value.peer.incarnation}/`)) {',
    to: 'if (grant.token === "") {',
    file2: 'packages/scheduler/src/execution-token.ts',
    from2: 'return { table, value: SubmitVerdict.Unknown };',
    to2: 'return { table, value: SubmitVerdict.Run };',
    tests: 'once.test',
  },
  {
    promise: '"not run" is true',
    mistake: 'an attempt in doubt is called not run',
    file: 'packages/entry/src/completion.ts',
    from: 'this.#progress.inDoubt ? Outcome.Unknown : Outcome.NotRun',
    to: 'Outcome.NotRun',
    file2: 'packages/entry/src/completion.ts',
    from2: 'return { outcome: Outcome.Unknown, reason: end.reason, retryAfterMs: 0 };',
    to2: 'return { outcome: Outcome.NotRun, reason: end.reason, retryAfterMs: 0 };',
    tests: 'streams.test',
  },
  {
    promise: 'the whole answer',
    mistake: 'tokens that came before are taken again',
    file: 'packages/entry/src/completion.ts',
    from: 'const fresh = frame.tokens.slice(Math.max(0, delivered.length - frame.offset));',
    to: 'const fresh = frame.tokens;',
    file2: 'packages/side/src/tracked-request.ts',
    from2: 'request.tokens.slice(Math.max(0, offset - request.deliveredTokens))',
    to2: 'request.tokens.slice(0)',
    tests: 'streams.test',
  },
  {
    promise: 'in time',
    mistake: 'the entry waits past the deadline',
    file: 'packages/entry/src/completion.ts',
    from: 'return this.#request.deadlineAtMs - this',
    to: 'return 5_000 + this.#request.deadlineAtMs - this',
    tests: 'streams.test',
  },
  {
    promise: 'no memory lost',
    mistake: 'requests of a dead entry are kept',
    file: 'packages/side/src/request-registry.ts',
    from: 'orphans.push(request);',
    to: 'continue;',
    tests: 'streams.test',
  },
  {
    promise: 'memory is never exceeded',
    mistake: 'what runs is not counted',
    file: 'packages/scheduler/src/order.ts',
    from: 'total += job.memoryTokens;',
    to: 'total += 0 * job.memoryTokens;',
    tests: 'scheduler.test',
  },
  {
    promise: 'leaving servers get no new work',
    mistake: 'a side that leaves goes on taking work',
    file: 'packages/side/src/side.ts',
    from: 'events.send({ type: SideEventType.DrainingSet, leaving });',
    to: '',
    file2: 'packages/scheduler/src/admission.ts',
    from2: 'if (state.leaving) {',
    to2: 'if (state.settings.maxQueued < 0) {',
    file3: 'packages/entry/src/exchange.ts',
    from3: 'directory.markLeaving(link.peer.node, frame.leaving);',
    to3: '',
    tests: 'leaving.test',
  },
  {
    promise: 'the configuration never reverts',
    mistake: 'an older document is taken',
    file: 'packages/configuration/src/holder.ts',
    from: 'if (ready && document.revision < current.revision) {',
    to: 'if (ready && document.revision < 0) {',
    tests: 'configuration.test',
  },
  {
    promise: 'the configuration is in force everywhere',
    mistake: 'a node that is behind does not pull',
    file: 'packages/gossip/src/gossip.ts',
    from: 'link.send({ type: FrameType.Pull, revision: ownRevision });',
    to: '',
    tests: 'configuration.test',
  },
  {
    promise: 'only own processes are let in',
    mistake: 'every proof is taken',
    file: 'packages/wire/src/authentication.ts',
    from: 'return expected.length === received.length && timingSafeEqual(expected, received);',
    to: 'return expected.length !== 1 || timingSafeEqual(expected, received);',
    tests: 'link.test',
  },
  {
    promise: 'at most once',
    mistake: 'a forwarded request in doubt is sent again',
    file: 'packages/forwarding/src/attempt-history.ts',
    from: 'if (history.isInDoubt && policy === RepeatPolicy.Once) {',
    to: 'if (history.sent < 0) {',
    tests: 'forwarding.test',
  },
  {
    promise: '"not run" is true',
    mistake: 'a forwarded request in doubt is called not run',
    file: 'packages/forwarding/src/attempt-history.ts',
    from: 'return history.isInDoubt ? Outcome.Unknown : Outcome.NotRun;',
    to: 'return Outcome.NotRun;',
    tests: 'forwarding.test',
  },
  {
    promise: 'the whole answer',
    mistake: 'an answer that no server vouches for is passed on',
    file: 'packages/forwarding/src/answer-relay.ts',
    from: 'return event.start.isSigned ? undefined : unsignedAnswer(event.start);',
    to: 'return undefined;',
    tests: 'forwarding.test',
  },
  {
    promise: 'the whole answer',
    mistake: 'the answer of another request is passed on',
    file: 'packages/forwarding/src/attempt.ts',
    from: 'if (start.requestId !== options.requestId) {',
    to: "if (start.requestId === '') {",
    tests: 'forwarding.test',
  },
  {
    promise: 'the whole answer',
    mistake: 'an answer without framing is framed',
    file: 'packages/forwarding/src/caller-answer.ts',
    from: "const length = head.isFramed ? { 'Content-Length': String(body.length) } : {};",
    to: "const length = { 'Content-Length': String(body.length) };",
    tests: 'forwarding.test',
  },
  {
    promise: 'the whole answer',
    mistake: 'events that came before are passed on again',
    file: 'packages/forwarding/src/answer-relay.ts',
    from: 'if (isRepeated) {',
    to: 'if (isRepeated && event.bytes.length === 0) {',
    tests: 'forwarding.test',
  },
  {
    promise: 'in time',
    mistake: 'a silent server is left although there is no other place',
    file: 'packages/forwarding/src/forward.ts',
    from: 'if (this.#canFailOver()) {',
    to: 'if (this.#canFailOver() || this.#attemptNumber > 0) {',
    tests: 'forwarding.test',
  },
  {
    promise: 'no work for callers that have left',
    mistake: 'an attempt goes on after its caller has left',
    file: 'packages/forwarding/src/attempt.ts',
    from: 'reporter.stopReporting();\n      outgoing.destroy();',
    to: 'reporter.stopReporting();',
    tests: 'forwarding.test',
  },
  {
    promise: 'no memory lost',
    mistake: 'memory stays set aside where one engine refuses',
    file: 'packages/forwarding/src/reservation.ts',
    from: '    reservation.release(ReleaseCause.Incomplete);\n',
    to: '',
    tests: 'reservation.test',
  },
  {
    promise: 'no memory lost',
    mistake: 'memory is renewed without a look at its use',
    file: 'packages/forwarding/src/renewal.ts',
    from: 'if (check.use === MemoryUse.Used ||',
    to: 'if (check.use !== MemoryUse.Absent ||',
    tests: 'reservation-return',
  },
  {
    promise: 'no memory lost',
    mistake: 'an order without an answer counts as not carried out',
    file: 'packages/forwarding/src/renewal.ts',
    from: 'inDoubtUntilMs: nowMs + LATE_ORDER_MS',
    to: 'inDoubtUntilMs: 0',
    tests: 'reservation-return',
  },
  {
    promise: 'no memory lost',
    mistake: 'a prompt that waits at its server loses its memory',
    file: 'packages/forwarding/src/renewal.ts',
    from: 'const isQueued = check.use',
    to: 'const isQueued = nowMs < 0 && check.use',
    tests: 'reservation-return',
  },
  {
    promise: 'input is bounded',
    mistake: 'a whole answer is collected without a bound',
    file: 'packages/forwarding/src/answer-relay.ts',
    from: 'if (this.#length > MAX_ANSWER_BYTES) {',
    to: 'if (this.#length < 0) {',
    tests: 'forwarding/test/endless',
  },
  {
    promise: 'leaving servers get no new work',
    mistake: 'a leaving server is a candidate',
    file: 'packages/placement/src/planner.ts',
    from: 'server.state === ServerState.Ready',
    to: 'server.slots > 0',
    tests: 'placement.test',
  },
  {
    promise: 'the configuration is in force everywhere',
    mistake: 'registrations that lapsed in an outage are dropped at once',
    file: 'packages/membership/src/expiry-guard.ts',
    from: 'if (outageMs >= MIN_OUTAGE_MS) {',
    to: 'if (outageMs < 0) {',
    tests: 'membership.test',
  },
  {
    promise: 'in time',
    mistake: 'servers get more time than callers have',
    file: 'packages/forwarding/src/caller-port.ts',
    from: 'Math.min(route.timeoutMs, head.patienceMs ?? route.timeoutMs)',
    to: 'route.timeoutMs',
    tests: 'forwarding.test',
  },
  {
    promise: 'retries do not feed an overload',
    mistake: 'each entry uses the whole allowance',
    file: 'packages/placement/src/retry-budget.ts',
    from: 'const allowance = bound.allowance / Math.max(1, entries);',
    to: 'const allowance = bound.allowance * Math.min(1, entries);',
    tests: 'placement.test',
  },
  {
    promise: 'long prompts beside short ones',
    mistake: 'placement ignores what it does to the pauses of others',
    file: 'packages/placement/src/engine-choice.ts',
    from: 'const externalCost = lossOfOthers - baselineLoss + preferenceCost * value;',
    to: 'const externalCost = preferenceCost * value;',
    tests: 'placement.test',
  },
  {
    promise: 'the configuration never reverts',
    mistake: 'an older catalogue is taken from a later record',
    file: 'packages/registry/src/registry.ts',
    from: 'record.value.version > current.version ? record.value : current',
    to: 'record.value.version > 0 ? record.value : current',
    tests: 'registry.test',
  },
  {
    promise: 'small callers keep their share',
    mistake: 'requests are served as they come',
    file: 'packages/scheduler/src/order.ts',
    from: 'return left.startTag - right.startTag || left.arrivedAtMs - right.arrivedAtMs;',
    to: 'return left.arrivedAtMs - right.arrivedAtMs;',
    tests: 'scheduler.test',
  },
];

const SKIPPED = new Set(['node_modules', 'dist', '.git']);

function copyTree() {
  const folder = mkdtempSync(join(tmpdir(), 'toucanbend-mutant-'));
  for (const name of readdirSync('.').filter((entry) => !SKIPPED.has(entry))) {
    cpSync(name, join(folder, name), { recursive: true, filter: (path) => !path.includes('node_modules') });
  }
  mkdirSync(join(folder, 'node_modules', '@toucanbend'), { recursive: true });
  for (const name of readdirSync('node_modules').filter((entry) => entry !== '@toucanbend')) {
    symlinkSync(join(process.cwd(), 'node_modules', name), join(folder, 'node_modules', name));
  }
  for (const name of readdirSync('packages')) {
    symlinkSync(join(folder, 'packages', name), join(folder, 'node_modules', '@toucanbend', name));
  }
  symlinkSync(join(folder, 'fakes'), join(folder, 'node_modules', '@toucanbend', 'fakes'));
  return folder;
}

function plant(folder, file, from, to) {
  if (file === undefined) {
    return;
  }
  const path = join(folder, file);
  const text = readFileSync(path, 'utf8');
  if (!text.includes(from)) {
    throw new Error(`${file} does not hold: ${from}`);
  }
  writeFileSync(path, text.replace(from, to));
}

const filter = process.argv[2];
let unseen = 0;
for (const mutant of mutants.filter(({ mistake }) => filter === undefined || mistake.includes(filter))) {
  const folder = copyTree();
  plant(folder, mutant.file, mutant.from, mutant.to);
  plant(folder, mutant.file2, mutant.from2, mutant.to2);
  plant(folder, mutant.file3, mutant.from3, mutant.to3);
  const options = { cwd: folder, encoding: 'utf8', timeout: 180_000 };
  const bundled = spawnSync(process.execPath, ['scripts/bundle.mjs'], options);
  const run = spawnSync(process.execPath, ['scripts/test.mjs', mutant.tests], options);
  if (bundled.status !== 0) {
    throw new Error(`the copy does not bundle: ${bundled.stderr}`);
  }
  const isSeen = run.status !== 0 && run.stdout.includes('✖');
  unseen += isSeen ? 0 : 1;
  const failed = /ℹ fail (\d+)/.exec(run.stdout)?.[1] ?? '?';
  process.stdout.write(
    `${isSeen ? 'seen  ' : 'UNSEEN'} ${mutant.promise}: ${mutant.mistake} (${mutant.tests}: ${failed} red)\n`,
  );
  rmSync(folder, { recursive: true, force: true });
}
process.exit(unseen === 0 ? 0 : 1);
