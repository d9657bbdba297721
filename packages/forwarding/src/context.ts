/** What the processes of requests share. */
import { type Clock, type Random } from '@toucanbend/core';
import { type Logger } from '@toucanbend/observability';
import { type LoadBook, type LoadNews, type PlannerSettings, type RetryWindow } from '@toucanbend/placement';
import { type Registry } from '@toucanbend/registry';
import { type Dialect } from './dialect.js';
import { type EngineMemory } from './memory.js';
import { type ForwardingMetrics } from './metrics.js';
import { type MemoryBounds } from './renewal.js';

/** What the processes of requests share. */
export interface ForwardingContext {
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: ForwardingMetrics;
  readonly dialect: Dialect;
  readonly planner: PlannerSettings;
  readonly book: LoadBook;
  readonly retries: RetryWindow;
  readonly memory: EngineMemory;
  readonly memoryBounds: MemoryBounds;
  /** The registry as it is now. */
  readonly registry: () => Registry;
  /** Resolves once a catalogue is known, or after a time in milliseconds. */
  readonly configured: (waitMs: number) => Promise<void>;
  /** How many entries share the budget for repeats. */
  readonly entryCount: () => number;
  readonly isLeaving: () => boolean;
  /** Whether further requests are taken; those that still come on kept connections are refused. */
  readonly takesRequests: () => boolean;
  /** Whether other entries place work that this one does not hear of. */
  readonly isBlind: () => boolean;
  /** Tells the other entries what was placed and what has ended. */
  readonly tell: (news: LoadNews) => void;
}
