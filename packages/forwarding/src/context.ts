/** The state and the dependencies that the processes of all requests share. */
import { type Clock, type Random } from '@toucanbend/core';
import { type Logger } from '@toucanbend/observability';
import {
  type LoadTracker,
  type LoadUpdate,
  type PlannerSettings,
  type RetryBudget,
} from '@toucanbend/placement';
import { type ServerPaces } from '@toucanbend/pace';
import { type Quarantine } from '@toucanbend/quarantine';
import { type Registry } from '@toucanbend/registry';
import { type ServerRestrictions } from '@toucanbend/restrictions';
import { type Dialect } from './dialect.js';
import { type EngineMemory } from './memory.js';
import { type ForwardingMetrics } from './metrics.js';
import { type MemoryBounds } from './renewal.js';

/** The state and the dependencies that the processes of all requests share. */
export interface ForwardingContext {
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: ForwardingMetrics;
  readonly dialect: Dialect;
  readonly planner: PlannerSettings;
  readonly loadTracker: LoadTracker;
  readonly restrictions: ServerRestrictions;
  /** Whether short prompts wait at this entry and yield while free places of the engines are scarce. */
  readonly holdsPrompts: boolean;
  /** The pace of servers that have started or recovered; undefined if all are used at full pace. */
  readonly paces?: ServerPaces | undefined;
  readonly retries: RetryBudget;
  readonly quarantine: Quarantine;
  readonly memory: EngineMemory;
  readonly memoryBounds: MemoryBounds;
  /** Returns the current registry. */
  readonly registry: () => Registry;
  /** Resolves when a catalogue is known, or after `waitMs` milliseconds at the latest. */
  readonly waitForConfiguration: (waitMs: number) => Promise<void>;
  /** Returns the number of entries that share the retry budget. */
  readonly entryCount: () => number;
  /** Returns whether this entry is draining. */
  readonly isDraining: () => boolean;
  /** Returns when the requests without an answer are abandoned since this entry ends; Infinity if it is not draining. */
  readonly answersUntilMs: () => number;
  /** Returns when the load balancer is to have noticed that this entry ends; Infinity if it is not draining. */
  readonly outOfRotationAtMs: () => number;
  /** Returns whether requests are accepted; if not, those that arrive on persistent connections are rejected. */
  readonly acceptsRequests: () => boolean;
  /** Returns whether the load updates of some entries do not reach this one. */
  readonly hasPartialLoadView: () => boolean;
  /** Broadcasts a load update to the other entries. */
  readonly broadcast: (update: LoadUpdate) => void;
}
