/** Registry of the requests that a side tracks, with their listeners and timers. */
import { type Clock } from '@toucanbend/core';
import { type Link } from '@toucanbend/wire';
import {
  attemptId,
  type Listener,
  RequestPhase,
  RequestTimer,
  type TrackedRequest,
} from './tracked-request.js';

/** The requests that a side tracks, indexed by attempt and execution token. */
export interface RequestRegistry {
  /** Returns the request that an attempt started or joined. */
  find(requestId: string, attempt: number): TrackedRequest | undefined;
  byId(id: string): TrackedRequest | undefined;
  byToken(token: string): TrackedRequest | undefined;
  add(request: TrackedRequest): void;
  /** Adds a listener to a tracked request and cancels its orphan timer. */
  addListener(request: TrackedRequest, listener: Listener): void;
  removeListeners(request: TrackedRequest, shouldRemove: (listener: Listener) => boolean): void;
  /**
   * Removes the listeners of a link that has ended.
   *
   * @param link - the link
   * @returns unfinished requests that lost their last listener
   */
  removeLink(link: Link): TrackedRequest[];
  remove(request: TrackedRequest): void;
  setTimer(request: TrackedRequest, timer: RequestTimer, delayMs: number): void;
  clearTimer(request: TrackedRequest, timer: RequestTimer): void;
  size(): number;
  /** Returns whether any request has not ended. */
  hasUnfinished(): boolean;
}

/**
 * Creates an empty registry.
 *
 * @param clock - clock that runs the timers
 * @param onTimer - called when a timer fires, with the identifier of the request
 * @returns the registry
 */
export function createRequestRegistry(
  clock: Clock,
  onTimer: (id: string, timer: RequestTimer) => void,
): RequestRegistry {
  const requests = new Map<string, TrackedRequest>();
  const idsByToken = new Map<string, string>();
  /** Request identifiers by attempt, for attempts that joined the request of another attempt or link. */
  const aliases = new Map<string, string>();
  const listenerCounts = new Map<Link, number>();

  const adjustListenerCount = (link: Link, delta: number): void => {
    const count = Math.max(0, (listenerCounts.get(link) ?? 0) + delta);
    listenerCounts.set(link, count);
    link.setActive(count > 0);
  };

  const clearTimer = (request: TrackedRequest, timer: RequestTimer): void => {
    request.timers.get(timer)?.();
    request.timers.delete(timer);
  };

  const removeListeners = (request: TrackedRequest, shouldRemove: (listener: Listener) => boolean): void => {
    request.listeners.filter(shouldRemove).forEach((listener) => {
      adjustListenerCount(listener.link, -1);
    });
    request.listeners = request.listeners.filter((listener) => !shouldRemove(listener));
  };

  return {
    clearTimer,
    removeListeners,
    size: () => requests.size,
    hasUnfinished: () => [...requests.values()].some((request) => request.phase !== RequestPhase.Ended),
    byId: (id) => requests.get(id),
    byToken: (token) => requests.get(idsByToken.get(token) ?? ''),
    find: (requestId, attempt) => {
      const id = attemptId(requestId, attempt);
      return requests.get(id) ?? requests.get(aliases.get(id) ?? '');
    },
    add: (request) => {
      requests.set(request.id, request);
      request.listeners.forEach((listener) => {
        adjustListenerCount(listener.link, 1);
      });
      if (request.token !== undefined) {
        idsByToken.set(request.token, request.id);
      }
    },
    addListener: (request, listener) => {
      request.listeners.push(listener);
      aliases.set(attemptId(listener.requestId, listener.attempt), request.id);
      adjustListenerCount(listener.link, 1);
      clearTimer(request, RequestTimer.Orphan);
    },
    removeLink: (link) => {
      listenerCounts.delete(link);
      const orphans: TrackedRequest[] = [];
      for (const request of requests.values()) {
        const before = request.listeners.length;
        request.listeners = request.listeners.filter((listener) => listener.link !== link);
        if (before > 0 && request.listeners.length === 0 && request.phase !== RequestPhase.Ended) {
          orphans.push(request);
        }
      }
      return orphans;
    },
    remove: (request) => {
      removeListeners(request, () => true);
      request.timers.forEach((cancel) => {
        cancel();
      });
      requests.delete(request.id);
      idsByToken.delete(request.token ?? '');
      for (const [alias, id] of aliases) {
        if (id === request.id) {
          aliases.delete(alias);
        }
      }
    },
    setTimer: (request, timer, delayMs) => {
      clearTimer(request, timer);
      const fire = (): void => {
        onTimer(request.id, timer);
      };
      request.timers.set(timer, clock.after(delayMs, fire));
    },
  };
}
