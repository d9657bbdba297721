/**
 * Holds the attempts that were sent and not answered yet, by server.
 *
 * Load pattern: a server crashes and its connections fall silent in place of a reset. The attempts there run into their
 * time limits, or their callers leave, before the registry shows that the server has ended.
 */
import { type LostAttempt } from './lost-attempt.js';

/** An attempt that was sent. */
export type SentAttempt = Omit<LostAttempt, 'atMs'>;

interface UnansweredAttempt {
  readonly attempt: SentAttempt;
  /** When the server last showed that it was working on the attempt, in milliseconds. */
  lastSignAtMs: number;
  /** Whether nobody waits for the answer any more. */
  isAbandoned: boolean;
}

/** The attempts that were not answered yet. */
export interface UnansweredAttempts {
  add(attempt: SentAttempt): void;
  /** Records that a part of the answer has arrived. */
  progressed(attempt: SentAttempt, atMs: number): void;
  /** Records that nobody waits for the answer any more. */
  abandon(attempt: SentAttempt): void;
  /** Removes an attempt that was answered, or of which it is known how it ended. */
  remove(attempt: SentAttempt): void;
  /**
   * Removes the attempts at a server that has ended.
   *
   * @returns those that were silent, as lost since their last sign
   */
  takeSilent(server: string, nowMs: number): LostAttempt[];
  /** Removes the attempts that are abandoned and have been silent for long. */
  prune(nowMs: number): void;
}

/** Shortest silence before the end of a server that is taken for a crash, in milliseconds; a server that leaves answers first. */
const MIN_SILENCE_MS = 500;
/** Time without a sign after which an attempt is removed, in milliseconds: longer than the store takes to drop a server. */
const MAX_SILENCE_MS = 10_000;

/**
 * Creates an empty record of attempts.
 *
 * @returns the record
 */
export function createUnansweredAttempts(): UnansweredAttempts {
  const byServer = new Map<string, Map<SentAttempt, UnansweredAttempt>>();
  const remove = (attempt: SentAttempt): void => {
    const attempts = byServer.get(attempt.server);
    attempts?.delete(attempt);
    if (attempts?.size === 0) {
      byServer.delete(attempt.server);
    }
  };
  return {
    add: (attempt) => {
      const attempts = byServer.get(attempt.server) ?? new Map<SentAttempt, UnansweredAttempt>();
      byServer.set(attempt.server, attempts);
      attempts.set(attempt, {
        attempt,
        lastSignAtMs: attempt.sentAtMs,
        isAbandoned: false,
      });
    },
    abandon: (attempt) => {
      const unanswered = byServer.get(attempt.server)?.get(attempt);
      if (unanswered !== undefined) {
        unanswered.isAbandoned = true;
      }
    },
    progressed: (attempt, atMs) => {
      const unanswered = byServer.get(attempt.server)?.get(attempt);
      if (unanswered !== undefined) {
        unanswered.lastSignAtMs = atMs;
      }
    },
    remove,
    takeSilent: (server, nowMs) => {
      const attempts = [...(byServer.get(server)?.values() ?? [])];
      byServer.delete(server);
      return attempts
        .filter(({ lastSignAtMs }) => nowMs - lastSignAtMs >= MIN_SILENCE_MS)
        .map(({ attempt, lastSignAtMs }) => ({ ...attempt, atMs: lastSignAtMs }));
    },
    prune: (nowMs) => {
      for (const attempts of byServer.values()) {
        for (const { attempt, lastSignAtMs, isAbandoned } of attempts.values()) {
          if (isAbandoned && nowMs - lastSignAtMs >= MAX_SILENCE_MS) {
            remove(attempt);
          }
        }
      }
    },
  };
}
