/**
 * Makes answers one after the other, each in a turn of the event loop of its own.
 *
 * Load pattern: clients outside the limits send requests ahead on many connections. Made in one
 * turn, hundreds of answers delay the requests of callers, which are then rejected as overloaded.
 */

/** Answers that wait to be made. */
export interface AnswerQueue {
  /** Adds an answer; `make` is called in a later turn. */
  add(make: () => void): void;
}

/**
 * Creates a queue.
 *
 * @returns the queue, which is empty; whoever adds to it bounds its length
 */
export function createAnswerQueue(): AnswerQueue {
  const waiting: (() => void)[] = [];
  const makeNext = (): void => {
    const make = waiting.shift();
    if (waiting.length > 0) {
      setImmediate(makeNext);
    }
    make?.();
  };
  return {
    add: (make) => {
      waiting.push(make);
      if (waiting.length === 1) {
        setImmediate(makeNext);
      }
    },
  };
}
