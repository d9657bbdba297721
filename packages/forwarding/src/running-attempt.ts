/** A running attempt with all that it occupies: its connection, its shares in the load tracker, and its memory. */
import { type Helper, type JobShare } from '@toucanbend/placement';
import { AnswerForm, type BackendServer } from '@toucanbend/registry';
import { type AnswerRelay, BufferedRelay, StreamRelay } from './answer-relay.js';
import { type AttemptEvent } from './attempt.js';
import { type CallerAnswer } from './caller-answer.js';
import { type CallerRequest } from './caller-request.js';
import { type ForwardingContext } from './context.js';
import { dispatchAttempt } from './dispatch.js';
import { ReleaseCause } from './part-reservation.js';
import { recordEndedShares } from './placed-shares.js';
import { type AttemptWatch } from './request-quarantine.js';
import { type Reservation } from './reservation.js';

/** A running attempt. */
export interface RunningAttempt {
  /** Number of the attempt within its request, from 1. */
  readonly number: number;
  readonly server: BackendServer;
  /** Servers that prefill the other parts of the prompt. */
  readonly helpers: readonly Helper[];
  readonly relay: AnswerRelay;
  /** Records what the attempt shows about its request and its server. */
  readonly watch: AttemptWatch;
  /** Predicted time from the dispatch to the first event, in milliseconds. */
  readonly expectedMs: number;
  /** When the request was sent, in milliseconds. */
  readonly dispatchedAtMs: number;
  /** Whether the memory reserved for the attempt is no longer in use at its engines. */
  isMemoryIdle: boolean;
  /** Whether the attempt is in the history of the request. */
  isInHistory: boolean;
  /** Whether the connection was established, so that the server may have received the request. */
  isSent(): boolean;
  /** Returns when the last event arrived, or reading went on after a pause; before the first event, when the request was sent. */
  lastEventAtMs(): number;
  /** Whether the answer is not read, since the caller or this process has no room for more. */
  isPaused(): boolean;
  /** Records that a piece of the answer was handled, and that the caller has room for more. */
  consumed(piece: Buffer): void;
  /** Records that an event has arrived now. */
  recordEvent(): void;
  /** Cancels the attempt and frees what it occupies; further calls have no effect. */
  end(): void;
}

/** The parameters of an attempt. */
export interface RunningAttemptOptions extends Pick<
  RunningAttempt,
  'number' | 'server' | 'helpers' | 'expectedMs' | 'watch'
> {
  /** Shares of the request, which are recorded in the load tracker. */
  readonly shares: readonly JobShare[];
  readonly reservation: { readonly name: string; readonly reserved: Reservation };
  readonly answer: CallerAnswer;
  /** Id of the last event that was sent to the caller; undefined at the start of a stream. */
  readonly lastEventId: number | undefined;
  readonly timeLeftMs: number;
  readonly report: (event: AttemptEvent) => void;
}

function createRelay(
  context: ForwardingContext,
  { route, head }: CallerRequest,
  { answer, server, lastEventId }: RunningAttemptOptions,
): AnswerRelay {
  return route.form === AnswerForm.EventStream
    ? new StreamRelay(context, answer, server, {
        resumedAfterId: lastEventId,
        answerTokens: head.prompt?.answerTokenLimit,
      })
    : new BufferedRelay(context, answer, server, context.clock.now());
}

/**
 * Sends a request to a server.
 *
 * @param context - the state that all requests share
 * @param request - the request
 * @param options - the parameters of the attempt
 * @returns the running attempt
 */
export function startRunningAttempt(
  context: ForwardingContext,
  request: CallerRequest,
  options: RunningAttemptOptions,
): RunningAttempt {
  const { number, server, helpers, expectedMs, watch, shares, reservation, lastEventId, timeLeftMs, report } =
    options;
  const { clock } = context;
  const dispatchedAtMs = clock.now();
  let lastEventAtMs = dispatchedAtMs;
  /** Whether events may have waited unread at this process, so that their arrival does not show when they were sent. */
  let wasPaused = false;
  let isEnded = false;
  const free = (): void => {
    reservation.reserved.release(ReleaseCause.Ended, clock.now() - lastEventAtMs);
    recordEndedShares(context, shares);
  };
  const dispatch = (): ReturnType<typeof dispatchAttempt> => {
    try {
      return dispatchAttempt(context, request, {
        server,
        helpers,
        reservation: reservation.name,
        lastEventId,
        timeLeftMs,
        report,
      });
    } catch (error) {
      watch.ended();
      free();
      throw error;
    }
  };
  const attempt = dispatch();
  const running: RunningAttempt = {
    number,
    server,
    helpers,
    relay: createRelay(context, request, options),
    watch,
    expectedMs,
    dispatchedAtMs,
    isMemoryIdle: false,
    isInHistory: false,
    isSent: attempt.isSent,
    lastEventAtMs: () => lastEventAtMs,
    isPaused: attempt.isPaused,
    consumed: (piece) => {
      const isPaused = attempt.isPaused();
      attempt.consumed(piece);
      if (isPaused) {
        wasPaused = true;
        lastEventAtMs = clock.now();
      }
    },
    recordEvent: () => {
      lastEventAtMs = clock.now();
      running.isMemoryIdle = false;
      if (!wasPaused && !attempt.isPaused()) {
        reservation.reserved.recordEvent();
      }
    },
    end: () => {
      if (!isEnded) {
        isEnded = true;
        if (attempt.isSent()) {
          watch.abandoned();
        } else {
          watch.ended();
        }
        attempt.cancel();
        free();
      }
    },
  };
  return running;
}
