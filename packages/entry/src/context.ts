/** Services and settings shared by the request processes of an entry. */
import { type Clock, type Random } from '@toucanbend/core';
import { type Logger, type Metrics } from '@toucanbend/observability';
import { type EntrySettings } from '@toucanbend/settings';
import { type Bindings } from './bindings.js';
import { type Directory } from './directory.js';
import { type Exchange } from './exchange.js';

/** Services and settings shared by the request processes of an entry. */
export interface EntryContext {
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly settings: EntrySettings;
  readonly directory: Directory;
  readonly exchange: Exchange;
  readonly bindings: Bindings;
  /** Spends one retry from the retry budget; returns false if the budget is used up. */
  readonly mayRetry: () => boolean;
}
