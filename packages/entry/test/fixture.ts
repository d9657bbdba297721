/** The request processes of one entry between two scripted sides, on a manual clock. */
import assert from 'node:assert/strict';
import { createChannel, startProcess } from '@toucanbend/channel';
import { checkDocument, createConfigurationHolder } from '@toucanbend/configuration';
import { createManualClock, createRandom, Outcome, Rank, Reason, RequestKind } from '@toucanbend/core';
import { createMetrics, type Logger } from '@toucanbend/observability';
import {
  type Frame,
  type FrameOf,
  FrameType,
  type Link,
  LinkEnd,
  LinkErrorKind,
  NodeRole,
} from '@toucanbend/wire';
import { err, ok } from 'neverthrow';
import {
  createBindings,
  createDirectory,
  createExchange,
  type EntryContext,
  type Inbox,
  type RequestEnd,
  serveCall,
  serveCompletion,
} from '../src/index.js';

export const PROBE_TIMEOUT_MS = 80;
/** Longer than an entry waits for the answer to a probe. */
export const LATE_MS = 100;
export const FIRST_TOKEN_LIMIT_MS = 2_000;
const INCARNATION = 'run-1';
const DEADLINE_MS = 60_000;
const STEP_MS = 5;
const LOCATION = { dataCentre: 'dc-1', region: 'bagmati' };
const SIDES = ['a', 'b'] as const;

type SideName = (typeof SIDES)[number];

/** How a side of the test behaves. */
interface SideState {
  /** Delay of its bids, in milliseconds. */
  delayMs: number;
  /** Why it rejects requests; `none` if it accepts them. */
  reason: Reason;
  isReachable: boolean;
  /** Time until a link to it is open or fails, in milliseconds. */
  dialMs: number;
  /** How requests sent to it end, and after which time in milliseconds. */
  outcome: Outcome;
  runMs: number;
  /** Number of probes that it received. */
  probes: number;
}

const document = checkDocument(
  {
    revision: 1,
    accounts: [{ name: 'patan' }],
    models: [{ name: 'model-a' }],
    services: [{ name: 'orders', nonIdempotent: [] }],
    dataCentres: [{ name: 'dc-1', region: 'bagmati' }],
    servers: SIDES.flatMap((name) =>
      [RequestKind.Model, RequestKind.Service].map((kind) => ({
        name: `${kind}-${name}`,
        host: `host-${name}`,
        dataCentre: 'dc-1',
        address: `${name}:7001`,
        kind,
        serves: [kind === RequestKind.Model ? 'model-a' : 'orders'],
      })),
    ),
  },
  'leaving-side',
)._unsafeUnwrap();

const quiet: Logger = {
  decision: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
  explain: () => [],
};

function bidOf({ probeId, mint }: FrameOf<FrameType.Probe>, reason: Reason): FrameOf<FrameType.Bid> {
  const accepted = reason === Reason.None;
  const predicted = { firstTokenMs: 10, finishMs: 20, cachedTokens: 0, harmMs: 0 };
  const token = mint && accepted ? { token: `${INCARNATION}/${String(probeId)}` } : {};
  const retryAfterMs = accepted ? 0 : 50;
  return { type: FrameType.Bid, probeId, accepted, reason, retryAfterMs, ...predicted, ...token };
}

/** How a request of the test ended, and when. */
export interface Ended {
  readonly end: RequestEnd;
  readonly atMs: number;
}

function healthySide(): SideState {
  return {
    delayMs: 0,
    reason: Reason.None,
    isReachable: true,
    dialMs: 0,
    outcome: Outcome.Complete,
    runMs: 0,
    probes: 0,
  };
}

/** An entry's request processes, and the sides that they probe. */
export class Fixture {
  readonly clock = createManualClock();
  readonly sides: Readonly<Record<SideName, SideState>> = { a: healthySide(), b: healthySide() };
  readonly #endLink = new Map<SideName, () => void>();
  readonly #context: EntryContext;
  #requests = 0;

  constructor() {
    const { clock } = this;
    const holder = createConfigurationHolder();
    holder.offer(document);
    const noHosts = { hosts: () => undefined, find: () => undefined, stop: () => undefined };
    const directory = createDirectory(holder, noHosts, clock);
    const links = new Map(
      SIDES.map((name) => [`${name}:7001`, { side: this.sides[name], link: this.#link(name) }]),
    );
    const pool = {
      get: async (address: string) => {
        const found = links.get(address);
        const dialMs = found?.side.dialMs ?? 0;
        if (dialMs > 0) {
          await new Promise<void>((resolve) => clock.after(dialMs, resolve));
        }
        return found?.side.isReachable === true
          ? ok(found.link)
          : err({ kind: LinkErrorKind.Unreachable, message: `${address} is not reachable` });
      },
      find: () => undefined,
      closeIdle: () => undefined,
      closeAll: () => undefined,
      size: () => links.size,
    };
    const store = {
      read: () => Promise.resolve(ok(undefined)),
      write: () => Promise.resolve(ok([])),
      watch: () => () => undefined,
    };
    this.#context = {
      clock,
      random: createRandom(1),
      logger: quiet,
      metrics: createMetrics(),
      settings: {
        callerAddress: '10.0.0.2:8080',
        maxBodyBytes: 1,
        maxPromptTokens: 1,
        maxAnswerTokens: 1,
        probeTimeoutMs: PROBE_TIMEOUT_MS,
        answerMarginMs: 30,
        receiveTimeoutMs: 1_000,
        probesByPrefix: 1,
        probesAtRandom: 2,
      },
      directory,
      exchange: createExchange(pool, directory, clock, PROBE_TIMEOUT_MS),
      bindings: createBindings(store, clock, 1_000),
      mayRetry: () => true,
    };
    links.forEach(({ link }) => {
      this.#context.exchange.addLink(link);
    });
  }

  complete(deadlineMs?: number): Promise<Ended> {
    const request = { ...this.#request(deadlineMs), kind: RequestKind.Model, target: 'model-a' } as const;
    const parts = { promptTokens: 10, maxTokens: 1, prefix: [] };
    return this.#run((inbox) =>
      serveCompletion(this.#context, LOCATION, { ...request, ...parts }, inbox, () => undefined),
    );
  }

  call(deadlineMs?: number, isIdempotent = true): Promise<Ended> {
    const request = { ...this.#request(deadlineMs), kind: RequestKind.Service, target: 'orders' } as const;
    const call = { method: 'GET', path: '/orders', contentType: 'text/plain' };
    const parts = { call, isIdempotent, idempotencyKey: undefined };
    return this.#run((inbox) =>
      serveCall(this.#context, LOCATION, { ...request, ...parts }, inbox, () => undefined),
    );
  }

  /** Ends the open link to a side and makes dialling a new one take a time in milliseconds. */
  loseLink(name: SideName, dialMs: number): void {
    this.sides[name].dialMs = dialMs;
    this.#endLink.get(name)?.();
  }

  /** Ejects side b by one late answer, after which it answers in time; side a then starts to leave. */
  async ejectThenLeave(request: () => Promise<Ended>): Promise<void> {
    this.sides.b.delayMs = LATE_MS;
    assert.equal((await request()).end.outcome, Outcome.Complete);
    await this.advance(LATE_MS);
    this.sides.b.delayMs = 0;
    this.sides.a.reason = Reason.Leaving;
  }

  async advance(forMs: number): Promise<void> {
    for (let passedMs = 0; passedMs < forMs; passedMs += STEP_MS) {
      this.clock.advance(STEP_MS);
      await this.#settle();
    }
  }

  /** Runs a request to its end; js-csp schedules through turns of the event loop. */
  async #run(serve: (inbox: Inbox) => Generator<unknown, RequestEnd>): Promise<Ended> {
    let ended: Ended | undefined;
    const { clock } = this;
    const body = serve(createChannel());
    startProcess(function* () {
      ended = { end: yield* body, atMs: clock.now() };
    });
    await this.#settle();
    for (let passedMs = 0; ended === undefined && passedMs < 2 * FIRST_TOKEN_LIMIT_MS; passedMs += STEP_MS) {
      await this.advance(STEP_MS);
    }
    assert.ok(ended !== undefined, 'the request has ended');
    return ended;
  }

  async #settle(): Promise<void> {
    for (let turn = 0; turn < 6; turn += 1) {
      await new Promise((resolve) => setImmediate(resolve));
    }
  }

  #request(deadlineMs = DEADLINE_MS): {
    requestId: string;
    account: string;
    weight: number;
    rank: Rank;
    receivedAtMs: number;
    deadlineAtMs: number;
    firstTokenLimitMs: number;
    body: Uint8Array;
  } {
    this.#requests += 1;
    const receivedAtMs = this.clock.now();
    return {
      requestId: `request-${String(this.#requests)}`,
      account: 'patan',
      weight: 1,
      rank: Rank.Standard,
      receivedAtMs,
      deadlineAtMs: receivedAtMs + deadlineMs,
      firstTokenLimitMs: FIRST_TOKEN_LIMIT_MS,
      body: Buffer.from('vane 17'),
    };
  }

  #link(name: SideName): Link {
    const side = this.sides[name];
    const answer = (frame: Frame): void => {
      this.#context.exchange.handle(link, frame);
    };
    const link: Link = {
      peer: { node: `host-${name}`, role: NodeRole.Side, dataCentre: 'dc-1', incarnation: INCARNATION },
      send: (frame) => {
        if (frame.type === FrameType.Probe) {
          side.probes += 1;
          this.clock.after(side.delayMs, () => {
            // A side announces that it leaves before it rejects a probe for that.
            if (side.reason === Reason.Leaving) {
              answer({ type: FrameType.Draining, node: `host-${name}`, leaving: true });
            }
            answer(bidOf(frame, side.reason));
          });
        } else if (frame.type === FrameType.Submit) {
          const { requestId, attempt } = frame;
          const { outcome, runMs } = side;
          const reason = outcome === Outcome.Complete ? Reason.None : Reason.ServerFailed;
          this.clock.after(runMs, () => {
            answer({ type: FrameType.Done, requestId, attempt, outcome, reason, retryAfterMs: 0, tokens: 0 });
          });
        }
        return true;
      },
      onFrame: () => undefined,
      onEnd: (handle) => {
        this.#endLink.set(name, () => {
          handle(LinkEnd.Closed);
        });
      },
      setActive: () => undefined,
      queuedBytes: () => 0,
      close: () => undefined,
      isOpen: () => side.isReachable,
    };
    return link;
  }
}
