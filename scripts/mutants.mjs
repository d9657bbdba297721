// Mutation test: applies one mistake at a time to a copy of the tree and checks that the listed tests fail.
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

/** Each mutant: the guarantee it breaks, the source text it replaces, and the tests that must fail. */
const mutants = [
  {
    promise: 'a non-idempotent call runs at most once',
    mistake: 'a token whose call is running is run again',
    file: 'packages/scheduler/src/execution-token.ts',
    from: 'return { table, value: SubmitVerdict.Join };',
    to: 'return { table, value: SubmitVerdict.Run };',
    tests: 'execution-token',
  },
  {
    promise: 'a non-idempotent call runs at most once',
    mistake: 'a token issued by a previous process is run',
    file: 'packages/entry/src/call.ts',
    from: 'if (!grant.token.startsWith(`${link.peer.incarnation}/`)) {',
    to: 'if (grant.token === "") {',
    file2: 'packages/scheduler/src/execution-token.ts',
    from2: 'return { table, value: SubmitVerdict.Unknown };',
    to2: 'return { table, value: SubmitVerdict.Run };',
    tests: 'once.test',
  },
  {
    promise: 'memory at engines is free in time after its request has ended',
    mistake: 'events that have waited unread at the entry renew memory',
    file: 'packages/forwarding/src/running-attempt.ts',
    from: 'if (!wasPaused && !attempt.isPaused()) {',
    to: 'if (attempt.isSent()) {',
    tests: 'idle-memory',
  },
  {
    promise: 'memory at engines is free in time after its request has ended',
    mistake: 'memory is renewed before the end of the answer, which has arrived, is read',
    file: 'packages/forwarding/src/part-reservation.ts',
    from: '      await readPendingInput(this.#context.clock);',
    to: '      await Promise.resolve();',
    tests: 'reservation-return',
  },
  {
    promise: '"not run" is reported only if nothing ran',
    mistake: 'an attempt in doubt is reported as not run',
    file: 'packages/entry/src/completion.ts',
    from: 'this.#progress.inDoubt ? Outcome.Unknown : Outcome.NotRun',
    to: 'Outcome.NotRun',
    file2: 'packages/entry/src/completion.ts',
    from2: 'return { outcome: Outcome.Unknown, reason: end.reason, retryAfterMs: 0 };',
    to2: 'return { outcome: Outcome.NotRun, reason: end.reason, retryAfterMs: 0 };',
    tests: 'streams.test',
  },
  {
    promise: 'answers are complete',
    mistake: 'tokens that were already received are accepted again',
    file: 'packages/entry/src/completion.ts',
    from: 'const fresh = frame.tokens.slice(Math.max(0, delivered.length - frame.offset));',
    to: 'const fresh = frame.tokens;',
    file2: 'packages/side/src/tracked-request.ts',
    from2: 'request.tokens.slice(Math.max(0, offset - request.deliveredTokens))',
    to2: 'request.tokens.slice(0)',
    tests: 'streams.test',
  },
  {
    promise: 'answers meet the deadline',
    mistake: 'the entry waits past the deadline',
    file: 'packages/entry/src/completion.ts',
    from: 'return this.#request.deadlineAtMs - this',
    to: 'return 5_000 + this.#request.deadlineAtMs - this',
    tests: 'streams.test',
  },
  {
    promise: 'engine memory is released',
    mistake: 'requests of an unreachable entry are not cancelled',
    file: 'packages/side/src/request-registry.ts',
    from: 'orphans.push(request);',
    to: 'continue;',
    tests: 'streams.test',
  },
  {
    promise: 'engine memory is never exceeded',
    mistake: 'memory of running jobs is not counted',
    file: 'packages/scheduler/src/order.ts',
    from: 'total += job.memoryTokens;',
    to: 'total += 0 * job.memoryTokens;',
    tests: 'scheduler.test',
  },
  {
    promise: 'draining servers receive no new requests',
    mistake: 'a draining side still accepts requests',
    file: 'packages/side/src/dispatcher.ts',
    from: 'apply({ type: ChangeType.DrainingSet, leaving });',
    to: 'void leaving;',
    file2: 'packages/entry/src/exchange.ts',
    from2: 'directory.markLeaving(link.peer.node, frame.leaving);',
    to2: '',
    tests: 'leaving.test',
  },
  {
    promise: 'the configuration never reverts',
    mistake: 'an older document is accepted',
    file: 'packages/configuration/src/holder.ts',
    from: 'if (ready && document.revision < current.revision) {',
    to: 'if (ready && document.revision < 0) {',
    tests: 'configuration.test',
  },
  {
    promise: 'the configuration takes effect on every node',
    mistake: 'a node with an outdated revision does not fetch the current one',
    file: 'packages/gossip/src/gossip.ts',
    from: 'link.send({ type: FrameType.ConfigurationPull, revision: ownRevision });',
    to: '',
    tests: 'configuration.test',
  },
  {
    promise: 'only authenticated peers are accepted',
    mistake: 'every handshake proof is accepted',
    file: 'packages/wire/src/authentication.ts',
    from: 'return expected.length === received.length && timingSafeEqual(expected, received);',
    to: 'return expected.length !== 1 || timingSafeEqual(expected, received);',
    tests: 'link.test',
  },
  {
    promise: 'a non-idempotent call runs at most once',
    mistake: 'a forwarded request in doubt is sent again',
    file: 'packages/forwarding/src/attempt-history.ts',
    from: 'if (history.isInDoubt && policy === RepeatPolicy.Once) {',
    to: 'if (history.sent < 0) {',
    tests: 'forwarding.test',
  },
  {
    promise: '"not run" is reported only if nothing ran',
    mistake: 'a forwarded request in doubt is reported as not run',
    file: 'packages/forwarding/src/attempt-history.ts',
    from: 'return history.isInDoubt ? Outcome.Unknown : Outcome.NotRun;',
    to: 'return Outcome.NotRun;',
    tests: 'forwarding.test',
  },
  {
    promise: 'answers are complete',
    mistake: 'an unsigned answer is forwarded',
    file: 'packages/forwarding/src/answer-relay.ts',
    from: 'return event.start.isSigned ? undefined : unsignedAnswer(event.start);',
    to: 'return undefined;',
    tests: 'forwarding.test',
  },
  {
    promise: 'answers are complete',
    mistake: 'the answer to another request is forwarded',
    file: 'packages/forwarding/src/attempt.ts',
    from: 'if (start.requestId !== options.requestId) {',
    to: "if (start.requestId === '') {",
    tests: 'forwarding.test',
  },
  {
    promise: 'answers are complete',
    mistake: 'a whole answer is sent without its length',
    file: 'packages/forwarding/src/caller-answer.ts',
    from: "writeHead(status, headers, isBodiless ? {} : { 'Content-Length': String(body.length) });",
    to: 'writeHead(status, headers, {});',
    tests: 'entry-end',
  },
  {
    promise: 'answers are complete',
    mistake: 'a stream is sent as it arrives to a caller that cannot read chunks',
    file: 'packages/forwarding/src/caller-answer.ts',
    from: 'if (response.useChunkedEncodingByDefault) {',
    to: 'if (!response.headersSent) {',
    tests: 'entry-end',
  },
  {
    promise: 'answers are complete',
    mistake: 'events that were already forwarded are forwarded again',
    file: 'packages/forwarding/src/answer-relay.ts',
    from: 'if (!this.#isRepeated(event)) {',
    to: 'if (!this.#isRepeated(event) || event.bytes.length > 0) {',
    tests: 'forwarding.test',
  },
  {
    promise: 'answers meet the deadline',
    mistake: 'a silent server is abandoned although no other server is available',
    file: 'packages/forwarding/src/forward.ts',
    from: 'if (!this.#canFailOver(attempt)) {\n      return false;',
    to: 'if (!this.#canFailOver(attempt)) {\n      this.#fail(attempt, { failure: AttemptFailure.InDoubt, detail: "" });\n      return true;',
    tests: 'forwarding.test',
  },
  {
    promise: 'attempts of disconnected callers are cancelled',
    mistake: 'an attempt continues after its caller has disconnected',
    file: 'packages/forwarding/src/attempt.ts',
    from: 'reporter.stopReporting();\n      outgoing.destroy();',
    to: 'reporter.stopReporting();',
    tests: 'forwarding.test',
  },
  {
    promise: 'a faulty helper is avoided',
    mistake: 'the server that names a faulty helper is avoided in its place',
    file: 'packages/forwarding/src/failed-server.ts',
    from: 'findHelper(helpers, fault.faultyAddress)',
    to: 'findHelper(helpers, undefined)',
    tests: 'shared-prompt',
  },
  {
    promise: 'long prompts meet their targets',
    mistake: 'a long prompt that fits one engine is never shared',
    file: 'packages/placement/src/prompt-choice.ts',
    from: 'prefillMs(engine, 0, promptTokens) > engine.stepsPerPass * engine.stepMs',
    to: 'promptTokens > engine.memoryTokens',
    tests: 'shared-prefill',
  },
  {
    promise: 'short streams keep their pauses',
    mistake: 'delays of other prompts do not count as a cost',
    file: 'packages/placement/src/engine-group.ts',
    from: 'const lossOfOthers = members.reduce((sum, member) => sum + member.lossOfOthers, 0);',
    to: 'const lossOfOthers = 0 * members.length;',
    tests: 'shared-prefill',
  },
  {
    promise: 'engine memory is released',
    mistake: 'memory stays reserved when one engine rejects its reservation',
    file: 'packages/forwarding/src/reservation.ts',
    from: '    reservation.release(ReleaseCause.Incomplete);\n',
    to: '',
    tests: 'reservation.test',
  },
  {
    promise: 'engine memory is released',
    mistake: 'memory is renewed without checking whether it is used',
    file: 'packages/forwarding/src/renewal.ts',
    from: 'if (check.use === MemoryUse.Used ||',
    to: 'if (check.use !== MemoryUse.Absent ||',
    tests: 'reservation-return',
  },
  {
    promise: 'engine memory is released',
    mistake: 'an unanswered order is treated as not executed',
    file: 'packages/forwarding/src/renewal.ts',
    from: 'inDoubtUntilMs: nowMs + LATE_ORDER_MS',
    to: 'inDoubtUntilMs: 0',
    tests: 'reservation-return',
  },
  {
    promise: 'engine memory is released',
    mistake: 'memory reserved for a prompt queued at its server is released',
    file: 'packages/forwarding/src/renewal.ts',
    from: 'const isQueued = check.use',
    to: 'const isQueued = nowMs < 0 && check.use',
    tests: 'reservation-return',
  },
  {
    promise: 'buffered input is bounded',
    mistake: 'a complete answer is buffered without a size limit',
    file: 'packages/forwarding/src/answer-relay.ts',
    from: 'if (this.#body.length() + chunk.length > MAX_ANSWER_BYTES) {',
    to: 'if (this.#body.length() < 0) {',
    file2: 'packages/forwarding/src/answer-memory.ts',
    from2: 'heldBytes + bytes > MAX_HELD_BYTES',
    to2: 'heldBytes < 0',
    tests: 'forwarding/test/endless',
  },
  {
    promise: 'buffered input is bounded',
    mistake: 'all answers together are bounded by nothing',
    file: 'packages/forwarding/src/answer-memory.ts',
    from: 'heldBytes + bytes > MAX_HELD_BYTES',
    to: 'heldBytes < 0',
    tests: 'slow-caller',
  },
  {
    promise: 'buffered input is bounded',
    mistake: 'a server is read as fast as it sends',
    file: 'packages/forwarding/src/read-limit.ts',
    from: 'if (!isPaused && unhandledBytes > MAX_UNHANDLED_BYTES) {',
    to: 'if (!isPaused && unhandledBytes < 0) {',
    tests: 'slow-caller',
  },
  {
    promise: 'buffered input is bounded',
    mistake: 'events of a stream may come in any order',
    file: 'packages/forwarding/src/stream-check.ts',
    from: 'if (idBefore !== undefined && id <= idBefore) {',
    to: 'if (idBefore !== undefined && id < 0) {',
    tests: 'stream-check',
  },
  {
    promise: 'buffered input is bounded',
    mistake: 'an answer may have any number of chunks',
    file: 'packages/forwarding/src/chunk-limit.ts',
    from: 'return chunks > MAX_SHORT_CHUNKS + bytes / MIN_MEAN_CHUNK_BYTES[form];',
    to: 'return chunks < bytes * MIN_MEAN_CHUNK_BYTES[form] * 0;',
    tests: 'answer-limits',
  },
  {
    promise: 'buffered input is bounded',
    mistake: 'a caller that has left inside a body is kept',
    file: 'packages/forwarding/src/caller-port.ts',
    from: 'if (error.code === INCOMPLETE_INPUT) {',
    to: "if (error.code === 'none') {",
    tests: 'unfinished-body',
  },
  {
    promise: 'draining servers receive no new requests',
    mistake: 'a draining server is a candidate',
    file: 'packages/placement/src/ready-servers.ts',
    from: 'server.state === ServerState.Ready',
    to: 'server.slots > 0',
    tests: 'placement.test',
  },
  {
    promise: 'the configuration takes effect on every node',
    mistake: 'registrations that expired during a store outage are dropped immediately',
    file: 'packages/membership/src/removal-guard.ts',
    from: 'if (outageMs >= MIN_OUTAGE_MS) {',
    to: 'if (outageMs < 0) {',
    tests: 'membership.test',
  },
  {
    promise: 'answers meet the deadline',
    mistake: 'servers receive a longer time limit than callers allow',
    file: 'packages/forwarding/src/caller-port.ts',
    from: 'Math.min(route.timeoutMs, head.callerTimeoutMs ?? route.timeoutMs)',
    to: 'route.timeoutMs',
    tests: 'forwarding.test',
  },
  {
    promise: 'retries do not amplify an overload',
    mistake: 'each entry uses the entire shared retry budget',
    file: 'packages/placement/src/retry-budget.ts',
    from: 'const allowance = bound.allowance / Math.max(1, entries);',
    to: 'const allowance = bound.allowance * Math.min(1, entries);',
    tests: 'placement.test',
  },
  {
    promise: 'long prompts do not delay short ones unduly',
    mistake: 'placement ignores the added pauses of other streams',
    file: 'packages/placement/src/engine-choice.ts',
    from: 'lossOfOthers: Math.max(0, lossOfOthers - baselineLoss),',
    to: 'lossOfOthers: 0 * lossOfOthers * baselineLoss,',
    tests: 'placement.test',
  },
  {
    promise: 'the configuration never reverts',
    mistake: 'an older catalogue is accepted from a later record',
    file: 'packages/registry/src/registry.ts',
    from: 'record.value.version > current.version ? record.value : current',
    to: 'record.value.version > 0 ? record.value : current',
    file2: 'packages/registry/src/registry-record.ts',
    from2: 'return { era: 0, revision: record.value?.version ?? 0 };',
    to2: 'return record.position;',
    tests: 'registry.test',
  },
  {
    promise: 'the configuration takes effect on every node',
    mistake: 'revisions are compared beyond the era in which the store gave them out',
    file: 'packages/registry/src/store-position.ts',
    from: 'left.era === right.era ? left.revision > right.revision : left.era > right.era',
    to: 'left.revision > right.revision',
    tests: 'restored',
  },
  {
    promise: 'draining servers receive no new requests',
    mistake: 'an older copy of the store puts servers back that have left',
    file: 'packages/registry/src/restored-record.ts',
    from: 'if (known === undefined || record.position.era <= known.position.era) {',
    to: 'if (known !== record) {',
    tests: 'restored',
  },
  {
    promise: 'entries know one another',
    mistake: 'an entry renews a lease that the store gave out before it returned with an older copy',
    file: 'platform/src/registry-source.ts',
    from: 'era === position.era\n        ? ok()',
    to: 'era >= position.era\n        ? ok()',
    file2: 'packages/membership/src/registrar.ts',
    from2: 'if (registration !== undefined && !isCalling) {',
    to2: 'if (registration !== undefined && !isCalling && isStopped) {',
    tests: 'restored-registration',
  },
  {
    promise: 'a request in flight gets an answer',
    mistake: 'a silent server is given up before another one has answered',
    file: 'packages/forwarding/src/forward.ts',
    from: 'this.#recordFault(attempt, { failure: AttemptFailure.InDoubt, detail });\n    }',
    to: 'this.#fail(attempt, { failure: AttemptFailure.InDoubt, detail });\n    }',
    tests: 'silent-server',
  },
  {
    promise: 'nothing is sent to servers that have left',
    mistake: 'what is held back after an outage is applied only when the store answers next',
    file: 'packages/membership/src/follower.ts',
    from: 'this.#cancelRelease = clock.after(Math.max(0, this.#guard.holdsUntilMs() - clock.now()), () => {',
    to: 'this.#cancelRelease = clock.after(2_000 + this.#guard.holdsUntilMs() - clock.now(), () => {',
    tests: 'store-return',
  },
  {
    promise: 'nothing is sent to servers that have left',
    mistake: 'records without the removals are taken for complete',
    file: 'packages/registry/src/registry-transfer.ts',
    from: 'return kind === RecordKind.Catalogue || (since !== undefined && !isAfter(since, position));',
    to: 'return kind === RecordKind.Catalogue || since !== undefined || isAfter(position, position);',
    tests: 'missing-removals',
  },
  {
    promise: 'a request in flight gets an answer',
    mistake: 'a planned stop places requests that it cannot complete',
    file: 'packages/forwarding/src/drain-limit.ts',
    from: 'return firstEventAtMs + expectedGenerationMs(engine, job) <= limitMs;',
    to: 'return firstEventAtMs > 0 || limitMs > 0;',
    tests: 'drain-limit',
  },
  {
    promise: 'a request in flight gets an answer',
    mistake: 'a planned stop leaves no time for a pause of a sound server',
    file: 'packages/forwarding/src/drain-limit.ts',
    from: 'const latestMs = answersUntilMs - SERVER_PAUSE_MS;',
    to: 'const latestMs = answersUntilMs - 0 * SERVER_PAUSE_MS;',
    tests: 'planned-stop',
  },
  {
    promise: 'a process does not end by itself',
    mistake: 'an address that cannot be dialled is an exception',
    file: 'packages/wire/src/endpoint.ts',
    from: 'const beginConnecting = Result.fromThrowable(\n  ({ host, port }: Address): Socket => connect({ host, port, noDelay: true }),\n  (error): LinkError => ({ kind: LinkErrorKind.Unreachable, message: String(error) }),\n);',
    to: 'const beginConnecting = ({ host, port }: Address): Result<Socket, LinkError> =>\n  ok(connect({ host, port, noDelay: true }));',
    tests: 'link.test',
  },
  {
    promise: 'accounts with few requests keep their share',
    mistake: 'requests are served in order of arrival',
    file: 'packages/scheduler/src/order.ts',
    from: 'return left.startTag - right.startTag || left.arrivedAtMs - right.arrivedAtMs;',
    to: 'return left.arrivedAtMs - right.arrivedAtMs;',
    tests: 'scheduler.test',
  },
  {
    promise: 'callers that disconnect',
    mistake: 'a request is forwarded before the input that has arrived is read',
    file: 'packages/forwarding/src/caller-port.ts',
    from: 'if (message.socket.readableEnded || message.socket.destroyed || response.destroyed) {',
    to: 'if (response.destroyed) {',
    tests: 'departed-caller.test',
  },
  {
    promise: 'overload',
    mistake: 'an entry that is behind with its input accepts every request',
    file: 'packages/forwarding/src/overload.ts',
    from: 'return inputDelayMs > MAX_INPUT_DELAY_SHARE * targetMs;',
    to: 'return inputDelayMs > targetMs * 100;',
    tests: 'overload.test',
  },
  {
    promise: 'the whole answer',
    mistake: 'an answer without a length is complete although its connection was reset',
    file: 'packages/forwarding/src/attempt.ts',
    from: 'if (message.complete && (start.isFramed || !reporter.isReset)) {',
    to: 'if (message.complete) {',
    tests: 'unframed-answer.test',
  },
  {
    promise: 'poison parts of prompts',
    mistake: 'requests with a quarantined part are forwarded',
    file: 'packages/forwarding/src/forward.ts',
    from: 'if (quarantined !== undefined) {',
    to: 'if (quarantined?.leftMs === 0) {',
    tests: 'forwarding/test/quarantine.test',
  },
  {
    promise: 'poison parts of prompts',
    mistake: 'parts that were served are identified as soon as others',
    file: 'packages/quarantine/src/crash-evidence.ts',
    from: 'wasServed(evidence) ? SERVED_THRESHOLDS : UNSERVED_THRESHOLDS',
    to: 'UNSERVED_THRESHOLDS',
    tests: 'packages/quarantine',
  },
  {
    promise: 'poison parts of prompts',
    mistake: 'a crash that a quarantined part explains counts against other parts',
    file: 'packages/quarantine/src/crash-evidence.ts',
    from: 'other.losses = explainLosses(other, cause);',
    to: 'other.losses = [...other.losses];',
    tests: 'packages/quarantine',
  },
  {
    promise: 'requests that crash servers',
    mistake: 'a request that is sent again counts as another one',
    file: 'packages/forwarding/src/request-quarantine.ts',
    from: 'digest ??= digestOf(request);',
    to: 'digest ??= request.head.requestId;',
    tests: 'crashing-request.test',
  },
  {
    promise: 'requests that crash servers',
    mistake: 'the parts of a crashing request are blamed before it',
    file: 'packages/quarantine/src/crash-evidence.ts',
    from: '? separateCrashes(part.losses).length > separateCrashes(request.losses).length',
    to: '? true',
    tests: 'packages/quarantine',
  },
  {
    promise: 'poison parts of prompts',
    mistake: 'a request that is blamed takes the evidence against its parts',
    file: 'packages/quarantine/src/crash-evidence.ts',
    from: 'return other.losses.map((loss) => (isExplained(loss) ? { ...loss, isAttributed: true } : loss));',
    to: 'return other.losses.filter((loss) => !isExplained(loss));',
    tests: 'repeated-part',
  },
  {
    promise: 'requests that crash servers',
    mistake: 'runs of a server under one id are one',
    file: 'packages/registry/src/member.ts',
    from: 'return `${id}@${String(bornAtMs)}`;',
    to: 'return bornAtMs < 0 ? String(bornAtMs) : id;',
    tests: 'crashing-request',
  },
  {
    promise: 'requests that crash servers',
    mistake: 'a late answer of the next run shows that the run before it survived',
    file: 'packages/quarantine/src/survival.ts',
    from: 'nowMs - lostAtMs < MIN_RETURN_MS ? SurvivalKind.Survived : SurvivalKind.SurvivedUnlessReplaced;',
    to: 'nowMs - lostAtMs < 1e9 ? SurvivalKind.Survived : SurvivalKind.SurvivedUnlessReplaced;',
    tests: 'survival.test',
  },
  {
    promise: 'requests that crash servers',
    mistake: 'lost connections of a server that goes on answering count as crashes',
    file: 'packages/quarantine/src/quarantine.ts',
    from: 'if (this.#evidence.survived(server, aliveAtMs)) {',
    to: 'if (server === String(aliveAtMs)) {',
    tests: 'packages/quarantine',
  },
  {
    promise: 'requests that crash servers',
    mistake: 'silent attempts at a server that has ended are no evidence',
    file: 'packages/quarantine/src/unanswered-attempts.ts',
    from: 'nowMs - lastSignAtMs >= MIN_SILENCE_MS',
    to: 'nowMs < lastSignAtMs',
    tests: 'packages/quarantine',
  },
  {
    promise: 'rate limits of servers',
    mistake: 'requests of other entries are not counted',
    file: 'packages/placement/src/load-update.ts',
    from: 'restrictions.countRequest(update.server, update.atMs);',
    to: 'restrictions.countRequest(sender, update.atMs);',
    tests: 'server-limit.test',
  },
  {
    promise: 'rate limits of servers',
    mistake: 'an entry that is cut off uses the entire limit',
    file: 'packages/restrictions/src/rate-limit.ts',
    from: 'fraction < 1 ? Math.max(usedUntilMs, partUsedUntilMs) : usedUntilMs',
    to: 'fraction < 0 ? Math.max(usedUntilMs, partUsedUntilMs) : usedUntilMs',
    tests: 'rate-limit.test',
  },
  {
    promise: 'rate limits of servers',
    mistake: 'a limit ends with the answer to a request that was sent before it was stated',
    file: 'packages/restrictions/src/restrictions.ts',
    from: 'source.sentAtMs > known.limitStatedAtMs',
    to: 'source.sentAtMs > Number.NEGATIVE_INFINITY',
    tests: 'rate-limit.test',
  },
  {
    promise: 'servers that turn an entry away',
    mistake: 'servers with a limit or a time to wait still get requests',
    file: 'packages/placement/src/planner.ts',
    from: 'serving.filter((view) => availableAtMs(view) <= nowMs)',
    to: 'serving.filter((view) => availableAtMs(view) < Number.POSITIVE_INFINITY)',
    tests: 'back-off.test',
  },
  {
    promise: 'servers that state that they leave',
    mistake: 'a server that leaves still gets requests',
    file: 'packages/restrictions/src/restrictions.ts',
    from: 'if (known?.isLeaving === true) {',
    to: 'if (known?.isLeaving === undefined) {',
    tests: 'leaving-server.test',
  },
  {
    promise: 'true rejections',
    mistake: 'a rejection counts whatever request it carries the id of',
    file: 'packages/forwarding/src/attempt.ts',
    from: 'if (start.requestId !== options.requestId) {',
    to: 'if (start.requestId !== options.requestId && !start.isNotRun) {',
    tests: 'misleading-answer.test',
  },
  {
    promise: 'an evacuated data centre gets nothing more',
    mistake: 'servers of evacuated data centres are candidates',
    file: 'packages/placement/src/ready-servers.ts',
    from: '!evacuated.has(server.dataCentre)',
    to: '!evacuated.has(server.id)',
    tests: 'packages/placement/test/evacuation',
  },
  {
    promise: 'an evacuated data centre gets nothing more',
    mistake: 'an evacuation that begins while memory is reserved is not noticed',
    file: 'packages/forwarding/src/confirm-reservation.ts',
    from: 'if (evacuated.size === 0 ||',
    to: 'if (evacuated.size >= 0 ||',
    tests: 'evacuated-servers.test',
  },
  {
    promise: 'an evacuated data centre gets nothing more',
    mistake: 'an evacuation that a copy of the store lacks ends as soon as servers leave',
    file: 'packages/membership/src/removal-guard.ts',
    from: 'const EVACUATION_REWRITE_MS = 5_000;',
    to: 'const EVACUATION_REWRITE_MS = RE_REGISTRATION_MS;',
    tests: 'packages/membership/test/evacuation',
  },
  {
    promise: 'an evacuated data centre gets nothing more',
    mistake: 'an evacuation that only a listing shows is not announced',
    file: 'packages/membership/src/follower.ts',
    from: 'if (begun.length + ended.length > 0) {',
    to: 'if (begun.length + ended.length < 0) {',
    tests: 'packages/membership/test/evacuation',
  },
  {
    promise: 'an evacuated data centre is used again',
    mistake: 'the end of an evacuation is dropped with the oldest tombstones',
    file: 'packages/registry/src/registry.ts',
    from: ' && kind !== RecordKind.Evacuation',
    to: '',
    tests: 'packages/registry/test/evacuation',
  },
  {
    promise: 'an evacuated data centre gets nothing more',
    mistake: 'an entry that starts does not wait for the evacuations',
    file: 'packages/gateway/src/configuration-gate.ts',
    from: '(servesWithoutEvacuations || knowsEvacuations())',
    to: '(servesWithoutEvacuations || true)',
    tests: 'configuration-gate.test',
    promise: 'cold servers',
    mistake: 'requests to cold servers do not use the quota of the entry',
    file: 'packages/forwarding/src/placed-shares.ts',
    from: 'restrictions.countOwnRequest(',
    to: 'restrictions.countRequest(',
    tests: 'cold-server.test',
  },
  {
    promise: 'cold servers',
    mistake: 'no share of a cold server is spared for unknown entries',
    file: 'packages/restrictions/src/cold-quota.ts',
    from: 'const SPARE_SHARES = 1;',
    to: 'const SPARE_SHARES = 0;',
    tests: 'cold-periods.test',
  },
  {
    promise: 'cold servers',
    mistake: 'a late copy of a record begins the cold period anew',
    file: 'packages/restrictions/src/cold-periods.ts',
    from: 'Math.min(known.untilMs, untilMs)',
    to: 'Math.max(known.untilMs, untilMs)',
    tests: 'cold-periods.test',
  },
  {
    promise: 'pace of servers',
    mistake: 'the pace of a server rises with each answer',
    file: 'packages/pace/src/server-pace.ts',
    from: 'const RISE_INTERVAL_MS = 200;',
    to: 'const RISE_INTERVAL_MS = 0;',
    tests: 'paced-servers.test',
  },
  {
    promise: 'pace of servers',
    mistake: 'servers are paced that have no equals in service',
    file: 'packages/pace/src/paces.ts',
    from: 'const MIN_SERVING_SHARE = 0.5;',
    to: 'const MIN_SERVING_SHARE = 0;',
    tests: 'packages/pace',
  },
  {
    promise: 'pace of servers',
    mistake: 'an earlier estimate replaces a later one',
    file: 'packages/pace/src/server-pace.ts',
    from: 'return left.falls > right.falls ? left : right;',
    to: 'return left.falls > right.falls ? right : left;',
    tests: 'packages/pace',
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
    throw new Error(`${file} does not contain the text to replace: ${from}`);
  }
  writeFileSync(path, text.replace(from, to));
}

/** Names of the failed tests that a run passed over because KNOWN-RED.txt lists them. */
function passedOver(run) {
  return [...run.stdout.matchAll(/^known red: (.*) \(KNOWN-RED\.txt\)$/gm)].map((match) => match[1]);
}

/** Returns whether a run passed over a test that passes without the mistake. */
function failsKnownRedOnly(run, tests, options) {
  const names = passedOver(run);
  if (names.length === 0) {
    return false;
  }
  const folder = copyTree();
  const unchanged = { ...options, cwd: folder };
  spawnSync(process.execPath, ['scripts/bundle.mjs'], unchanged);
  const before = passedOver(spawnSync(process.execPath, ['scripts/test.mjs', tests], unchanged));
  rmSync(folder, { recursive: true, force: true });
  return names.some((name) => !before.includes(name));
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
    throw new Error(`bundling the mutated copy failed: ${bundled.stderr}`);
  }
  const isSeen =
    (run.status !== 0 && run.stdout.includes('✖')) || failsKnownRedOnly(run, mutant.tests, options);
  unseen += isSeen ? 0 : 1;
  const failed = /ℹ fail (\d+)/.exec(run.stdout)?.[1] ?? '?';
  process.stdout.write(
    `${isSeen ? 'seen  ' : 'UNSEEN'} ${mutant.promise}: ${mutant.mistake} (${mutant.tests}: ${failed} red)\n`,
  );
  rmSync(folder, { recursive: true, force: true });
}
process.exit(unseen === 0 ? 0 : 1);
